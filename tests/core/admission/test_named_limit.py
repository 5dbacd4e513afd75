"""Tests of core.admission.named_limit and of admission under a named limit."""

import unittest
from random import Random

from hypothesis import given, settings, strategies as st

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    CallSample,
    FixedLimit,
    RefuseDecision,
)
from damaskbay.core.admission.const import (
    LIMIT_MIN_PER_S,
    LIMIT_RETURN_S,
    LIMIT_STALE_S,
    QUEUE_MIN_LENGTH,
)
from damaskbay.core.admission.named_limit import NamedLimit, parse_limit
from tests.common import function_suite
from tests.core.admission.common import call, refusals, starts

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
UNHEARD_CALLS = 4
STEP_S = 0.01
SLOTS = 100

random_limits = st.lists(
    st.tuples(st.floats(0.0, 200.0), st.floats(0.0, 6.0)), min_size=1, max_size=4
)


def _controller(*, unheard_calls: int | None = None) -> AdmissionController:
    options = AdmissionOptions(
        SLOTS,
        limit=lambda slots, _now: FixedLimit(slots),
        unheard_calls=unheard_calls,
    )
    return AdmissionController(options, Random(1), 0.0)


def _limited_controller() -> AdmissionController:
    """Return a controller whose server takes 5 calls per second, of 0.1 s each."""
    controller = _controller()
    controller.offer(call(0), 0.0)
    controller.finish(0, CallSample(0.1), 0.1)
    controller.record_response(5.0, 0.1)
    return controller


def _start_greedily(limit: NamedLimit, start: float, end: float) -> list[float]:
    """Start calls whenever the limit allows it; return the times of the starts."""
    times: list[float] = []
    for step in range(int((end - start) / STEP_S)):
        now = start + step * STEP_S
        while limit.allows_start(0, now) and len(times) < 10_000:
            limit.record_start(now)
            times.append(now)
    return times


@given(random_limits, st.booleans())
@settings(max_examples=60, deadline=None)
def test_no_window_has_more_starts_than_the_limits_allow(
    limits: list[tuple[float, float]], restart: bool
) -> None:
    """Also across changes of the limit and a restart of the daemon."""
    limit = NamedLimit(UNHEARD_CALLS, 0.0)
    times: list[float] = []
    spans: list[tuple[float, float, float]] = []
    now = 0.0
    for named, for_s in limits:
        if restart:
            limit.reset(now)
            times += [now] * UNHEARD_CALLS
        limit.record_response(named, now)
        times += _start_greedily(limit, now, now + for_s)
        spans.append((now, now + for_s, named))
        now += for_s
    for first in times:
        window_end = first + WINDOW_S
        count = sum(1 for at in times if first <= at < window_end)
        allowed = sum(
            named * max(0.0, min(end, window_end) - max(start, first))
            for start, end, named in spans
        )
        restarts = UNHEARD_CALLS * len(limits) if restart else 0
        # A lower limit takes over what an earlier one has saved, at most its own burst.
        bursts = sum(max(1.0, 0.25 * named) for _, _, named in spans)
        assert count <= allowed + bursts + restarts + LIMIT_MIN_PER_S * WINDOW_S + 1


def test_a_steady_limit_leaves_a_margin_to_the_bound() -> None:
    """A full bucket at the start of a window is within the allowed overage."""
    for named in (0.0, 0.3, 1.0, 6.8, 29.5, 400.0):
        limit = NamedLimit(None, 0.0)
        limit.record_response(named, 0.0)
        times = _start_greedily(limit, 10.0, 10.0 + WINDOW_S)
        assert len(times) <= OVERAGE * named * WINDOW_S + SLACK
        assert len(times) >= named * WINDOW_S


def test_a_limit_of_zero_still_lets_a_few_calls_through() -> None:
    """Otherwise no response could show that the limit has ended."""
    limit = NamedLimit(None, 0.0)
    limit.record_response(0.0, 0.0)
    assert 1 <= len(_start_greedily(limit, 0.0, 8.0)) <= SLACK


def test_few_calls_run_until_the_first_response() -> None:
    """A daemon that starts beside a running server does not know its limit."""
    controller = _controller(unheard_calls=UNHEARD_CALLS)
    started = [starts(controller.offer(call(ticket), 0.0)) for ticket in range(10)]
    assert sum(len(item) for item in started) == UNHEARD_CALLS
    decisions = controller.record_response(None, 0.1)
    assert len(starts(decisions)) == 10 - UNHEARD_CALLS
    controller.server_restarted(0.2)
    started = [starts(controller.offer(call(20 + item), 0.2)) for item in range(10)]
    assert sum(len(item) for item in started) == UNHEARD_CALLS
    assert not controller.has_room(0.2)


# Calls that a crashed server never answers kept calls from the server that replaced it.
def test_calls_of_an_earlier_server_start_do_not_hold_back_new_ones() -> None:
    """They only keep their slots until they end."""
    controller = _controller(unheard_calls=UNHEARD_CALLS)
    controller.record_response(None, 0.0)
    for ticket in range(20):
        controller.offer(call(ticket), 0.0)
    assert controller.running == 20
    controller.server_restarted(0.1)
    started = [starts(controller.offer(call(20 + item), 0.1)) for item in range(10)]
    assert sum(len(item) for item in started) == UNHEARD_CALLS
    assert starts(controller.finish(0, CallSample(5.0), 0.2)) == []
    assert len(starts(controller.finish(20, CallSample(0.1), 0.2))) == 1


def test_starts_return_step_by_step_after_a_limit() -> None:
    """One response without a limit, read out of order, ends nothing."""
    limit = NamedLimit(None, 0.0)
    limit.record_response(10.0, 0.0)
    limit.record_response(None, 0.01)
    limit.record_response(10.0, 0.02)
    assert limit.rate_per_s == 10.0
    now, rates = 0.02, [10.0]
    while limit.rate_per_s is not None:
        now += 0.1
        limit.record_response(None, now)
        rates.append(limit.rate_per_s or 1e9)
    assert rates == sorted(rates)
    assert abs(now - 0.02 - LIMIT_RETURN_S) < 0.2
    assert rates[-2] <= 10.0 * 16


def test_under_a_limit_the_least_important_calls_are_refused() -> None:
    """The queue is as long as the limit can serve soon, not as the slots."""
    controller = _limited_controller()
    refused = [
        ticket % 3
        for number in range(1, 10)
        for ticket in refusals(controller.offer(call(number, rank=number % 3), 0.1))
    ]
    assert controller.waiting == QUEUE_MIN_LENGTH
    assert sorted(refused) == [1, 1, 2, 2, 2]
    assert not starts(controller.expire(0.12))
    first = starts(controller.expire(0.1 + 1.0 / 5.0 + 0.01))
    assert [ticket % 3 for ticket in first] == [0]


def test_important_callers_are_told_to_return_sooner() -> None:
    """The retry delay is the time in which the server takes those before them."""
    controller = _limited_controller()
    delays: dict[int, list[float]] = {0: [], 2: []}
    for number in range(1, 200):
        rank = 2 if number % 4 else 0
        for decision in controller.offer(call(number, rank=rank), 0.1 + number / 100.0):
            if isinstance(decision, RefuseDecision):
                delay_s = decision.refusal.retry_after_s
                assert delay_s is not None
                refused_rank = 2 if decision.ticket % 4 else 0
                delays[refused_rank].append(delay_s)
    mean_s = {rank: sum(items) / len(items) for rank, items in delays.items()}
    assert mean_s[0] < 0.5 * mean_s[2]


def test_a_limit_that_no_response_confirms_is_tried_again() -> None:
    """Senders that avoid the server would not learn that its limit has ended."""
    controller = _limited_controller()
    assert controller.announced_slots(0.2) == 1
    assert controller.announced_slots(0.2 + LIMIT_STALE_S) == SLOTS
    assert controller.named_limit_per_s == 5.0


def test_only_finite_positive_numbers_are_limits() -> None:
    """Anything else names no limit."""
    assert parse_limit("29.5") == 29.5
    assert parse_limit("0") == 0.0
    for text in ("", "many", "nan", "inf", "-1", "1,5"):
        assert parse_limit(text) is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
