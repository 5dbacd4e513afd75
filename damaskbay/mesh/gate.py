"""Admission control of the local backend server, as futures on the event loop."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    CallSample,
    Decision,
    FixedLimit,
    PendingCall,
    RefuseDecision,
)
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run

NESTED_QUEUE_PER_SLOT = 10.0
"""Nested calls that may wait per slot: a fraction of a second of work."""

EXPIRE_INTERVAL_S = 0.04
"""Seconds between checks for queued calls that have waited too long."""

MAX_WAIT_SHARE = 0.5
"""Part of its latency objective that a root call may wait, or it is refused."""


class Gate:
    """Turns decisions of the admission controller into futures of one event loop."""

    def __init__(self, slots: int, rng: Random, now: float) -> None:
        options = AdmissionOptions(
            slots,
            nested_queue_per_slot=NESTED_QUEUE_PER_SLOT,
            level_headroom=1.0,
            limit=lambda count, _now: FixedLimit(count),
        )
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

    def load(self) -> float:
        """Return the running and waiting calls per slot."""
        return (self.running + self.waiting) / max(1, self.slots)

    def level(self, now: float) -> int:
        """Return the admission level to report with responses."""
        return self._controller.level(now)

    async def acquire(
        self, context: CallContext, weight: float, now: float
    ) -> int | Refusal:
        """Wait for a slot; return its ticket, or a refusal."""
        if context.depth == 0 and context.objective_s is not None:
            wait_s = self._controller.expected_wait_s(context.priority_rank)
            if wait_s > MAX_WAIT_SHARE * context.objective_s:
                detail = f"expected wait {wait_s:.3f} s"
                return not_run(Reason.QUEUE_FULL, retry_after_s=wait_s, detail=detail)
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

    def release(self, ticket: int, sample: CallSample, now: float) -> None:
        """Release the slot of a ticket."""
        self._apply_decisions(self._controller.finish(ticket, sample, now))

    def set_slots(self, slots: int, now: float) -> None:
        """Change the number of calls that may run at once."""
        self.slots = slots
        self._apply_decisions(self._controller.set_slots(slots, now))

    async def run_expiry(self, clock: Callable[[], float]) -> None:
        """Refuse calls that wait too long, until cancelled; sleep while none waits."""
        while True:
            await self._queued.wait()
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._apply_decisions(self._controller.expire(clock()))
            if not self._waiting:
                self._queued.clear()

    def _apply_decisions(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.ticket, None)
            if future is None or future.done():
                continue
            if isinstance(decision, RefuseDecision):
                future.set_result(decision.refusal)
            else:
                future.set_result(None)
