"""Records finished calls in the metrics and the decision log."""

import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass

from damaskbay.adapters.telemetry.client import Telemetry
from damaskbay.core.call import CallContext, Response
from damaskbay.core.explain import Decision, DecisionLog, shorten
from damaskbay.helpers.task import Task
from damaskbay.ports.metrics import EndedCall

DECISION_ANSWERED = "answered"
EXPLAIN_TIMEOUT_S = 2.0
MS_PER_S = 1000
PROCESS_TICK_S = 0.05
MAX_PENDING_EVENTS = 20_000


@dataclass(frozen=True, slots=True)
class _CallEnded:
    call: EndedCall
    wall_now: float


@dataclass(frozen=True, slots=True)
class _QueueWaited:
    context: CallContext
    waited_s: float


@dataclass(frozen=True, slots=True)
class _ExplainRequest:
    call_id: str | None
    workspace: str | None
    reply: "Future[tuple[Decision, ...]]"


class DaemonObserver(Task):
    """
    Records call events on a thread of its own (port: CallObserver).

    Events are queued and processed at every tick, so that a call does not wake
    another thread. While `MAX_PENDING_EVENTS` are pending, new events are dropped and
    counted in `dropped`.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        log: DecisionLog,
        *,
        wall_clock: Callable[[], float],
    ) -> None:
        super().__init__("observer", tick_s=PROCESS_TICK_S)
        self._pending: deque[_CallEnded | _QueueWaited] = deque()
        self._telemetry = telemetry
        self._decision_log = log
        self._wall_clock = wall_clock
        self.dropped = 0

    def call_ended(self, ended: EndedCall) -> None:
        """Queue the event of a call that ended at its ingress."""
        self._enqueue(_CallEnded(ended, self._wall_clock()))

    def record_queue_wait(self, context: CallContext, waited_s: float) -> None:
        """Queue the event of a call that waited `waited_s` seconds for admission."""
        self._enqueue(_QueueWaited(context, waited_s))

    def explain(
        self, *, call_id: str | None, workspace: str | None
    ) -> tuple[Decision, ...]:
        """
        Return the recorded decisions of a call or a workspace, oldest first.

        Returns none if the inbox is full. Raises TimeoutError after
        `EXPLAIN_TIMEOUT_S`.
        """
        explain_request = _ExplainRequest(call_id, workspace, Future())
        if not self.post(explain_request):
            return ()
        return explain_request.reply.result(EXPLAIN_TIMEOUT_S)

    def handle(self, message: object, now: float) -> None:
        """Process pending events, then reply to an explain request."""
        if isinstance(message, _ExplainRequest):
            self._process_pending()
            message.reply.set_result(self._find_decisions(message))

    def tick(self, now: float) -> None:
        """Process pending events."""
        self._process_pending()

    def _enqueue(self, event: "_CallEnded | _QueueWaited") -> None:
        if len(self._pending) >= MAX_PENDING_EVENTS:
            self.dropped += 1
            return
        self._pending.append(event)

    def _process_pending(self) -> None:
        while self._pending:
            self._process(self._pending.popleft())
            # Releases the interpreter lock, so that threads serving calls run first.
            time.sleep(0)

    def _process(self, event: "_CallEnded | _QueueWaited") -> None:
        if isinstance(event, _QueueWaited):
            self._telemetry.record_queue_wait(event.context, event.waited_s)
            return
        call = event.call
        self._telemetry.call_ended(call.context, call.result, took_s=call.took_s)
        self._decision_log.record(_decision_of(call, event.wall_now))

    def _find_decisions(self, explain_request: _ExplainRequest) -> tuple[Decision, ...]:
        if explain_request.call_id is not None:
            return self._decision_log.by_call(explain_request.call_id)
        return self._decision_log.by_workspace(explain_request.workspace or "")


def _decision_of(call: EndedCall, wall_now: float) -> Decision:
    outcome = call.result.result
    if isinstance(outcome, Response):
        decision, reason, detail = DECISION_ANSWERED, str(outcome.status), ""
    else:
        decision = f"refused {outcome.outcome.value}"
        reason, detail = outcome.reason.value, outcome.detail
    served_by = call.result.served_by
    return Decision(
        at=wall_now,
        call_id=call.call_id,
        workspace=call.context.workspace if call.context else "",
        decision=decision,
        reason=reason,
        set_version=call.set_version,
        rule=f"route {call.route}" if call.route else "",
        detail=shorten(f"{detail} at {served_by}".strip() if served_by else detail),
        figures=_figures(call),
    )


def _figures(call: EndedCall) -> tuple[tuple[str, float], ...]:
    result = call.result
    figures = [
        ("took_ms", round(call.took_s * MS_PER_S, 3)),
        ("attempts", float(result.attempts)),
    ]
    if call.context is not None:
        figures.append(("depth", float(call.context.depth)))
    if result.admission_level is not None:
        figures.append(("admission_level", float(result.admission_level)))
    if result.backend_s is not None:
        figures.append(("backend_ms", round(result.backend_s * MS_PER_S, 3)))
    return tuple(figures)
