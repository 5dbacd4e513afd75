"""Admission gate: the admission decisions, shared by the threads of a daemon."""

import logging
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    Decision,
    Refuse,
    Sample,
    Waiting,
)
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.task import Task

_LOGGER = logging.getLogger(__name__)

TICK_S = 0.05

StillAllowed = Callable[[CallContext], Refusal | None]
"""Looks again, right before a call starts, whether its key and route still hold."""

_Callback = Callable[[], "list[_Callback]"]
"""Calls back and returns what became due by it."""


@dataclass(slots=True)
class _Submitted:
    context: CallContext
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


class Ticket:
    """One submitted call. Safe from any thread; what comes twice is ignored."""

    def __init__(self, gate: "AdmissionGate", number: int) -> None:
        self._gate = gate
        self.number = number

    def finish(self, sample: Sample) -> None:
        """Free the slot of a started call."""
        self._gate.finish(self.number, sample)

    def nested_began(self) -> None:
        """Let another call work while this one waits for nested calls."""
        self._gate.nested_began(self.number)

    def nested_ended(self) -> None:
        """Count a started call as working again."""
        self._gate.nested_ended(self.number)

    def cancel(self) -> bool:
        """
        Forget a call that still waits: neither callback comes after True.

        False: the call is being started or refused, or was before.
        """
        return self._gate.cancel(self.number)


class AdmissionGate:
    """
    Admits calls to the local backend server, from any thread.

    Callbacks come outside the lock, on the thread whose call made them due: they
    must hand work on and not block. A call of `start` promises a `finish`.
    """

    def __init__(
        self,
        options: AdmissionOptions,
        *,
        rng: Random,
        still_allowed: StillAllowed = lambda context: None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self._clock = clock
        self._still_allowed = still_allowed
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
        """Ask for admission; exactly one of the callbacks comes, unless cancelled."""
        with self._lock:
            self._last_number += 1
            number = self._last_number
            self._submitted_by_number[number] = _Submitted(context, start, refuse)
            item = Waiting(number, context, weight, cost)
            due = self._due(self._controller.offer(item, self._clock()))
        self._call_back(due)
        return Ticket(self, number)

    def finish(self, number: int, sample: Sample) -> None:
        """Free the slot of a started call and start what waits."""
        with self._lock:
            due = self._due(self._controller.finish(number, sample, self._clock()))
        self._call_back(due)

    def nested_began(self, number: int) -> None:
        """Take note that a started call waits for nested calls."""
        with self._lock:
            due = self._due(self._controller.nested_began(number, self._clock()))
        self._call_back(due)

    def nested_ended(self, number: int) -> None:
        """Take note that a started call works on by itself."""
        with self._lock:
            due = self._due(self._controller.nested_ended(number, self._clock()))
        self._call_back(due)

    def cancel(self, number: int) -> bool:
        """Forget a call that waits; return whether it did."""
        with self._lock:
            if self._submitted_by_number.pop(number, None) is None:
                return False
            due = self._due(self._controller.withdraw(number, self._clock()))
        self._call_back(due)
        return True

    def expire(self) -> None:
        """Refuse what has waited too long."""
        with self._lock:
            due = self._due(self._controller.expire(self._clock()))
        self._call_back(due)

    def set_slots(self, slots: int) -> None:
        """Change the ceiling of calls at once."""
        with self._lock:
            due = self._due(self._controller.set_slots(slots, self._clock()))
        self._call_back(due)

    def level(self) -> int:
        """Return the admission level to put on an answer."""
        with self._lock:
            return self._controller.level(self._clock())

    def has_room(self) -> bool:
        """Tell whether a call would start at once."""
        with self._lock:
            return self._controller.has_room()

    def load(self) -> float:
        """Return running and waiting calls as a share of the present limit."""
        with self._lock:
            controller = self._controller
            return (controller.running + controller.waiting) / controller.limit

    def running(self) -> int:
        """Return the number of calls that run."""
        with self._lock:
            return self._controller.running

    def _due(self, decisions: tuple[Decision, ...]) -> list[_Callback]:
        """Turn decisions into callbacks; the lock is held."""
        due: list[_Callback] = []
        for decision in decisions:
            submitted = self._submitted_by_number.pop(decision.ticket, None)
            if submitted is None:
                continue
            if isinstance(decision, Refuse):
                due.append(_bind_refuse(submitted.refuse, decision.refusal))
            else:
                due.append(self._bind_start(decision.ticket, submitted))
        return due

    def _bind_start(self, number: int, submitted: _Submitted) -> _Callback:
        def start() -> list[_Callback]:
            refusal = self._still_allowed(submitted.context)
            if refusal is None:
                submitted.start()
                return []
            submitted.refuse(refusal)
            unused = Sample(0.0, cancelled=True)
            with self._lock:
                decisions = self._controller.finish(number, unused, self._clock())
                return self._due(decisions)

        return start

    def _call_back(self, due: list[_Callback]) -> None:
        pending = deque(due)
        while pending:
            try:
                pending.extend(pending.popleft()())
            except Exception:
                _LOGGER.exception("admission: callback failed.")


def _bind_refuse(refuse: Callable[[Refusal], None], refusal: Refusal) -> _Callback:
    def call() -> list[_Callback]:
        refuse(refusal)
        return []

    return call


class AdmissionTicker(Task):
    """Lets a gate refuse what waits too long, even while nothing else happens."""

    def __init__(self, gate: AdmissionGate) -> None:
        super().__init__("admission", tick_s=TICK_S)
        self._gate = gate

    def handle(self, message: object, now: float) -> None:
        """Take no messages."""

    def tick(self, now: float) -> None:
        """Refuse what is due."""
        self._gate.expire()
