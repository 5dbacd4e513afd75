"""Admission of root calls by the daemon's own processor time, as futures."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random

from damaskbay.core.admission import Decision, PendingCall, RefuseDecision
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Refusal
from damaskbay.core.processor_guard import ProcessorGuard

_LOGGER = logging.getLogger(__name__)


class ProcessorGate:
    """Turns decisions of the processor guard into futures of one event loop."""

    def __init__(self, rng: Random, clock: Callable[[], float]) -> None:
        self.guard = ProcessorGuard(rng, clock())
        self._clock = clock
        self._waiting: dict[int, asyncio.Future[Refusal | None]] = {}
        self._last_ticket = 0

    def record_lateness(self, late_s: float, now: float) -> None:
        """Adapt the limit to how late the event loop was, in seconds."""
        guard = self.guard
        was_limiting = guard.is_limiting
        self._apply(guard.record_lateness(late_s, now))
        if guard.is_limiting is was_limiting:
            return
        _LOGGER.info(
            "daemon: root calls are limited."
            if guard.is_limiting
            else "daemon: root calls are no longer limited.",
            extra={
                "late_s": round(guard.late_s, 4),
                "limit": guard.limit,
                "in_progress": guard.in_progress,
                "waiting": guard.waiting,
            },
        )

    async def wait(self, context: CallContext, weight: float) -> Refusal | None:
        """Wait until a call may begin, which then has to leave; or return a refusal."""
        self._last_ticket += 1
        ticket = self._last_ticket
        future: asyncio.Future[Refusal | None]
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        item = PendingCall(ticket, context, weight, context.depth)
        try:
            self._apply(self.guard.offer(item, self._clock()))
            return await future
        except BaseException:
            if self._waiting.pop(ticket, None) is not None:
                self.guard.withdraw(ticket)
            elif future.done() and not future.cancelled() and future.result() is None:
                self.leave()
            raise

    def leave(self) -> None:
        """Record the end of a call that has begun."""
        self._apply(self.guard.finish(self._clock()))

    def _apply(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            future = self._waiting.pop(decision.ticket, None)
            refusal = None
            if isinstance(decision, RefuseDecision):
                refusal = decision.refusal
            if future is not None and not future.done():
                future.set_result(refusal)
            elif refusal is None:
                # Its caller has left in the meantime.
                self.leave()
