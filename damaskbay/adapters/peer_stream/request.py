"""Requests that this daemon has sent or is about to send."""

from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from dataclasses import dataclass, field
from typing import Any

from damaskbay.adapters.peer_stream.outbox import OutgoingFrame
from damaskbay.adapters.peer_stream.stream import PeerStream
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem


class RequestFuture(Future[Any]):
    """Future that calls `on_cancel` when it is cancelled."""

    def __init__(self) -> None:
        super().__init__()
        self.on_cancel: Callable[[], object] | None = None

    def cancel(self) -> bool:
        """Cancel the future; return False if it already has a result."""
        cancelled = super().cancel()
        if cancelled and self.on_cancel is not None:
            self.on_cancel()
        return cancelled


@dataclass(slots=True, eq=False)
class OutgoingRequest:
    """
    Request to a peer. `deadline` is in seconds of the loop's clock.

    `stream` and `frame` are set once the request is assigned to a stream.
    """

    correlation_id: int
    peer: PeerAddress
    payload: bytes
    deadline: float
    future: RequestFuture = field(default_factory=RequestFuture)
    stream: PeerStream | None = None
    frame: OutgoingFrame | None = None

    def complete(self, result: Any) -> None:
        """Set the result of the future, unless it is done or cancelled."""
        try:
            self.future.set_result(result)
        except InvalidStateError:
            return

    def fail(self, problem: PeerProblem, detail: str) -> None:
        """Set a failure as the result; it is NOT_SENT if no byte has been written."""
        if self.frame is None or not self.frame.started:
            problem = PeerProblem.NOT_SENT
        self.complete(PeerFailure(problem, detail))
