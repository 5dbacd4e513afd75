"""Runs admitted calls on the local backend server."""

import logging
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass, field

from damaskbay.core.admission import CallSample
from damaskbay.core.call import CallContext, CallResult, Request, Response
from damaskbay.core.http_status import is_success
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.daemon.admission import AdmissionGate, Ticket
from damaskbay.daemon.calls import CallRegistry
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.ports.backend import BackendServer

_LOGGER = logging.getLogger(__name__)

QUEUE_GRACE_S = 0.5
MIN_REPORTED_WAIT_S = 0.0005


@dataclass(frozen=True, slots=True)
class TargetCall:
    """One call for this daemon's backend server."""

    context: CallContext
    request: Request
    cancellation: Cancellation = field(default_factory=Cancellation)


class Target:
    """Admits calls and sends them to the backend server once each. Thread-safe."""

    def __init__(
        self,
        *,
        instance: str,
        gate: AdmissionGate,
        backend: BackendServer,
        calls: CallRegistry,
        executor: Executor,
        weight_of: Callable[[str], float],
        clock: Callable[[], float],
        observe_wait: Callable[[CallContext, float], None],
    ) -> None:
        self._instance = instance
        self._gate = gate
        self._backend = backend
        self._calls = calls
        self._executor = executor
        self._weight_of = weight_of
        self._clock = clock
        self._observe_wait = observe_wait

    def has_room(self) -> bool:
        """Return whether a call submitted now would start immediately."""
        return self._gate.has_room()

    def run(self, call: TargetCall) -> CallResult:
        """Run a call on this thread and return its result."""
        admitted, ticket = self._admit(call)
        wait_s = call.context.deadline - self._clock() + QUEUE_GRACE_S
        try:
            refusal = admitted.result(max(0.0, wait_s))
        except TimeoutError:
            refusal = not_run(Reason.DEADLINE_PASSED, detail="waited in the queue")
            if not ticket.cancel():
                refusal = admitted.result()
        if refusal is not None:
            return self._refused_result(call, refusal)
        return self._execute(call, ticket)

    def submit(self, call: TargetCall, done: Callable[[CallResult], None]) -> None:
        """Run a call without blocking; `done` may be invoked on any thread."""
        admitted, ticket = self._admit(call)

        def on_admitted(future: "Future[Refusal | None]") -> None:
            refusal = future.result()
            if refusal is not None:
                done(self._refused_result(call, refusal))
                return
            self._executor.submit(self._execute_and_report, call, ticket, done)

        admitted.add_done_callback(on_admitted)

    def _admit(self, call: TargetCall) -> tuple["Future[Refusal | None]", Ticket]:
        """Submit a call for admission; the future is a refusal, or None if admitted."""
        admitted: Future[Refusal | None] = Future()
        submitted_at = self._clock()

        def start() -> None:
            waited_s = self._clock() - submitted_at
            if waited_s >= MIN_REPORTED_WAIT_S:
                self._observe_wait(call.context, waited_s)
            admitted.set_result(None)

        ticket = self._gate.submit(
            call.context,
            weight=self._weight_of(call.context.workspace),
            cost=call.context.depth,
            start=start,
            refuse=admitted.set_result,
        )

        def cancel_waiting() -> None:
            if ticket.cancel():
                admitted.set_result(not_run(Reason.CANCELLED))

        call.cancellation.on_cancel(cancel_waiting)
        return admitted, ticket

    def _execute_and_report(
        self,
        call: TargetCall,
        ticket: Ticket,
        done: Callable[[CallResult], None],
    ) -> None:
        try:
            result = self._execute(call, ticket)
        except Exception:
            _LOGGER.exception("target: call failed.")
            result = CallResult(
                unknown(Reason.INTERNAL_ERROR), served_by=self._instance
            )
        done(result)

    def _execute(self, call: TargetCall, ticket: Ticket) -> CallResult:
        token = self._calls.open(call.context, ticket)

        def revoke_token() -> None:
            self._calls.cancel(token)

        call.cancellation.on_cancel(revoke_token)
        started_at = self._clock()
        outcome: Response | Refusal = unknown(Reason.INTERNAL_ERROR)
        try:
            outcome = self._backend.call(
                call.request,
                call_token=token,
                deadline=call.context.deadline,
                cancellation=call.cancellation,
            )
        finally:
            call.cancellation.remove_callback(revoke_token)
            closed = self._calls.close(token)
            backend_s = self._clock() - started_at
            ticket.finish(
                CallSample(
                    backend_s,
                    succeeded=is_success(outcome),
                    cancelled=call.cancellation.cancelled,
                    nested_s=closed.nested_s,
                )
            )
        return CallResult(
            outcome,
            retry_tokens_left=closed.retry_tokens_left,
            admission_level=self._gate.level(),
            served_by=self._instance,
            backend_s=backend_s,
        )

    def _refused_result(self, call: TargetCall, refusal: Refusal) -> CallResult:
        return CallResult(
            refusal,
            attempts=0,
            retry_tokens_left=call.context.retry_tokens,
            admission_level=self._gate.level(),
            served_by=self._instance,
        )
