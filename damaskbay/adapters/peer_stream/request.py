"""A request from its call to its end, at the side that asked."""

from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from dataclasses import dataclass, field
from typing import Any

from damaskbay.adapters.peer_stream.outbox import Outgoing
from damaskbay.adapters.peer_stream.stream import PeerStream
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem


class RequestFuture(Future[Any]):
    """A future that tells of its cancellation."""

    def __init__(self) -> None:
        super().__init__()
        self.on_cancel: Callable[[], object] | None = None

    def cancel(self) -> bool:
        """Cancel; return False where there is a result already."""
        cancelled = super().cancel()
        if cancelled and self.on_cancel is not None:
            self.on_cancel()
        return cancelled


@dataclass(slots=True, eq=False)
class OutgoingRequest:
    """
    A request from its call to its end. `deadline` is in the loop's seconds.

    `stream` and `frame` are set once it is bound to a stream.
    """

    correlation_id: int
    peer: PeerAddress
    payload: bytes
    deadline: float
    future: RequestFuture = field(default_factory=RequestFuture)
    stream: PeerStream | None = None
    frame: Outgoing | None = None

    def end(self, result: Any) -> None:
        """Hand the caller its result; a cancelled future takes none."""
        try:
            self.future.set_result(result)
        except InvalidStateError:
            return

    def fail(self, problem: PeerProblem, detail: str) -> None:
        """Hand the caller a failure, as NOT_SENT where no byte had left."""
        if self.frame is None or not self.frame.started:
            problem = PeerProblem.NOT_SENT
        self.end(PeerFailure(problem, detail))
