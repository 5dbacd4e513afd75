"""Tests of daemon.admission."""

import unittest
from concurrent.futures import ThreadPoolExecutor
from random import Random
from threading import Lock

from damaskbay.core.admission import AdmissionOptions, CallSample, FixedLimit
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.daemon.admission import AdmissionGate, StillAllowed, Ticket
from tests.common import function_suite
from tests.core.common import make_context

CALLS = 400
SLOTS = 3


class ManualClock:
    """Manually set clock, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time that was set."""
        return self.now


def allow_all(context: CallContext) -> Refusal | None:
    """Allow every call."""
    return None


def make_gate(
    slots: int, *, clock: ManualClock, refuse_withdrawn: StillAllowed = allow_all
) -> AdmissionGate:
    """Return a gate with a fixed limit of concurrent calls."""
    options = AdmissionOptions(slots, limit=lambda slots, now: FixedLimit(slots))
    return AdmissionGate(
        options, rng=Random(1), refuse_withdrawn=refuse_withdrawn, clock=clock
    )


class CallRecorder:
    """Submits calls and records their callbacks."""

    def __init__(self, gate: AdmissionGate) -> None:
        self.gate = gate
        self.started: list[int] = []
        self.refused: list[Refusal] = []

    def submit(self, number: int, context: CallContext) -> Ticket:
        """Submit one call."""
        return self.gate.submit(
            context,
            weight=1.0,
            cost=0,
            start=lambda: self.started.append(number),
            refuse=self.refused.append,
        )


def test_withdrawn_key_is_refused_when_its_turn_comes() -> None:
    """Queued calls of a withdrawn key never start; their slot goes to the next."""
    withdrawn: set[str] = set()

    def refuse_withdrawn(context: CallContext) -> Refusal | None:
        if context.workspace in withdrawn:
            return not_run(Reason.KEY_WITHDRAWN)
        return None

    clock = ManualClock()
    calls = CallRecorder(make_gate(600, clock=clock, refuse_withdrawn=refuse_withdrawn))
    tickets = [calls.submit(number, make_context()) for number in range(600)]
    for number in range(600, 1100):
        calls.submit(number, make_context(workspace="gone"))
    calls.submit(1100, make_context())
    withdrawn.add("gone")
    for ticket in tickets[:3]:
        ticket.finish(CallSample(0.1))
    assert calls.started == [*range(600), 1100]
    assert {item.reason for item in calls.refused} == {Reason.KEY_WITHDRAWN}
    assert len(calls.refused) == 500


def test_cancelled_call_is_never_called_back() -> None:
    """A call that was cancelled while it waited takes no slot."""
    calls = CallRecorder(make_gate(1, clock=ManualClock()))
    first = calls.submit(1, make_context())
    second = calls.submit(2, make_context())
    assert second.cancel()
    assert not second.cancel()
    assert not first.cancel(), "it has started"
    first.finish(CallSample(0.1))
    calls.submit(3, make_context())
    assert calls.started == [1, 3]
    assert calls.refused == []


def test_waiting_calls_expire() -> None:
    """A call that waits past its deadline is refused as not run."""
    clock = ManualClock()
    calls = CallRecorder(make_gate(1, clock=clock))
    calls.submit(1, make_context())
    calls.submit(2, make_context(deadline=1.0))
    clock.now = 1.5
    calls.gate.expire()
    (refusal,) = calls.refused
    assert refusal.reason is Reason.DEADLINE_PASSED
    assert refusal.not_run


def test_callback_may_use_the_gate_and_may_fail() -> None:
    """Callbacks run outside the lock; one that raises does not affect others."""
    gate = make_gate(1, clock=ManualClock())
    calls = CallRecorder(gate)
    levels: list[int] = []

    def start() -> None:
        levels.append(gate.level())
        raise ValueError("broken callback")

    with unittest.TestCase().assertLogs("damaskbay.daemon.admission", "ERROR"):
        ticket = gate.submit(
            make_context(), weight=1.0, cost=0, start=start, refuse=calls.refused.append
        )
    calls.submit(2, make_context())
    ticket.finish(CallSample(0.1))
    assert len(levels) == 1
    assert calls.started == [2]


def test_many_threads_never_exceed_the_slots() -> None:
    """Each call gets one callback, and never more calls run than slots exist."""
    gate = make_gate(SLOTS, clock=ManualClock())
    lock = Lock()
    running: list[int] = []
    running_counts: list[int] = []
    ended: list[int] = []

    def start(number: int) -> None:
        with lock:
            running.append(number)
            running_counts.append(len(running))

    def finish(number: int, ticket: Ticket, refused: list[Refusal]) -> None:
        """Finish a running call or cancel a waiting one."""
        while not refused and not ticket.cancel():
            with lock:
                if number not in running:
                    continue
                running.remove(number)
            ticket.finish(CallSample(0.001))
            return

    def submit_and_finish(number: int) -> None:
        refused: list[Refusal] = []
        ticket = gate.submit(
            make_context(),
            weight=1.0,
            cost=0,
            start=lambda: start(number),
            refuse=refused.append,
        )
        finish(number, ticket, refused)
        ended.append(number)

    with ThreadPoolExecutor(8) as executor:
        list(executor.map(submit_and_finish, range(CALLS)))
    assert sorted(ended) == list(range(CALLS))
    assert max(running_counts) <= SLOTS
    assert gate.running() == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
