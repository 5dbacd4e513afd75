"""Which calls a stopping daemon still has time for."""

import unittest

from damaskbay.core.durations import DurationEstimates
from damaskbay.core.lifetime import Lifetime, plan_stop
from tests.common import function_suite

BEGAN_AT = 100.0
GRACE_S = 6.0
ROUNDING_S = 1e-6


def test_the_steps_of_a_stop_follow_each_other_within_the_grace_time() -> None:
    """Also with a short grace time; no step is before the start of the stop."""
    for grace_s in (0.5, 2.0, GRACE_S, 30.0):
        plan = plan_stop(grace_s, BEGAN_AT)
        steps = (
            plan.began_at,
            plan.announced_at,
            plan.work_until,
            plan.interrupts_at,
            plan.exits_at,
        )
        assert sorted(steps) == list(steps)
        assert plan.exits_at < BEGAN_AT + grace_s


def test_a_running_call_is_interrupted_in_the_last_sixth_of_the_grace_time() -> None:
    """Margins that suit a long grace time cut running calls early in a short one."""
    for grace_s in (1.0, 3.0, GRACE_S, 30.0):
        plan = plan_stop(grace_s, BEGAN_AT)
        last_sixth_at = BEGAN_AT + grace_s * 5.0 / 6.0 - ROUNDING_S
        assert plan.work_until >= last_sixth_at, grace_s
        assert plan.interrupts_at >= last_sixth_at, grace_s


def test_a_late_loop_interrupts_calls_earlier_but_in_the_last_sixth() -> None:
    """Its passes take longer, and the end of the grace time stays where it is."""
    for grace_s in (1.0, 3.0, GRACE_S, 30.0):
        plan = plan_stop(grace_s, BEGAN_AT)
        assert plan.interrupts_from(0.0) == plan.interrupts_at, grace_s
        last_sixth_at = BEGAN_AT + grace_s * 5.0 / 6.0 - ROUNDING_S
        late_at = plan.interrupts_from(grace_s / 60.0)
        assert last_sixth_at <= late_at < plan.interrupts_at, grace_s
        assert last_sixth_at <= plan.interrupts_from(grace_s) <= late_at, grace_s


def test_deadlines_are_limited_by_the_end_of_the_daemon() -> None:
    """Before a stop they are not; a second SIGTERM doesn't extend the first."""
    lifetime = Lifetime()
    assert lifetime.limit(BEGAN_AT + 60.0) == BEGAN_AT + 60.0
    lifetime.begin_stop(GRACE_S, BEGAN_AT)
    lifetime.begin_stop(GRACE_S, BEGAN_AT + 3.0)
    assert BEGAN_AT < lifetime.limit(BEGAN_AT + 60.0) < BEGAN_AT + GRACE_S
    assert lifetime.limit(BEGAN_AT + 1.0) == BEGAN_AT + 1.0


def test_a_call_that_outlasts_the_daemon_is_recognized() -> None:
    """The same call fits early in the stop and not late."""
    lifetime = Lifetime()
    assert not lifetime.outlasts(1000.0, BEGAN_AT)
    lifetime.begin_stop(GRACE_S, BEGAN_AT)
    assert not lifetime.outlasts(1.0, BEGAN_AT + 3.0)
    assert lifetime.outlasts(1.0, BEGAN_AT + 4.5)


def test_the_end_of_a_leaving_daemon_is_expected_with_its_last_call() -> None:
    """Callers wait for the next daemon no longer than this one stays."""
    lifetime = Lifetime()
    assert lifetime.expected_left_s(BEGAN_AT, has_calls=True) == 0.0
    lifetime.begin_stop(GRACE_S, BEGAN_AT)
    plan = lifetime.plan
    assert plan is not None
    told_s = plan.announced_at - BEGAN_AT
    assert lifetime.expected_left_s(BEGAN_AT, has_calls=False) == told_s
    lifetime.expect_end(BEGAN_AT + 4.0)
    lifetime.expect_end(BEGAN_AT + 3.0)
    assert lifetime.expected_left_s(BEGAN_AT, has_calls=False) == told_s
    assert lifetime.expected_left_s(BEGAN_AT + 2.5, has_calls=True) == 1.5
    assert lifetime.expected_left_s(BEGAN_AT + 2.5, has_calls=False) == 0.0
    lifetime.expect_end(BEGAN_AT + 60.0)
    work_s = plan.work_until - BEGAN_AT
    assert lifetime.expected_left_s(BEGAN_AT, has_calls=True) == work_s


def _run_calls(estimates: DurationEstimates, *durations_s: float) -> None:
    """Record calls of a route that end at `BEGAN_AT`."""
    for took_s in durations_s:
        call = estimates.start("r", BEGAN_AT - took_s)
        estimates.end(call, BEGAN_AT, completed=True)


def test_an_estimate_covers_almost_all_calls_and_forgets_an_outlier() -> None:
    """One call that timed out doesn't make a route look slow for long."""
    estimates = DurationEstimates()
    assert estimates.expected_s("r", BEGAN_AT) is None
    _run_calls(estimates, *(25 * [0.2, 0.1]))
    usual_s = estimates.expected_s("r", BEGAN_AT)
    assert usual_s is not None and 0.2 <= usual_s < 1.0
    _run_calls(estimates, 5.0)
    outlier_s = estimates.expected_s("r", BEGAN_AT)
    assert outlier_s is not None and outlier_s > 2.0
    _run_calls(estimates, *(15 * [0.2, 0.1]))
    usual_s = estimates.expected_s("r", BEGAN_AT)
    assert usual_s is not None and usual_s < 1.0


# Guards against calls that are taken in a stop after their server has become slower.
def test_an_estimate_is_not_below_the_age_of_running_calls() -> None:
    """They are known to take that long before any of them has ended."""
    estimates = DurationEstimates()
    call = estimates.start("r", BEGAN_AT)
    estimates.end(call, BEGAN_AT + 0.1, completed=True)
    for number in range(20):
        estimates.start("r", BEGAN_AT + 1.0 + 0.1 * number)
    assert estimates.expected_s("r", BEGAN_AT + 4.0) == 3.0


def test_a_call_that_later_ones_overtake_says_nothing_about_the_next() -> None:
    """It is an outlier."""
    estimates = DurationEstimates()
    estimates.start("r", BEGAN_AT)
    for number in range(1, 20):
        started_at = BEGAN_AT + 0.2 * number
        call = estimates.start("r", started_at)
        estimates.end(call, started_at + 0.1, completed=True)
    expected_s = estimates.expected_s("r", BEGAN_AT + 5.0)
    assert expected_s is not None and expected_s < 0.5


# Guards against calls that are taken in a stop since others were refused quickly.
def test_quick_refusals_and_failures_say_nothing_about_a_route() -> None:
    """They neither lower the estimate nor overtake the calls that run."""
    estimates = DurationEstimates()
    _run_calls(estimates, 1.0)
    expected_s = estimates.expected_s("r", BEGAN_AT)
    estimates.start("r", BEGAN_AT)
    for number in range(1, 20):
        started_at = BEGAN_AT + 0.2 * number
        call = estimates.start("r", started_at)
        estimates.end(call, started_at + 0.01, completed=False)
    assert expected_s is not None and expected_s < 5.0
    assert estimates.expected_s("r", BEGAN_AT + 5.0) == 5.0


# Guards against calls that are taken in a stop since impatient callers had left.
def test_a_call_that_its_caller_gave_up_raises_the_estimate() -> None:
    """It would have taken longer than until then."""
    estimates = DurationEstimates()
    _run_calls(estimates, 0.1)
    for _ in range(20):
        call = estimates.start("r", BEGAN_AT)
        estimates.end(call, BEGAN_AT + 2.0, completed=False)
    expected_s = estimates.expected_s("r", BEGAN_AT + 2.0)
    assert expected_s is not None and expected_s > 1.8


def test_calls_that_begin_at_the_same_moment_are_counted_apart() -> None:
    """One that no server has run doesn't hide the other."""
    estimates = DurationEstimates()
    refused = [estimates.start("r", BEGAN_AT) for _ in range(2)]
    estimates.start("r", BEGAN_AT + 1.0)
    estimates.end(refused[0], BEGAN_AT, completed=False)
    assert estimates.expected_s("r", BEGAN_AT + 3.0) == 3.0
    estimates.end(refused[1], BEGAN_AT, completed=False)
    assert estimates.expected_s("r", BEGAN_AT + 3.0) == 2.0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
