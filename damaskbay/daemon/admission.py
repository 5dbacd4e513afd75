"""Thread-safe admission control for calls to the local backend server."""

import logging
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    CallSample,
    Decision,
    PendingCall,
    RefuseDecision,
)
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.task import Task

_LOGGER = logging.getLogger(__name__)

EXPIRY_TICK_S = 0.05

StillAllowed = Callable[[CallContext], Refusal | None]
"""Returns a refusal if a call that is about to start is no longer allowed."""

_Callback = Callable[[], "list[_Callback]"]
"""Notifies one submitter; returns further notifications that follow from it."""


@dataclass(slots=True)
class _Submitted:
    context: CallContext
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


class Ticket:
    """Handle of one submitted call. Thread-safe; repeated reports are ignored."""

    def __init__(self, gate: "AdmissionGate", number: int) -> None:
        self._gate = gate
        self.number = number

    def finish(self, sample: CallSample) -> None:
        """Release the slot of a started call."""
        self._gate.finish(self.number, sample)

    def record_nested_start(self) -> None:
        """Exclude this call from the limit while it waits for nested calls."""
        self._gate.record_nested_start(self.number)

    def record_nested_end(self) -> None:
        """Count this call against the limit again after its nested calls."""
        self._gate.record_nested_end(self.number)

    def cancel(self) -> bool:
        """
        Cancel a waiting call and return whether it was still waiting.

        After True neither callback is invoked. False means that the call has
        already been started or refused, or is about to be.
        """
        return self._gate.cancel(self.number)


class AdmissionGate:
    """
    Admits calls to the local backend server. Thread-safe.

    Callbacks run outside the lock, on the thread whose method call triggers them.
    They must not block; long work belongs on another thread. Each call whose
    `start` callback was invoked must be reported with `finish`.
    """

    def __init__(
        self,
        options: AdmissionOptions,
        *,
        rng: Random,
        refuse_withdrawn: StillAllowed = lambda context: None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self._clock = clock
        self._still_allowed = refuse_withdrawn
        self._controller = AdmissionController(options, rng, clock())
        self._lock = threading.Lock()
        self._submitted_by_number: dict[int, _Submitted] = {}
        self._last_number = 0

    def submit(
        self,
        context: CallContext,
        *,
        weight: float,
        cost: int,
        start: Callable[[], None],
        refuse: Callable[[Refusal], None],
    ) -> Ticket:
        """Queue a call; exactly one callback is invoked unless it is cancelled."""
        with self._lock:
            self._last_number += 1
            number = self._last_number
            self._submitted_by_number[number] = _Submitted(context, start, refuse)
            item = PendingCall(number, context, weight, cost)
            callbacks = self._callbacks_for(self._controller.offer(item, self._clock()))
        self._run_callbacks(callbacks)
        return Ticket(self, number)

    def finish(self, number: int, sample: CallSample) -> None:
        """Release the slot of a started call and start waiting calls."""
        with self._lock:
            callbacks = self._callbacks_for(
                self._controller.finish(number, sample, self._clock())
            )
        self._run_callbacks(callbacks)

    def record_nested_start(self, number: int) -> None:
        """Record that a started call waits for its nested calls."""
        with self._lock:
            callbacks = self._callbacks_for(
                self._controller.record_nested_start(number, self._clock())
            )
        self._run_callbacks(callbacks)

    def record_nested_end(self, number: int) -> None:
        """Record that a started call no longer waits for nested calls."""
        with self._lock:
            callbacks = self._callbacks_for(
                self._controller.record_nested_end(number, self._clock())
            )
        self._run_callbacks(callbacks)

    def cancel(self, number: int) -> bool:
        """Cancel a waiting call and return whether it was still waiting."""
        with self._lock:
            if self._submitted_by_number.pop(number, None) is None:
                return False
            callbacks = self._callbacks_for(
                self._controller.withdraw(number, self._clock())
            )
        self._run_callbacks(callbacks)
        return True

    def expire(self) -> None:
        """Refuse calls that have waited too long."""
        with self._lock:
            callbacks = self._callbacks_for(self._controller.expire(self._clock()))
        self._run_callbacks(callbacks)

    def set_slots(self, slots: int) -> None:
        """Set the maximum number of concurrent calls."""
        with self._lock:
            callbacks = self._callbacks_for(
                self._controller.set_slots(slots, self._clock())
            )
        self._run_callbacks(callbacks)

    def level(self) -> int:
        """Return the admission level to report with a response."""
        with self._lock:
            return self._controller.level(self._clock())

    def has_room(self) -> bool:
        """Return whether a call submitted now would start immediately."""
        with self._lock:
            return self._controller.has_room(self._clock())

    def load(self) -> float:
        """Return running plus waiting calls as a fraction of the current limit."""
        with self._lock:
            controller = self._controller
            return (controller.running + controller.waiting) / controller.limit

    def running(self) -> int:
        """Return the number of running calls."""
        with self._lock:
            return self._controller.running

    def _callbacks_for(self, decisions: tuple[Decision, ...]) -> list[_Callback]:
        """Convert decisions to callbacks; the caller holds the lock."""
        callbacks: list[_Callback] = []
        for decision in decisions:
            submitted = self._submitted_by_number.pop(decision.ticket, None)
            if submitted is None:
                continue
            if isinstance(decision, RefuseDecision):
                callbacks.append(_bind_refuse(submitted.refuse, decision.refusal))
            else:
                callbacks.append(self._bind_start(decision.ticket, submitted))
        return callbacks

    def _bind_start(self, number: int, submitted: _Submitted) -> _Callback:
        def start() -> list[_Callback]:
            refusal = self._still_allowed(submitted.context)
            if refusal is None:
                submitted.start()
                return []
            submitted.refuse(refusal)
            no_sample = CallSample(0.0, cancelled=True)  # the call did not run
            with self._lock:
                decisions = self._controller.finish(number, no_sample, self._clock())
                return self._callbacks_for(decisions)

        return start

    def _run_callbacks(self, callbacks: list[_Callback]) -> None:
        pending = deque(callbacks)
        while pending:
            try:
                pending.extend(pending.popleft()())
            except Exception:
                _LOGGER.exception("admission: callback failed.")


def _bind_refuse(refuse: Callable[[Refusal], None], refusal: Refusal) -> _Callback:
    def notify() -> list[_Callback]:
        refuse(refusal)
        return []

    return notify


class AdmissionTicker(Task):
    """Refuses expired calls of a gate periodically, also when no call arrives."""

    def __init__(self, gate: AdmissionGate) -> None:
        super().__init__("admission", tick_s=EXPIRY_TICK_S)
        self._gate = gate

    def handle(self, message: object, now: float) -> None:
        """Ignore the message; this task only uses its tick."""

    def tick(self, now: float) -> None:
        """Refuse calls that have waited too long."""
        self._gate.expire()
