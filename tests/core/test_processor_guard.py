"""The guard of the processor time: which root calls a daemon begins."""

import unittest
from collections import Counter
from random import Random
from statistics import mean

from bench.processor_model import CAPACITY_PER_S, measure
from damaskbay.core.admission import PendingCall, StartDecision
from damaskbay.core.call import CallContext
from damaskbay.core.processor_guard import (
    DECREASE_LATE_S,
    HEADROOM,
    LATE_S,
    MAX_WAIT_SHARE,
    ProcessorGuard,
)
from damaskbay.helpers.loop_monitor import CHECK_INTERVAL_S
from tests.common import function_suite

DURATION_S = 20.0
TIME_LIMIT_S = 6.0


def _item(
    ticket: int, rank: int = 0, workspace: str = "w", deadline: float = TIME_LIMIT_S
) -> PendingCall:
    context = CallContext("", workspace, rank, deadline, "r", "p", True)
    return PendingCall(ticket, context)


def _sample(guard: ProcessorGuard, late_s: float, count: int, now: float) -> float:
    """Record samples of the same lateness; return the time of the last one."""
    for _ in range(count):
        now += CHECK_INTERVAL_S + late_s
        guard.record_lateness(late_s, now)
    return now


def _limited() -> tuple[ProcessorGuard, float]:
    """Return a guard that limits, with its limit in use, and the time."""
    guard = ProcessorGuard(Random(1), 0.0)
    for _ in range(int(HEADROOM)):
        assert guard.start_at_once(0.0)
    now = _sample(guard, 2.0 * LATE_S, 10, 0.0)
    assert guard.is_limiting
    while guard.in_progress > guard.limit:
        guard.finish(now)
    return guard, now


# Requests were begun without a limit, shared the processor, and ended too late.
def test_as_many_requests_are_served_at_four_times_the_load() -> None:
    """Without the guard most end without a response; with it each one has one."""
    unguarded = measure(4.0, DURATION_S, 1, guarded=False)
    assert unguarded.served < 0.2 * DURATION_S * CAPACITY_PER_S
    assert unguarded.unanswered > unguarded.offered // 2
    results = [measure(load, DURATION_S, 1, guarded=True) for load in (1.0, 2.0, 4.0)]
    most = max(result.served for result in results)
    for result in results:
        assert result.unanswered == 0, result
        assert result.served > 0.9 * most, result


def test_nothing_is_refused_below_the_capacity() -> None:
    """The loop is late now and then, but not for long."""
    result = measure(0.7, DURATION_S, 1, guarded=True)
    assert result.refused < result.offered // 100, result


def test_a_long_pause_limits_nothing() -> None:
    """A machine that stood still once is no sign that the processor is short."""
    guard = ProcessorGuard(Random(1), 0.0)
    now = _sample(guard, 3.0, 1, 0.0)
    now = _sample(guard, 0.001, 3, now)
    assert not guard.is_limiting


def test_calls_that_exceed_the_headroom_wait_for_the_next_sample() -> None:
    """A burst at a loop that is on time is not refused."""
    guard = ProcessorGuard(Random(1), 0.0)
    begun = sum(guard.start_at_once(0.0) for _ in range(12))
    assert begun == HEADROOM
    for ticket in range(4):
        assert not guard.offer(_item(ticket), 0.0)
    decisions = guard.record_lateness(0.001, CHECK_INTERVAL_S)
    assert len(decisions) == 4
    assert all(isinstance(decision, StartDecision) for decision in decisions)


# Bursts of calls with short time limits were refused by daemons that had nothing to do.
def test_a_burst_with_a_short_time_limit_is_not_refused_on_time() -> None:
    """Its calls begin once they have waited for their part of the limit."""
    guard = ProcessorGuard(Random(1), 0.0)
    tickets = [ticket for ticket in range(60) if not guard.start_at_once(0.0)]
    for ticket in tickets:
        assert not guard.offer(_item(ticket, deadline=0.3), 0.0)
    decisions = guard.record_lateness(0.001, CHECK_INTERVAL_S)
    assert all(isinstance(decision, StartDecision) for decision in decisions)
    assert sorted(decision.ticket for decision in decisions) == tickets
    assert guard.in_progress == 60 and not guard.waiting


# A daemon beside busy processes limited its calls long after it had been short itself.
def test_a_limit_that_nothing_uses_ends_though_others_use_the_processor() -> None:
    """It has no effect on how late the loop is, and refuses the next burst."""
    guard, now = _limited()
    while guard.in_progress:
        guard.finish(now)
    late_s = 0.8 * LATE_S
    _sample(guard, late_s, 60, now)
    assert guard.late_s < LATE_S and not guard.is_limiting


def test_important_calls_begin_first_and_return_first() -> None:
    """Where calls wait, those of a lower rank make room."""
    guard, now = _limited()
    for _ in range(40):
        guard.finish(now)
        assert guard.start_at_once(now)
    ranks_by_ticket = {ticket: int(ticket % 3 > 0) for ticket in range(30)}
    refused: Counter[int] = Counter()
    for ticket, rank in ranks_by_ticket.items():
        for decision in guard.offer(_item(ticket, rank), now):
            refused[ranks_by_ticket[decision.ticket]] += 1
    assert refused[1] == 20, refused
    mean_wait_s = []
    for rank in (0, 1):
        refusals = [guard.refuse_at_once(rank, now) for _ in range(100)]
        assert all(refusal and refusal.not_run for refusal in refusals)
        waits_s = [refusal.retry_after_s or 0.0 for refusal in refusals if refusal]
        mean_wait_s.append(mean(waits_s))
    assert mean_wait_s[0] < 0.8 * mean_wait_s[1]


def test_a_call_waits_only_for_a_small_part_of_its_time_limit() -> None:
    """A call that can't be begun by then is told so while it can go elsewhere."""
    guard, now = _limited()
    assert not guard.offer(_item(1), now)
    wait_s = MAX_WAIT_SHARE * (TIME_LIMIT_S - now)
    assert not guard.record_lateness(2.0 * LATE_S, now + 0.9 * wait_s)
    (decision,) = guard.record_lateness(2.0 * LATE_S, now + 1.1 * wait_s)
    assert not isinstance(decision, StartDecision)
    assert guard.waiting == 0


def test_the_limit_rises_while_it_is_used_and_ends_when_it_is_not() -> None:
    """A daemon that has the processor again begins all calls."""
    guard, now = _limited()
    low = guard.limit
    while guard.start_at_once(now):
        pass
    now = _sample(guard, 0.001, 20, now)
    assert guard.limit > low
    while guard.in_progress:
        guard.finish(now)
    _sample(guard, 0.001, 60, now)
    assert not guard.is_limiting


def test_peers_see_a_load_that_the_limit_does_not_mend() -> None:
    """The processor may be taken by nested calls, calls of peers, other programs."""
    guard = ProcessorGuard(Random(1), 0.0)
    now = _sample(guard, 0.5 * DECREASE_LATE_S, 20, 0.0)
    assert guard.excess_load == 0.0
    _sample(guard, 2.0 * DECREASE_LATE_S, 20, now)
    assert guard.excess_load > 0.9


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
