"""Port to metrics and to the record that explains decisions."""

from typing import Protocol

from damaskbay.core.call import CallContext, CallResult


class CallObserver(Protocol):
    """Is told how calls went. Safe from any thread, never blocks."""

    def call_ended(
        self,
        context: CallContext | None,
        result: CallResult,
        *,
        took_s: float,
        call_id: str,
    ) -> None:
        """Take note of a call that ended at its ingress; `took_s` in seconds."""
        ...

    def queue_waited(self, context: CallContext, waited_s: float) -> None:
        """Take note of the time a call waited for admission, in seconds."""
        ...
