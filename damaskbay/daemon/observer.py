"""Tell metrics, and the record that explains decisions, how calls went."""

import time
from collections import deque
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
TICK_S = 0.05
MAX_UNREAD = 20_000


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

    Notes are read at every tick, so that a call wakes no other thread. What comes
    while `MAX_UNREAD` are unread is dropped and counted in `dropped`.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        log: DecisionLog,
        *,
        wall_clock: Callable[[], float],
    ) -> None:
        super().__init__("observer", tick_s=TICK_S)
        self._unread: deque[_Ended | _Waited] = deque()
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
        self._note(_Ended(context, result, took_s, call_id, self._wall_clock()))

    def queue_waited(self, context: CallContext, waited_s: float) -> None:
        """Take note of the time a call waited for admission."""
        self._note(_Waited(context, waited_s))

    def explain(
        self, *, call_id: str | None, workspace: str | None
    ) -> tuple[Decision, ...]:
        """Return what is remembered of a call or of a workspace, oldest first."""
        question = _Question(call_id, workspace, Future())
        if not self.post(question):
            return ()
        return question.answer.result(EXPLAIN_TIMEOUT_S)

    def handle(self, message: object, now: float) -> None:
        """Answer a question."""
        if isinstance(message, _Question):
            self._read_all()
            message.answer.set_result(self._find(message))

    def tick(self, now: float) -> None:
        """Count and record what has come."""
        self._read_all()

    def _note(self, note: "_Ended | _Waited") -> None:
        if len(self._unread) >= MAX_UNREAD:
            self.dropped += 1
            return
        self._unread.append(note)

    def _read_all(self) -> None:
        while self._unread:
            self._read(self._unread.popleft())
            # Lets a call that waits for the interpreter go first.
            time.sleep(0)

    def _read(self, note: "_Ended | _Waited") -> None:
        if isinstance(note, _Waited):
            self._telemetry.queue_waited(note.context, note.waited_s)
            return
        self._telemetry.call_ended(note.context, note.result, took_s=note.took_s)
        self._log.record(_decision(note))

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
