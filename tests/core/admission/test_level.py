"""Tests of core.admission.level."""

import unittest

from damaskbay.core.admission.level import OPEN_LEVEL, LevelMeter, pass_share
from tests.common import function_suite

WINDOW_S = 0.11


class Arrivals:
    """Feeds a meter with windows of arrivals, most important first."""

    def __init__(self) -> None:
        self.meter = LevelMeter(0.0)
        self.now = 0.0

    def window(self, by_rank: tuple[int, ...], *, capacity: int) -> int:
        """Offer calls of each rank, start what fits; return the level after it."""
        starts = min(capacity, sum(by_rank))
        for rank, count in enumerate(by_rank):
            for _ in range(count):
                self.meter.offered(rank)
        for _ in range(starts):
            self.meter.started()
        for _ in range(sum(by_rank) - starts):
            self.meter.refused()
        self.now += WINDOW_S
        self.meter.update(self.now)
        return self.meter.value()


def test_pass_share() -> None:
    """The integer part counts whole ranks, the rest is a part of the next."""
    shares = [pass_share(2300, rank) for rank in range(4)]
    assert shares[:2] == [1.0, 1.0]
    assert abs(shares[2] - 0.3) < 1e-9
    assert shares[3] == 0.0
    assert pass_share(OPEN_LEVEL, 50) == 1.0


def test_bulk_is_shed_from_the_least_important_rank() -> None:
    """At four times the capacity only the last rank is cut, to leave a headroom."""
    arrivals = Arrivals()
    level = arrivals.window((10, 40, 350), capacity=100)
    assert pass_share(level, 1) == 1.0
    assert 0.0 < pass_share(level, 2) < 0.5


def test_a_few_refusals_leave_the_level() -> None:
    """Within the headroom the queue decides alone."""
    arrivals = Arrivals()
    assert arrivals.window((10, 40, 80), capacity=100) == OPEN_LEVEL


def test_one_stall_is_not_answered_twice() -> None:
    """Arrivals sent before a cut was known do not cut again at once."""
    arrivals = Arrivals()
    first = arrivals.window((10, 40, 350), capacity=100)
    assert arrivals.window((10, 40, 350), capacity=100) == first


def test_level_opens_again_soon() -> None:
    """Without refusals the level is open again within a second."""
    arrivals = Arrivals()
    arrivals.window((400,), capacity=10)
    assert arrivals.meter.value() < 200
    windows = 0
    while arrivals.window((3,), capacity=100) != OPEN_LEVEL:
        windows += 1
    assert windows * WINDOW_S < 1.0


def test_silence_after_a_cut_opens_too() -> None:
    """A level so low that nothing arrives does not stay."""
    arrivals = Arrivals()
    arrivals.window((0, 0, 400), capacity=0)
    for _ in range(12):
        arrivals.window((), capacity=0)
    assert arrivals.meter.value() == OPEN_LEVEL


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
