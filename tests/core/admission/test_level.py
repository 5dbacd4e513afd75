"""Tests of core.admission.level."""

import unittest

from damaskbay.core.admission.level import OPEN_LEVEL, LevelController, pass_share
from tests.common import function_suite

WINDOW_S = 0.11


class Arrivals:
    """Feeds a level controller with windows of arrivals, most important rank first."""

    def __init__(self) -> None:
        self.controller = LevelController(0.0)
        self.now = 0.0

    def window(self, by_rank: tuple[int, ...], *, capacity: int) -> int:
        """Record one window in which `capacity` calls start; return the new level."""
        starts = min(capacity, sum(by_rank))
        for rank, count in enumerate(by_rank):
            for _ in range(count):
                self.controller.record_arrival(rank)
        for _ in range(starts):
            self.controller.record_start()
        for _ in range(sum(by_rank) - starts):
            self.controller.record_refusal()
        self.now += WINDOW_S
        self.controller.update(self.now)
        return self.controller.value()


def test_pass_share() -> None:
    """The thousands of a level count full ranks, the rest is a share of the next."""
    shares = [pass_share(2300, rank) for rank in range(4)]
    assert shares[:2] == [1.0, 1.0]
    assert abs(shares[2] - 0.3) < 1e-9
    assert shares[3] == 0.0
    assert pass_share(OPEN_LEVEL, 50) == 1.0


def test_bulk_is_shed_from_the_least_important_rank() -> None:
    """At four times the capacity only the last rank is shed, down to the headroom."""
    arrivals = Arrivals()
    level = arrivals.window((10, 40, 350), capacity=100)
    assert pass_share(level, 1) == 1.0
    assert 0.0 < pass_share(level, 2) < 0.5


def test_a_few_refusals_leave_the_level() -> None:
    """Refusals within the headroom don't change the level."""
    arrivals = Arrivals()
    assert arrivals.window((10, 40, 80), capacity=100) == OPEN_LEVEL


def test_one_stall_is_not_answered_twice() -> None:
    """Arrivals sent before callers know of a decrease don't cause another one."""
    arrivals = Arrivals()
    first = arrivals.window((10, 40, 350), capacity=100)
    assert arrivals.window((10, 40, 350), capacity=100) == first


def test_level_opens_again_soon() -> None:
    """Without refusals the level returns to OPEN_LEVEL within a second."""
    arrivals = Arrivals()
    arrivals.window((400,), capacity=10)
    assert arrivals.controller.value() < 200
    windows = 0
    while arrivals.window((3,), capacity=100) != OPEN_LEVEL:
        windows += 1
    assert windows * WINDOW_S < 1.0


def test_silence_after_a_cut_opens_too() -> None:
    """A level so low that no calls arrive increases again."""
    arrivals = Arrivals()
    arrivals.window((0, 0, 400), capacity=0)
    for _ in range(12):
        arrivals.window((), capacity=0)
    assert arrivals.controller.value() == OPEN_LEVEL


def _wait_windows(
    controller: LevelController, waited_s: float, first: int, calls: int = 10
) -> int:
    """Record 20 windows in which all calls start after a wait; return the level."""
    for number in range(first, first + 20):
        for _ in range(calls):
            controller.record_arrival(1)
            controller.record_start()
            controller.record_wait(waited_s, 0.026)
        controller.update(WINDOW_S * (number + 1))
    return controller.value()


# Each of several calls of a tree waited in a queue that was not full yet.
def test_long_waits_lower_the_level_before_calls_are_refused() -> None:
    """Only with a share of the usual time, and only while the waits are long."""
    earlier = LevelController(0.0, 1.0)
    assert _wait_windows(earlier, 0.02, 0) == OPEN_LEVEL
    controller = LevelController(0.0, 1.0, 0.25)
    assert _wait_windows(controller, 0.005, 0) == OPEN_LEVEL
    assert _wait_windows(controller, 0.02, 20) < 2000
    assert _wait_windows(controller, 0.0, 40) == OPEN_LEVEL
    assert _wait_windows(controller, 0.02, 60, calls=1) == OPEN_LEVEL


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
