"""Admits calls to the local backend server."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.core.admission import CallSample
from damaskbay.core.call import CallContext, CallResult, PoolReport, Request, Response
from damaskbay.core.durations import DurationEstimates
from damaskbay.core.fatal_calls import FatalCalls, refusal_of_fatal_call
from damaskbay.core.http_status import is_success
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.memory_account import Holding, MemoryAccount
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.core.processor_guard import ProcessorGuard
from damaskbay.core.response_sizes import ResponseSizes
from damaskbay.core.retry.repeats import ServerRetryBudget
from damaskbay.core.trees.reports import TreeReports
from damaskbay.core.trees.room import AcceptedShare
from damaskbay.helpers.arrivals import call_after_reading
from damaskbay.helpers.logs import is_suppressed
from damaskbay.mesh.const import (
    NOT_READY_RETRY_S,
)
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.local_server import LocalServer
from damaskbay.mesh.running import RunningCall, RunningCalls
from damaskbay.mesh.server_calls import ServerCalls
from damaskbay.ports.fleet import ServerState

_LOGGER = logging.getLogger(__name__)

_REFUSED = "target: call refused."


@dataclass(frozen=True, slots=True)
class TargetParts:
    """Dependencies of Target; `weight_of` returns the weight of a workspace."""

    instance: str
    pool: str
    local: LocalServer
    gate: Gate
    calls: ServerCalls
    running: RunningCalls
    telemetry: BoundTelemetry
    repeats: ServerRetryBudget
    memory: MemoryAccount
    fatal_calls: FatalCalls
    trees: TreeReports
    processor: ProcessorGuard
    weight_of: Callable[[str], float]
    lifetime: Lifetime
    clock: Callable[[], float]


@dataclass(slots=True, eq=False)
class _ActiveCall:
    """
    A call and the task that runs it.

    It may run at the server once it is `sent`, when its request is written. `outlives`
    means that its sender waits for longer than this daemon can work.
    """

    task: "asyncio.Task[Any] | None"
    outlives: bool = False
    sent: bool = False
    interrupted: bool = False


class Target:
    """Admits calls to the local server; their only sender knows the slots in use."""

    def __init__(self, parts: TargetParts) -> None:
        self._parts = parts
        self._active_calls: set[_ActiveCall] = set()
        self._durations = DurationEstimates()
        self._sizes = ResponseSizes()
        self._accepted = AcceptedShare()
        self.draining = False

    @property
    def in_flight(self) -> int:
        """Return the number of calls in the queue and at the server."""
        return len(self._active_calls)

    def interrupt(self) -> None:
        """
        End all calls; their senders get a result that says if they may have run.

        Responses that have arrived are read before.
        """
        for active in tuple(self._active_calls):
            call_after_reading(self._interrupt, active)

    async def run(self, context: CallContext, request: Request) -> CallResult:
        """Run a call; cancellation closes its connection to the server."""
        deadline = self._parts.lifetime.limit(context.deadline)
        active = _ActiveCall(asyncio.current_task(), deadline < context.deadline)
        self._active_calls.add(active)
        if active.outlives:
            context = replace(context, deadline=deadline)
        try:
            result = await self._run(context, request, active)
            return _explain_shutdown(result) if active.outlives else result
        except asyncio.CancelledError:
            if not active.interrupted or active.task is None:
                self._log_cancelled(context, active)
                raise
            active.task.uncancel()
            return self._interrupted_result(context, active)
        finally:
            self._active_calls.discard(active)
            # A cancelled task refers to its frames, and so to the body.
            active.task = None

    async def _run(
        self, context: CallContext, request: Request, active: _ActiveCall
    ) -> CallResult:
        parts = self._parts
        now = parts.clock()
        refusal = self._refusal_before_queue(context, active, now)
        if refusal is not None:
            return self._refused_result(context, refusal, now)
        if context.is_retry and not parts.repeats.spend(context.priority_rank, now):
            refusal = not_run(Reason.RETRY_BUDGET_SPENT)
            return self._refused_result(context, refusal, now)
        with Holding(parts.memory) as holding:
            holding.set(self._sizes.expected_bytes(context.route))
            result = await self._run_admitted(context, request, active, now)
        if isinstance(result.result, Response):
            self._sizes.record(context.route, len(result.result.body))
        return result

    async def _run_admitted(
        self, context: CallContext, request: Request, active: _ActiveCall, now: float
    ) -> CallResult:
        """Run a call for whose response there is memory; record how long it takes."""
        parts = self._parts
        expected_s = self._durations.expected_s(context.route, now) or 0.0
        parts.lifetime.expect_end(min(context.deadline, now + expected_s))
        call = self._durations.start(context.route, now)
        completed = False
        try:
            result = await self._queue_and_send(context, request, active)
            completed = is_success(result.result)
        finally:
            self._durations.end(call, parts.clock(), completed=completed)
            if context.is_retry and not active.sent:
                parts.repeats.give_back()
        return result

    async def _queue_and_send(
        self, context: CallContext, request: Request, active: _ActiveCall
    ) -> CallResult:
        """Wait for a slot of the server and send the call to it."""
        parts = self._parts
        now = parts.clock()
        admitted = await parts.gate.acquire(
            context, parts.weight_of(context.workspace), now
        )
        waited_s, now = parts.clock() - now, parts.clock()
        parts.telemetry.record_queue_wait(context, waited_s)
        if isinstance(admitted, Refusal):
            return self._refused_result(context, admitted, now)
        sample = CallSample(0.0, cancelled=True)
        call = parts.running.add(context)
        try:
            refusal = self._refusal_at_send(context, request, now)
            if refusal is not None:
                return self._refused_result(context, refusal, now)
            outcome = await parts.calls.send(
                context, request, partial(self._record_send, context, active)
            )
            took_s = parts.clock() - now
            if active.sent:
                self._accepted.record(parts.clock(), accepted=not _is_rejected(outcome))
            sample = CallSample(
                took_s,
                succeeded=is_success(outcome),
                route=context.route,
                has_nested=call.has_nested,
            )
        finally:
            parts.running.remove(call)
            parts.gate.release(admitted, sample, parts.clock())
        return self._result(context, outcome, int(active.sent), took_s, call)

    def _refusal_before_queue(
        self, context: CallContext, active: _ActiveCall, now: float
    ) -> Refusal | None:
        """Return a refusal if the call can't run here; senders try another daemon."""
        parts = self._parts
        if context.pool != parts.pool:
            return not_run(
                Reason.BACKEND_SERVER_DRAINING, detail="daemon serves another pool"
            )
        if self.draining or (active.outlives and self._outlasts_daemon(context, now)):
            return not_run(Reason.SHUTTING_DOWN, retry_after_s=NOT_READY_RETRY_S)
        if parts.local.state is not ServerState.READY:
            return not_run(
                Reason.BACKEND_SERVER_DRAINING,
                retry_after_s=NOT_READY_RETRY_S,
                detail=f"server is {parts.local.state.value}",
            )
        if parts.local.evacuated:
            return not_run(
                Reason.BACKEND_SERVER_DRAINING,
                retry_after_s=NOT_READY_RETRY_S,
                detail="failure domain is evacuated",
            )
        expected_bytes = self._sizes.expected_bytes(context.route)
        if not parts.memory.admits(expected_bytes, nested=context.depth > 0):
            return not_run(
                Reason.OVERLOADED,
                retry_after_s=NOT_READY_RETRY_S,
                detail=f"{parts.memory.held_bytes} bytes are held",
            )
        if now < parts.calls.unreachable_until:
            return not_run(
                Reason.BACKEND_SERVER_FAILED, retry_after_s=NOT_READY_RETRY_S
            )
        return None

    def _outlasts_daemon(self, context: CallContext, now: float) -> bool:
        """Return whether a root call won't end here before the daemon does."""
        if context.depth > 0:
            return False
        expected_s = self._durations.expected_s(context.route, now) or 0.0
        return self._parts.lifetime.outlasts(expected_s, now)

    def _record_send(self, context: CallContext, active: _ActiveCall) -> None:
        """Record that a call may run from now on."""
        if not active.sent:
            active.sent = True
            self._count_attempt(context)

    def _count_attempt(self, context: CallContext) -> None:
        """Record an attempt that isn't a retry itself in the retry budget."""
        if context.is_retry:
            return
        if context.is_nested_in_retry:
            self._parts.repeats.record_nested_attempt()
        else:
            self._parts.repeats.record_first_attempt(self._parts.clock())

    def _refusal_at_send(
        self, context: CallContext, request: Request, now: float
    ) -> Refusal | None:
        refusal = self._parts.calls.refusal_at_send(context, now)
        return refusal or refusal_of_fatal_call(self._parts.fatal_calls, request, now)

    def _interrupt(self, active: _ActiveCall) -> None:
        if active.task is not None and active in self._active_calls:
            active.interrupted = True
            active.task.cancel()

    def _interrupted_result(
        self, context: CallContext, active: _ActiveCall
    ) -> CallResult:
        """Return the result of a call that the daemon's end interrupts."""
        now = self._parts.clock()
        if not active.sent:
            return self._refused_result(context, not_run(Reason.SHUTTING_DOWN), now)
        self._log_cancelled(context, active)
        detail = "daemon stopped while the server ran the call"
        outcome = unknown(Reason.SHUTTING_DOWN, detail=detail)
        return self._result(context, outcome, 1, None)

    def _log_cancelled(self, context: CallContext, active: _ActiveCall) -> None:
        """Log a call that its sender cancelled or that the daemon's end cuts."""
        parts = self._parts
        daemon_ends = active.interrupted or parts.lifetime.ended
        why = "daemon ends" if daemon_ends else "sender cancelled"
        _LOGGER.info(
            "target: call ends without a result.",
            extra={
                "request_id": context.request_id,
                "route": context.route,
                "why": why,
                "at_server": active.sent,
                "after_stop_s": parts.lifetime.since_stop_s(parts.clock()),
                "left_s": round(context.deadline - parts.clock(), 3),
            },
        )

    def _refused_result(
        self, context: CallContext, refusal: Refusal, now: float
    ) -> CallResult:
        why = refusal.reason.value
        if not is_suppressed(_LOGGER, _REFUSED, why):
            _LOGGER.info(
                _REFUSED,
                extra={
                    "request_id": context.request_id,
                    "route": context.route,
                    "why": why,
                    "running": self._parts.gate.running,
                    "waiting": self._parts.gate.waiting,
                    "left_s": round(context.deadline - now, 3),
                },
            )
        return self._result(context, refusal, 0, None)

    def _result(
        self,
        context: CallContext,
        outcome: Response | Refusal,
        attempts: int,
        took_s: float | None,
        call: RunningCall | None = None,
    ) -> CallResult:
        parts = self._parts
        now = parts.clock()
        own_level = parts.gate.level(now)
        level = parts.running.level(context.route, own_level, now)
        own = PoolReport(
            parts.pool,
            float(attempts),
            took_s or 0.0,
            own_level,
            self._accepted.value(now),
        )
        nested = call.needed.values() if call is not None else ()
        pools = parts.trees.pools_of(context.route, own, nested, now)
        return CallResult(
            outcome,
            attempts=attempts,
            admission_level=level,
            served_by=parts.instance,
            backend_s=took_s,
            load=round(parts.gate.load() + parts.processor.excess_load, 3),
            nested_failed=call is not None and call.nested_failed,
            pools=pools,
            has_nested=call is None or call.has_nested,
        )


def _is_rejected(outcome: Response | Refusal) -> bool:
    """Return whether the server rejected a request without running it."""
    return (
        isinstance(outcome, Refusal)
        and outcome.not_run
        and outcome.reason is Reason.OVERLOADED
    )


def _explain_shutdown(result: CallResult) -> CallResult:
    """Give the daemon's end as the reason if a deadline that it limited has passed."""
    refusal = result.result
    if not isinstance(refusal, Refusal) or refusal.reason is not Reason.DEADLINE_PASSED:
        return result
    return replace(result, result=replace(refusal, reason=Reason.SHUTTING_DOWN))
