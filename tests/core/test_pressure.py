"""Levels of a pool at the edge of its call trees, compared with the earlier average."""

import random
import unittest
from collections.abc import Iterable

from damaskbay.core.admission.level import OPEN_LEVEL, pass_share
from damaskbay.core.call import CallResult, Response
from damaskbay.core.outcome import Reason, not_run
from damaskbay.core.pressure import AverageLevels
from tests.common import function_suite

RANKS = (3, 4, 5)
"""Ranks of the calls, as with three priorities below an unused one."""

EARLIER_OPEN = 16_000
EARLIER_GAIN = 0.3
"""The earlier average counted a server without overload as this number."""


def _earlier_average(levels: Iterable[int]) -> int:
    value: float | None = None
    for level in levels:
        newest = float(min(level, EARLIER_OPEN))
        value = newest if value is None else value + EARLIER_GAIN * (newest - value)
    assert value is not None
    return int(value)


def _share(levels: list[int]) -> tuple[float, float]:
    """Return the mean pass share of all ranks by the earlier average and by this."""
    route = AverageLevels()
    for rank in RANKS:
        route.record_rank(rank, 0.0)
    shares, earlier = [], []
    for count, level in enumerate(levels):
        now = 0.01 * count
        route.record_level("r", level, now)
        if count < len(levels) // 2:
            continue
        old = _earlier_average(levels[: count + 1])
        earlier += [pass_share(old, rank) for rank in RANKS]
        shares += [pass_share(route.level("r", now), rank) for rank in RANKS]
    return sum(earlier) / len(earlier), sum(shares) / len(shares)


def test_an_idle_server_does_not_hide_an_overloaded_one() -> None:
    """With one of two servers full, about half of the calls have a place."""
    rng = random.Random(1)
    levels = [rng.choice((3_050, OPEN_LEVEL)) for _ in range(200)]
    earlier, share = _share(levels)
    assert earlier > 0.95
    assert 0.4 < share < 0.6
    assert _share([5_300] * 50)[1] < 0.8


def test_the_more_important_rank_keeps_its_calls() -> None:
    """An average of levels stays a level: it refuses the least important rank."""
    levels = AverageLevels()
    for rank in RANKS:
        levels.record_rank(rank, 0.0)
    for count in range(300):
        levels.record_level("r", (4_200, OPEN_LEVEL)[count % 2], 0.01 * count)
    level = levels.level("r", 3.0)
    assert pass_share(level, 4) == 1.0
    assert pass_share(level, 5) < 0.5


# A pool with one server under a low limit of its own was shed at the edge.
def test_one_full_server_of_many_refuses_nothing() -> None:
    """What it refuses is sent to the other servers, which have room."""
    levels = AverageLevels()
    levels.record_level("r", OPEN_LEVEL, 0.0)
    for count in range(1, 400):
        now = 0.077 * count
        levels.record_level("r", 20 if count % 10 == 0 else OPEN_LEVEL, now)
        assert levels.level("r", now) == OPEN_LEVEL


def test_calls_without_capacity_are_news_although_no_level_is() -> None:
    """A pool that refuses calls while its level is open still sheds at the edge."""
    refused = CallResult(not_run(Reason.QUEUE_FULL), admission_level=OPEN_LEVEL)
    served = CallResult(Response(200), admission_level=OPEN_LEVEL)
    levels, now = AverageLevels(), 0.0
    for count in range(200):
        now = 0.01 * count
        levels.record_result("r", 5, refused if count % 2 else served, now)
    assert 0.2 < pass_share(levels.level("r", now), 5) < 0.8
    assert pass_share(levels.level("r", now), 4) == 1.0
    for _ in range(60):
        now += 0.01
        levels.record_result("r", 5, served, now)
    assert levels.level("r", now) == OPEN_LEVEL


def test_one_refused_call_does_not_close_a_route() -> None:
    """A single refusal without other reports refuses less than half of its rank."""
    levels = AverageLevels()
    levels.record_result("r", 5, CallResult(not_run(Reason.OVERLOADED)), 0.0)
    assert pass_share(levels.level("r", 0.0), 5) > 0.5
    late = CallResult(not_run(Reason.DEADLINE_TOO_SHORT))
    levels.record_result("q", 5, late, 0.0)
    assert levels.level("q", 0.0) == OPEN_LEVEL


def test_a_rank_that_appears_later_is_not_refused_by_an_open_level() -> None:
    """An open level is no number that a less important rank lies above."""
    levels = AverageLevels()
    for rank in range(16):
        levels.record_result("r", 0, CallResult(Response(200), 1, 0, OPEN_LEVEL), 0.0)
        levels.record_rank(rank, 0.0)
        assert pass_share(levels.level("r", 0.0), rank) == 1.0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
