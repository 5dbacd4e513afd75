"""Tell metrics, and the record that explains decisions, how calls went."""

import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass

from damaskbay.adapters.telemetry.client import Telemetry
from damaskbay.core.call import Answer, CallContext
from damaskbay.core.explain import Decision, DecisionLog, shorten
from damaskbay.helpers.task import Task
from damaskbay.ports.metrics import EndedCall

DECISION_ANSWERED = "answered"
EXPLAIN_TIMEOUT_S = 2.0
MS_PER_S = 1000
TICK_S = 0.05
MAX_UNREAD = 20_000


@dataclass(frozen=True, slots=True)
class _Ended:
    call: EndedCall
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

    def call_ended(self, ended: EndedCall) -> None:
        """Take note of a call that ended at its ingress."""
        self._note(_Ended(ended, self._wall_clock()))

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
        call = note.call
        self._telemetry.call_ended(call.context, call.result, took_s=call.took_s)
        self._log.record(_decision(call, note.wall_now))

    def _find(self, question: _Question) -> tuple[Decision, ...]:
        if question.call_id is not None:
            return self._log.by_call(question.call_id)
        return self._log.by_workspace(question.workspace or "")


def _decision(call: EndedCall, wall_now: float) -> Decision:
    outcome = call.result.result
    if isinstance(outcome, Answer):
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
