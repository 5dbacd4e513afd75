"""Running requests and what handlers answer them with."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from damaskbay.adapters.peer_stream.frames import FrameKind, encode
from damaskbay.adapters.peer_stream.outbox import Outgoing
from damaskbay.adapters.peer_stream.stream import PeerStream
from damaskbay.helpers.messages import pack


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request that runs here; `open` until it is answered or cancelled."""

    stream: PeerStream
    correlation_id: int
    open: bool = True
    cancelled: bool = False
    on_cancel: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class AnswerCommand:
    """Send an answer, packed by the thread that gave it."""

    request: IncomingRequest
    payload: bytes


@dataclass(frozen=True, slots=True)
class FlushCommand:
    """Write what the socket did not take at once."""

    stream: PeerStream


@dataclass(frozen=True, slots=True)
class OnCancelCommand:
    """Call back when the request is cancelled."""

    request: IncomingRequest
    callback: Callable[[], None]


class Mailbox(Protocol):
    """Takes commands for the loop; safe from any thread."""

    def post(self, command: Any) -> bool:
        """Queue a command; return False where the loop has stopped."""
        ...

    def post_quietly(self, command: Any, due: float) -> None:
        """Queue a command that need not be handled before `due` or an event."""
        ...


class StreamResponder:
    """Answers one request; safe from any thread."""

    __slots__ = ("_mailbox", "_request")

    def __init__(self, request: IncomingRequest, mailbox: Mailbox) -> None:
        self._request = request
        self._mailbox = mailbox

    def answer(self, message: Any) -> None:
        """Send the answer; a second one is dropped."""
        if not self._request.open:
            return
        payload = pack(message)
        if not self._answer_now(payload):
            self._mailbox.post(AnswerCommand(self._request, payload))

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call back on the loop's thread when the request is cancelled."""
        self._mailbox.post(OnCancelCommand(self._request, callback))

    def _answer_now(self, payload: bytes) -> bool:
        """Write the answer from the calling thread where its stream is free."""
        request = self._request
        frame = Outgoing(encode(FrameKind.ANSWER, request.correlation_id, payload))
        if not request.stream.send_now(frame, self._announce, request):
            return False
        if request.stream.backlogged:
            self._mailbox.post(FlushCommand(request.stream))
        return True

    def _announce(self, request: IncomingRequest) -> bool:
        if not request.open:
            return False
        request.open = False
        self._mailbox.post_quietly(request, math.inf)
        return True


class NoResponder:
    """Stands in where the sender wants no answer."""

    def answer(self, message: Any) -> None:
        """Drop the answer."""

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Ignore: nothing can be cancelled."""
