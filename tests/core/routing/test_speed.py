"""Tests of the choice between servers of unequal speed, in virtual time."""

import unittest
from collections.abc import Sequence
from random import Random

from damaskbay.core.routing import RouteOutcome, Router, RouterOptions
from damaskbay.core.routing.speed import KEPT_CALLS, ServerSpeed, UsualTimes
from tests.common import function_suite
from tests.core.common import make_context
from tests.core.routing.common import server
from tests.core.routing.pool_model import (
    EarlierRouter,
    PoolModel,
    RouterFactory,
    Speeds,
)

UNEQUAL: tuple[Speeds, ...] = tuple(
    ((0.0, speed),) for speed in (0.5, 0.5, 1.0, 1.0, 1.0, 1.0, 1.5, 1.5)
)
EVEN: tuple[Speeds, ...] = (((0.0, 1.0),),) * 8
SLOW_FROM_S, SLOW_UNTIL_S = 5.0, 14.0
SECONDS = 10.0


def _slowing(factor: float) -> tuple[Speeds, ...]:
    """Return a pool whose first server becomes slower for nine seconds."""
    changes = ((0.0, 1.0), (SLOW_FROM_S, 1.0 / factor), (SLOW_UNTIL_S, 1.0))
    return (changes, *EVEN[1:])


def _pausing() -> tuple[Speeds, ...]:
    """Return a pool whose first server pauses for 0.6 s again and again."""
    changes = [(0.0, 1.0)]
    for start in (2.0, 4.0, 6.0, 8.0):
        changes += [(start, 0.0), (start + 0.6, 1.0)]
    return (changes, *EVEN[1:])


def _run(
    speeds: Sequence[Speeds],
    make_router: RouterFactory,
    seconds: float,
    *,
    used: float = 0.7,
    daemons: int = 30,
) -> PoolModel:
    model = PoolModel(speeds, used=used, daemons=daemons, make_router=make_router)
    return model.run(seconds)


def _mean_and_p99(model: PoolModel) -> tuple[float, float]:
    took_s = model.took_s(1.0)
    return sum(took_s) / len(took_s), took_s[int(0.99 * len(took_s))]


# Guards against slow servers that are filled like fast ones.
def test_calls_end_sooner_than_by_load_alone() -> None:
    """The same arrivals at unequal, slowing, pausing and equal servers."""
    for daemons, name, speeds, seconds, most in (
        (8, "unequal", UNEQUAL, SECONDS, 0.95),
        (8, "slow by 12", _slowing(12.0), 14.0, 0.98),
        (8, "even", EVEN, SECONDS, 1.02),
        (30, "unequal", UNEQUAL, SECONDS, 0.95),
        (30, "slow by 12", _slowing(12.0), 14.0, 0.98),
        (30, "slow by 3", _slowing(3.0), 14.0, 0.98),
        (30, "pauses", _pausing(), SECONDS, 0.98),
        (30, "even", EVEN, SECONDS, 1.02),
    ):
        earlier = _run(speeds, EarlierRouter, seconds, daemons=daemons)
        model = _run(speeds, Router, seconds, daemons=daemons)
        before, after = _mean_and_p99(earlier), _mean_and_p99(model)
        case = daemons, name, before, after
        assert after[0] <= most * before[0], case
        assert after[1] <= most * before[1], case


# Guards against a server that is left unused, or used like a faster one.
def test_a_slower_server_gets_less() -> None:
    """Twice as slow servers get about half when all are full, and always some."""
    for used, least, most in ((0.5, 0.01, 0.6), (0.7, 0.05, 0.6), (1.1, 0.4, 0.65)):
        model = _run(UNEQUAL, Router, SECONDS, used=used)
        usual = sum(model.share(number, 2.0) for number in (2, 3, 4, 5)) / 4.0
        slow = (model.share(0, 2.0) + model.share(1, 2.0)) / 2.0
        assert least * usual <= slow <= most * usual, (used, slow, usual)


# Guards against calls that go on to a server which has just become slow.
def test_a_slow_down_is_followed_within_a_second() -> None:
    """And the server gets its calls back without a herd when it is over."""
    for daemons in (8, 30):
        model = _run(_slowing(12.0), Router, 18.0, daemons=daemons)
        share = model.share(0, SLOW_FROM_S + 1.0, SLOW_UNTIL_S)
        assert share <= 0.03, (daemons, share)
        restored = model.share(0, SLOW_UNTIL_S + 2.0)
        assert 0.04 <= restored <= 0.2, (daemons, restored)
        highest = model.highest_load(0, SLOW_UNTIL_S, 18.0)
        assert highest <= 3.0, (daemons, highest)


# Guards against a herd on a server that nothing is known of.
def test_a_replaced_server_is_of_usual_speed() -> None:
    """A slow server is replaced by an empty one that is not slow."""
    for daemons in (8, 30):
        model = PoolModel(UNEQUAL, used=0.7, daemons=daemons, make_router=Router)
        model.run(5.0)
        model.replace_server(0, 1.0)
        model.run(9.0)
        usual = sum(model.share(number, 6.0) for number in (2, 3, 4, 5)) / 4.0
        assert 0.6 * usual <= model.share(0, 6.0) <= 1.5 * usual, daemons
        highest = model.highest_load(0, 5.0, 9.0)
        assert highest <= 3.0, (daemons, highest)


def _known_server(calls: int = 200) -> tuple[ServerSpeed, UsualTimes, float]:
    """Return the speed of one server of usual speed, 0.1 s a call, and the time."""
    usual_times = UsualTimes()
    speed = ServerSpeed(usual_times, 0.0)
    now = 0.0
    for number in range(calls):
        call = speed.record_start("p", "r", now)
        now += 0.1
        speed.record_end(call, 0.09 if number % 2 else 0.11, now)
    return speed, usual_times, now


# Guards against a pause that shows only once the calls behind it end.
def test_a_call_that_runs_for_long_shows_a_slow_down() -> None:
    """It has not ended yet, while others of a longer route have been sent before it."""
    speed, usual_times, now = _known_server()
    usual_times.record("p", "long", 1.0)
    long_call = speed.record_start("p", "long", now - 0.1)
    call = speed.record_start("p", "r", now)
    assert speed.value(now + 0.1) > 0.9
    assert speed.value(now + 0.6) < 0.25
    speed.record_end(call, 0.6, now + 0.6)
    speed.record_end(long_call, None, now + 0.6)
    assert speed.value(now + 0.6) < 0.8, "its end confirms it"
    assert speed.value(now + 3.0) > 0.8, "and then it fades"


# Guards against the time of other servers, or of an earlier one, taken for this one's.
def test_only_calls_without_others_count() -> None:
    """Nested calls, calls to an earlier incarnation and calls that end twice."""
    speed, usual_times, now = _known_server()
    before = speed.value(now)
    speed.record_end(speed.record_start("p", "r", now), None, now + 1.0)
    other = ServerSpeed(usual_times, now)
    speed.record_end(other.record_start("p", "r", now), 5.0, now)
    call = speed.record_start("p", "r", now)
    speed.record_end(call, 0.1, now)
    assert abs(speed.value(now) - before) <= 0.05
    speed.record_end(call, 5.0, now)
    assert abs(speed.value(now) - before) <= 0.05


# Guards against a slow server that is never tried again, and against growing memory.
def test_what_is_known_expires_and_is_bounded() -> None:
    """Without calls a server counts as usual; ended calls and routes are dropped."""
    speed, usual_times, now = _known_server()
    for _ in range(100):
        now += 1.0
        usual_times.record("p", "r", 0.1)
        usual_times.record("p", "r", 0.1)
        call = speed.record_start("p", "r", now)
        speed.record_end(call, 0.25, now)
    assert speed.value(now) < 0.7
    assert speed.value(now + 300.0) > 0.95
    speed.record_start("p", "r", now)
    for _ in range(1000):
        speed.record_end(speed.record_start("p", "r", now + 1.0), None, now + 1.0)
    assert len(speed._sent) <= KEPT_CALLS + 3
    for number in range(5000):
        usual_times.record("p", f"r{number}", 0.1)
    assert len(usual_times._by_pool_and_route) <= 1000


# Guards against calls that stay at the local server while it is slow.
def test_a_slow_local_server_does_not_go_first() -> None:
    """Its load is low, since it gets only what this daemon sends."""
    router = Router(RouterOptions("a", trust_load=True), Random(1))
    views = [server("here", local=True), server("there")]
    context = make_context()
    for step in range(400):
        now = step * 0.1
        for view in views:
            router.choose(views, context, now=now)
            started = router.record_start(view.instance, now, context)
            service_s = 0.4 if view.local else 0.1
            outcome = RouteOutcome(service_s, load=0.1, service_s=service_s)
            router.record_end(view.instance, outcome, now, started)
    chosen = [router.choose(views, context, now=40.0) for _ in range(100)]
    assert chosen.count(views[0]) <= 10


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
