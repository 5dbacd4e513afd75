"""Port to metrics and to the record that explains decisions."""

from dataclasses import dataclass
from typing import Protocol

from damaskbay.core.call import CallContext, CallResult


@dataclass(frozen=True, slots=True)
class EndedCall:
    """
    A call that ended at its ingress.

    `context` is None where the call was refused before it had one; `route` and
    `set_version` then tell how far it came. `took_s` is in seconds.
    """

    call_id: str
    result: CallResult
    took_s: float
    context: CallContext | None = None
    route: str = ""
    set_version: int = 0


class CallObserver(Protocol):
    """Is told how calls went. Safe from any thread, never blocks."""

    def call_ended(self, ended: EndedCall) -> None:
        """Take note of a call that ended at its ingress."""
        ...

    def queue_waited(self, context: CallContext, waited_s: float) -> None:
        """Take note of the time a call waited for admission, in seconds."""
        ...
