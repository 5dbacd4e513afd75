"""Tests of core.admission.limit."""

import math
import unittest
from collections.abc import Callable

from damaskbay.core.admission.limit import (
    AimdLimit,
    ConcurrencyLimit,
    FixedLimit,
    GradientLimit,
    Sample,
)
from tests.common import function_suite

SLOTS = 64
Latency = Callable[[int], float]


class Server:
    """A saturated server: each call's latency depends on how many run."""

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.limit = limit
        self.now = 0.0

    def run(self, seconds: float, latency: Latency) -> int:
        """Keep the limit full for a time; return the limit after it."""
        until = self.now + seconds
        while self.now < until:
            running = self.limit.value()
            latency_s = latency(running)
            self.now += latency_s / running
            self.limit.observe(Sample(latency_s), running, self.now)
        return self.limit.value()


def flat(running: int) -> float:
    """Take 50 ms, however many run."""
    return 0.05


def crowded(running: int) -> float:
    """Get slower by more than it helps once half of the slots run."""
    return 0.05 * math.pow(max(1.0, 2 * running / SLOTS), 1.5)


def slow(running: int) -> float:
    """Take ten times as long, however many run."""
    return 0.5


def test_reaches_the_slots_and_never_exceeds_them() -> None:
    """A server that is not slowed by more calls gets all its slots."""
    server = Server(GradientLimit(SLOTS, 0.0))
    assert server.limit.value() < SLOTS
    assert server.run(5.0, flat) == SLOTS


def test_stays_below_the_slots_where_more_calls_bring_less() -> None:
    """Latency that rises with the calls at once brings the limit down."""
    server = Server(GradientLimit(SLOTS, 0.0))
    server.run(10.0, crowded)
    limits = [server.run(0.5, crowded) for _ in range(20)]
    assert sum(limits) / len(limits) < 0.85 * SLOTS


def test_slowness_from_elsewhere_does_not_cut() -> None:
    """A server slowed by something else keeps its slots, and after it too."""
    server = Server(GradientLimit(SLOTS, 0.0))
    server.run(5.0, flat)
    assert server.run(10.0, slow) == SLOTS
    assert server.run(5.0, flat) == SLOTS


def test_failures_cut() -> None:
    """Calls that fail at the server bring the limit down, and it comes back."""
    limit = GradientLimit(SLOTS, 0.0)
    server = Server(limit)
    server.run(5.0, flat)
    for step in range(400):
        sample = Sample(0.05, succeeded=step % 3 > 0)
        limit.observe(sample, limit.value(), server.now + step * 0.01)
    assert limit.value() < SLOTS // 2
    server.now += 4.0
    assert server.run(5.0, flat) == SLOTS


def test_waiting_for_nested_calls_is_not_the_server_s_latency() -> None:
    """A call that waits for a slow deep service does not cut its caller."""
    limit = GradientLimit(SLOTS, 0.0)
    Server(limit).run(5.0, flat)
    for step in range(400):
        sample = Sample(2.05, nested_s=2.0)
        limit.observe(sample, limit.value(), 5.0 + step * 0.03)
    assert limit.value() == SLOTS


def test_cancelled_calls_teach_nothing() -> None:
    """Calls that their callers gave up leave the limit alone."""
    limit = GradientLimit(SLOTS, 0.0)
    Server(limit).run(5.0, flat)
    for step in range(400):
        limit.observe(Sample(9.0, cancelled=True), SLOTS, 5.0 + step)
    assert limit.value() == SLOTS


def test_aimd_and_fixed_stay_in_bounds() -> None:
    """The other limits go from 1 to the slots too."""
    for limit in (AimdLimit(SLOTS, 0.0), FixedLimit(SLOTS)):
        server = Server(limit)
        for latency in (flat, crowded, slow, flat):
            server.run(5.0, latency)
            assert 1 <= limit.value() <= SLOTS
        limit.set_slots(1)
        assert limit.value() == 1


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
