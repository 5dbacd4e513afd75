"""Tell metrics, and the record that explains decisions, how calls went."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass

from damaskbay.adapters.telemetry.client import Telemetry
from damaskbay.core.call import Answer, CallContext, CallResult
from damaskbay.core.explain import Decision, DecisionLog, shorten
from damaskbay.helpers.task import Task

DECISION_ANSWERED = "answered"
EXPLAIN_TIMEOUT_S = 2.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class _Ended:
    context: CallContext | None
    result: CallResult
    took_s: float
    call_id: str
    wall_now: float


@dataclass(frozen=True, slots=True)
class _Waited:
    context: CallContext
    waited_s: float


@dataclass(frozen=True, slots=True)
class _Question:
    call_id: str | None
    workspace: str | None
    answer: "Future[tuple[Decision, ...]]"


class DaemonObserver(Task):
    """
    Implements ports.metrics.CallObserver, off the thread that serves the call.

    What does not fit into the inbox is dropped and counted in `dropped`.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        log: DecisionLog,
        *,
        wall_clock: Callable[[], float],
    ) -> None:
        super().__init__("observer")
        self._telemetry = telemetry
        self._log = log
        self._wall_clock = wall_clock
        self.dropped = 0

    def call_ended(
        self,
        context: CallContext | None,
        result: CallResult,
        *,
        took_s: float,
        call_id: str,
    ) -> None:
        """Take note of a call that ended at its ingress."""
        ended = _Ended(context, result, took_s, call_id, self._wall_clock())
        if not self.post(ended):
            self.dropped += 1

    def queue_waited(self, context: CallContext, waited_s: float) -> None:
        """Take note of the time a call waited for admission."""
        if not self.post(_Waited(context, waited_s)):
            self.dropped += 1

    def explain(
        self, *, call_id: str | None, workspace: str | None
    ) -> tuple[Decision, ...]:
        """Return what is remembered of a call or of a workspace, oldest first."""
        question = _Question(call_id, workspace, Future())
        if not self.post(question):
            return ()
        return question.answer.result(EXPLAIN_TIMEOUT_S)

    def handle(self, message: object, now: float) -> None:
        """Count, record, or answer."""
        if isinstance(message, _Ended):
            self._telemetry.call_ended(
                message.context, message.result, took_s=message.took_s
            )
            self._log.record(_decision(message))
        elif isinstance(message, _Waited):
            self._telemetry.queue_waited(message.context, message.waited_s)
        elif isinstance(message, _Question):
            message.answer.set_result(self._find(message))

    def _find(self, question: _Question) -> tuple[Decision, ...]:
        if question.call_id is not None:
            return self._log.by_call(question.call_id)
        return self._log.by_workspace(question.workspace or "")


def _decision(ended: _Ended) -> Decision:
    outcome = ended.result.result
    context = ended.context
    if isinstance(outcome, Answer):
        decision, reason, detail = DECISION_ANSWERED, str(outcome.status), ""
    else:
        decision = f"refused {outcome.outcome.value}"
        reason, detail = outcome.reason.value, outcome.detail
    served_by = ended.result.served_by
    return Decision(
        at=ended.wall_now,
        call_id=ended.call_id,
        workspace=context.workspace if context else "",
        decision=decision,
        reason=reason,
        set_version=context.config_version if context else 0,
        rule=f"route {context.route}" if context else "",
        detail=shorten(f"{detail} at {served_by}".strip() if served_by else detail),
        figures=_figures(ended),
    )


def _figures(ended: _Ended) -> tuple[tuple[str, float], ...]:
    result = ended.result
    figures = [
        ("took_ms", round(ended.took_s * MS_PER_S, 3)),
        ("attempts", float(result.attempts)),
    ]
    if ended.context is not None:
        figures.append(("depth", float(ended.context.depth)))
    if result.admission_level is not None:
        figures.append(("admission_level", float(result.admission_level)))
    if result.backend_s is not None:
        figures.append(("backend_ms", round(result.backend_s * MS_PER_S, 3)))
    return tuple(figures)
