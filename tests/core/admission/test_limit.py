"""Tests of core.admission.limit."""

import math
import unittest
from collections.abc import Callable

from damaskbay.core.admission.limit import (
    AimdLimit,
    CallSample,
    ConcurrencyLimit,
    FixedLimit,
    GradientLimit,
)
from tests.common import function_suite

SLOTS = 64
LatencyModel = Callable[[int], float]


class Server:
    """A saturated server whose latency depends on the number of running calls."""

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.limit = limit
        self.now = 0.0

    def run(self, seconds: float, latency: LatencyModel) -> int:
        """Run calls up to the limit for some time; return the new limit."""
        until = self.now + seconds
        while self.now < until:
            running = self.limit.value()
            latency_s = latency(running)
            self.now += latency_s / running
            self.limit.observe(CallSample(latency_s), running, self.now)
        return self.limit.value()


def flat(running: int) -> float:
    """Return 50 ms at any concurrency."""
    return 0.05


def superlinear(running: int) -> float:
    """Return a latency that grows faster than concurrency beyond half of the slots."""
    return 0.05 * math.pow(max(1.0, 2 * running / SLOTS), 1.5)


def slow(running: int) -> float:
    """Return ten times the flat latency at any concurrency."""
    return 0.5


def test_reaches_the_slots_and_never_exceeds_them() -> None:
    """Constant latency raises the limit to all slots."""
    server = Server(GradientLimit(SLOTS, 0.0))
    assert server.limit.value() < SLOTS
    assert server.run(5.0, flat) == SLOTS


def test_stays_below_the_slots_where_more_calls_bring_less() -> None:
    """Latency that rises with concurrency lowers the limit."""
    server = Server(GradientLimit(SLOTS, 0.0))
    server.run(10.0, superlinear)
    limits = [server.run(0.5, superlinear) for _ in range(20)]
    assert sum(limits) / len(limits) < 0.85 * SLOTS


def test_slowness_from_elsewhere_does_not_cut() -> None:
    """Latency from another cause doesn't lower the limit, nor does its end."""
    server = Server(GradientLimit(SLOTS, 0.0))
    server.run(5.0, flat)
    assert server.run(10.0, slow) == SLOTS
    assert server.run(5.0, flat) == SLOTS


def test_failures_cut() -> None:
    """Failures lower the limit; it recovers after they end."""
    limit = GradientLimit(SLOTS, 0.0)
    server = Server(limit)
    server.run(5.0, flat)
    for step in range(400):
        sample = CallSample(0.05, succeeded=step % 3 > 0)
        limit.observe(sample, limit.value(), server.now + step * 0.01)
    assert limit.value() < SLOTS // 2
    server.now += 4.0
    assert server.run(5.0, flat) == SLOTS


def test_waiting_for_nested_calls_is_not_the_server_s_latency() -> None:
    """A slow nested call doesn't lower the limit of its caller's server."""
    limit = GradientLimit(SLOTS, 0.0)
    Server(limit).run(5.0, flat)
    for step in range(400):
        sample = CallSample(2.05, nested_s=2.0)
        limit.observe(sample, limit.value(), 5.0 + step * 0.03)
    assert limit.value() == SLOTS


def test_cancelled_calls_teach_nothing() -> None:
    """Cancelled calls don't change the limit."""
    limit = GradientLimit(SLOTS, 0.0)
    Server(limit).run(5.0, flat)
    for step in range(400):
        limit.observe(CallSample(9.0, cancelled=True), SLOTS, 5.0 + step)
    assert limit.value() == SLOTS


def test_aimd_and_fixed_stay_in_bounds() -> None:
    """The AIMD and fixed limits stay between 1 and the slots."""
    for limit in (AimdLimit(SLOTS, 0.0), FixedLimit(SLOTS)):
        server = Server(limit)
        for latency in (flat, superlinear, slow, flat):
            server.run(5.0, latency)
            assert 1 <= limit.value() <= SLOTS
        limit.set_slots(1)
        assert limit.value() == 1


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
