"""Admission control of the local backend server, as futures on the event loop."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    CallSample,
    Decision,
    PendingCall,
    RefuseDecision,
    UsefulLimit,
)
from damaskbay.core.admission.cold_limit import ColdLimit
from damaskbay.core.admission.options import LimitFactory
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.arrivals import read_arrived
from damaskbay.helpers.clock import monotonic_s

NESTED_QUEUE_PER_SLOT = 10.0
"""Nested calls that may wait per slot: a fraction of a second of work."""

NESTED_WAIT_SHARE = 0.25
"""
Wait of nested calls, as a part of their usual time, from which the level decreases.

Deadlines leave a tree about as long as it takes without waits, which all calls of its
path share with other delays.
"""

EXPIRE_INTERVAL_S = 0.04
"""Seconds between checks for queued calls that have waited too long."""

MIN_CHECK_INTERVAL_S = 0.002

MAX_WAIT_SHARE = 0.5
"""Part of its latency objective that a root call may wait, or it is refused."""

UNHEARD_CALLS = 4
"""Calls that run at once until the server's first response, which may name a limit."""


def admission_options(
    slots: int, limit: LimitFactory = UsefulLimit
) -> AdmissionOptions:
    """Return the options of admission to a server with this number of slots."""
    return AdmissionOptions(
        slots,
        nested_queue_per_slot=NESTED_QUEUE_PER_SLOT,
        level_headroom=1.0,
        nested_wait_share=NESTED_WAIT_SHARE,
        deadline_first=True,
        limit=limit,
        unheard_calls=UNHEARD_CALLS,
    )


class Gate:
    """Turns decisions of the admission controller into futures of one event loop."""

    def __init__(self, slots: int, rng: Random, now: float) -> None:
        self._useful = UsefulLimit(slots, now)
        options = admission_options(slots, lambda _slots, _now: self._useful)
        self._controller = AdmissionController(options, rng, now)
        self._waiting: dict[int, asyncio.Future[Refusal | None]] = {}
        self._last_ticket = 0
        self._queued = asyncio.Event()
        self.slots = slots

    @property
    def running(self) -> int:
        """Return the number of calls that run at the server."""
        return self._controller.running

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for a slot."""
        return self._controller.waiting

    @property
    def useful_slots(self) -> int:
        """Return how many of the slots are used now."""
        return self._useful.value()

    @property
    def named_limit_per_s(self) -> float | None:
        """Return the starts per second that the server takes, None if unlimited."""
        return self._controller.named_limit_per_s

    @property
    def cold_limit(self) -> ColdLimit:
        """Return the limit while the server is cold; `apply_cold` follows a change."""
        return self._controller.cold_limit

    def announced_slots(self, now: float) -> int:
        """Return the slots to announce to senders, fewer under a limit."""
        return self._controller.announced_slots(now)

    def load(self) -> float:
        """Return the running and waiting calls as a share of the capacity."""
        return self._controller.load(monotonic_s())

    def starts_per_s(self, now: float) -> float:
        """Return the recent starts per second."""
        return self._controller.starts_per_s(now)

    def level(self, now: float) -> int:
        """Return the admission level to report with responses."""
        return self._controller.level(now)

    async def acquire(
        self, context: CallContext, weight: float, now: float
    ) -> int | Refusal:
        """Wait for a slot; return its ticket, or a refusal."""
        if self._waits_too_long(context, now):
            return self._controller.refuse_long_wait(context, now)
        self._last_ticket += 1
        ticket = self._last_ticket
        item = PendingCall(ticket, context, weight, context.depth)
        decisions = self._controller.offer(item, now)
        self._apply_decisions(decisions)
        for decision in decisions:
            if decision.ticket == ticket:
                return (
                    decision.refusal if isinstance(decision, RefuseDecision) else ticket
                )
        future: asyncio.Future[Refusal | None]
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._queued.set()
        try:
            refusal = await future
        except asyncio.CancelledError:
            if self._waiting.pop(ticket, None) is None:
                self.release(ticket, CallSample(0.0, cancelled=True), now)
            else:
                self._apply_decisions(self._controller.withdraw(ticket, now))
            raise
        return ticket if refusal is None else refusal

    def _waits_too_long(self, context: CallContext, now: float) -> bool:
        """Return whether a call is refused at once, as it would wait for long."""
        limited = self.cold_limit.rate_per_s(now) is not None
        is_root = context.depth == 0
        if not limited and not (is_root and context.objective_s is not None):
            return False
        wait_s = self._controller.expected_wait_s(context.priority_rank, now)
        if is_root and limited and wait_s > 0.0 and self.waiting:
            # Calls that wait for a cold server are mostly nested ones, and go first.
            return True
        if self.cold_limit.waits_too_long(context, wait_s, now):
            return True
        objective_s = context.objective_s if is_root else None
        return objective_s is not None and wait_s > MAX_WAIT_SHARE * objective_s

    def apply_cold(self, now: float) -> None:
        """Start the calls that may start since the cold limit has changed."""
        self._apply_decisions(self._controller.expire(now))

    def refuse_waiting(self, refusal: Refusal, now: float) -> None:
        """Refuse all waiting calls."""
        for ticket in tuple(self._waiting):
            # The end of a wait may start another call.
            future = self._waiting.pop(ticket, None)
            if future is None:
                continue
            self._apply_decisions(self._controller.withdraw(ticket, now))
            if not future.done():
                future.set_result(refusal)

    def release(self, ticket: int, sample: CallSample, now: float) -> None:
        """Release the slot of a ticket."""
        self._apply_decisions(self._controller.finish(ticket, sample, now))

    def set_slots(self, slots: int, now: float) -> None:
        """Change the number of calls that may run at once."""
        self.slots = slots
        self._apply_decisions(self._controller.set_slots(slots, now))

    def record_response(self, limit_per_s: float | None, now: float) -> None:
        """Record the limit that a response names, None for a response without one."""
        self._apply_decisions(self._controller.record_response(limit_per_s, now))

    def record_extra_start(self, now: float) -> None:
        """Count a started call that is sent to the server once more."""
        self._controller.record_extra_start(now)

    def server_restarted(self, now: float) -> None:
        """Forget what was learned of an earlier start of the server."""
        self._useful.forget(now)
        self._controller.server_restarted(now)

    async def run_expiry(self, clock: Callable[[], float]) -> None:
        """
        Refuse calls that wait too long, and start those that the named limit allows.

        Runs until cancelled; sleeps while no call waits.
        """
        while True:
            await self._queued.wait()
            now = clock()
            due_at = now + self._next_check_s(now)
            await asyncio.sleep(due_at - now)
            if clock() - due_at > EXPIRE_INTERVAL_S:
                # Responses that have arrived may free slots for calls that wait.
                await read_arrived()
            self._apply_decisions(self._controller.expire(clock()))
            if not self._waiting:
                self._queued.clear()

    def _next_check_s(self, now: float) -> float:
        """Return the seconds until the named limit allows a start, or the interval."""
        next_start_s = self._controller.next_start_s(now) or EXPIRE_INTERVAL_S
        return min(EXPIRE_INTERVAL_S, max(MIN_CHECK_INTERVAL_S, next_start_s))

    def _apply_decisions(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.ticket, None)
            if future is None or future.done():
                continue
            if isinstance(decision, RefuseDecision):
                future.set_result(decision.refusal)
            else:
                future.set_result(None)
