"""Port to the metrics and to the decision log."""

from dataclasses import dataclass
from typing import Protocol

from damaskbay.core.call import CallContext, CallResult


@dataclass(frozen=True, slots=True)
class EndedCall:
    """
    A call that ended at its ingress.

    `context` is None if the call was refused before it had one; `route` and
    `set_version` are then set if they were already known. `took_s` is the duration
    in seconds.
    """

    call_id: str
    result: CallResult
    took_s: float
    context: CallContext | None = None
    route: str = ""
    set_version: int = 0


class CallObserver(Protocol):
    """Observer of calls, for metrics and logs; thread-safe, never blocks."""

    def call_ended(self, ended: EndedCall) -> None:
        """Record a call that ended at its ingress."""
        ...

    def record_queue_wait(self, context: CallContext, waited_s: float) -> None:
        """Record how long a call waited for admission, in seconds."""
        ...
