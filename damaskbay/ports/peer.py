"""Port to other daemons: typed messages over authenticated streams."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


@dataclass(frozen=True, slots=True, order=True)
class PeerAddress:
    """IP address and TCP port at which a daemon listens for peers."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of the daemon at the other end of an authenticated stream."""

    instance: str
    incarnation: int
    failure_domain: str


class PeerProblem(Enum):
    """Reason why a request got no reply."""

    NOT_SENT = "not_sent"
    """The message was not sent, or not to its end; the peer has not handled it."""

    LOST = "lost"
    """The stream broke or became unresponsive after bytes had been sent."""

    TIMEOUT = "timeout"
    """No reply in time; the message may have been handled."""

    CANCELLED = "cancelled"
    """The sender cancelled; the message may have been handled."""

    INTERRUPTED = "interrupted"
    """The sender is shutting down; the message may have been handled."""

    REJECTED = "rejected"
    """
    The message was not handled.

    The peer has no handler for its kind, too many run there, or its stream is ending.
    """


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """Result of a request that got no reply."""

    problem: PeerProblem
    detail: str = ""


class Responder(Protocol):
    """Sender of the reply to one message; only the first reply is sent."""

    def reply(self, message: Any) -> None:
        """Send the reply; thread-safe."""
        ...

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call back if the sender cancels or the stream ends before the reply."""
        ...


Handler = Callable[[PeerIdentity, Any, Responder], None]
"""Message handler; runs on the task that owns the stream, so it must not block."""


class PeerLink(Protocol):
    """Link that sends typed messages (see helpers.messages) to other daemons."""

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        """
        Send a request; return a future of the reply message or a PeerFailure.

        Cancelling the future sends a cancellation to the peer.
        """
        ...

    def send(self, peer: PeerAddress, message: Any) -> None:
        """Send a message without a reply, best effort; dropped if the queue is full."""
        ...

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of one message type, before the link starts."""
        ...
