"""Port to other daemons: typed messages over proven streams."""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


@dataclass(frozen=True, slots=True, order=True)
class PeerAddress:
    """Where a daemon listens for peers: IP number and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who is at the other end of a proven stream."""

    instance: str
    incarnation: int
    failure_domain: str


class PeerProblem(Enum):
    """Why a message brought no answer."""

    NOT_SENT = "not_sent"
    """No byte of the message left this process."""

    LOST = "lost"
    """The stream broke or went silent after bytes had left."""

    TIMEOUT = "timeout"
    """No answer in time; the message may have been handled."""

    CANCELLED = "cancelled"
    """The sender cancelled; the message may have been handled."""

    REJECTED = "rejected"
    """The peer has no handler for this kind of message; it was not handled."""


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A message that brought no answer."""

    problem: PeerProblem
    detail: str = ""


class Responder(Protocol):
    """Answers one message, once. Later answers are dropped."""

    def answer(self, message: Any) -> None:
        """Send the answer; safe from any thread."""
        ...

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call back when the sender cancels or the stream ends before an answer."""
        ...


Handler = Callable[[PeerIdentity, Any, Responder], None]
"""Runs on the task that owns the stream: it must hand work on and not block."""


class PeerLink(Protocol):
    """Sends typed messages (see helpers.messages) to other daemons."""

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        """
        Send and return a future of the answer message or a PeerFailure.

        Cancelling the future sends a cancellation to the peer.
        """
        ...

    def send(self, peer: PeerAddress, message: Any) -> None:
        """Send without an answer, best effort; dropped where the queue is full."""
        ...

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Handle messages of one type. Call before the link starts."""
        ...
