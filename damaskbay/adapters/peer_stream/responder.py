"""Requests that run in this daemon, and the responders for their handlers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from damaskbay.adapters.peer_stream.frames import FrameKind, encode
from damaskbay.adapters.peer_stream.outbox import OutgoingFrame
from damaskbay.adapters.peer_stream.stream import PeerStream
from damaskbay.helpers.messages import pack


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """Request that runs here; `open` until its reply is sent or it is cancelled."""

    stream: PeerStream
    correlation_id: int
    open: bool = True
    cancelled: bool = False
    on_cancel: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReplyCommand:
    """Command to send a reply, already packed by the handler's thread."""

    request: IncomingRequest
    payload: bytes


@dataclass(frozen=True, slots=True)
class FlushCommand:
    """Command to write the rest of a frame that was written in part."""

    stream: PeerStream


@dataclass(frozen=True, slots=True)
class OnCancelCommand:
    """Command to add a callback for the cancellation of a request."""

    request: IncomingRequest
    callback: Callable[[], None]


class CommandQueue(Protocol):
    """Queue of commands for the loop; thread-safe."""

    def post(self, command: Any) -> bool:
        """Queue a command; return False if the loop has stopped."""
        ...

    def post_deferred(self, command: Any, due: float) -> None:
        """Queue a command for the loop's next round, which starts by `due`."""
        ...


class StreamResponder:
    """Sends the reply to one request; thread-safe."""

    __slots__ = ("_command_queue", "_request")

    def __init__(self, request: IncomingRequest, command_queue: CommandQueue) -> None:
        self._request = request
        self._command_queue = command_queue

    def reply(self, message: Any) -> None:
        """Send the reply; a second one is dropped."""
        if not self._request.open:
            return
        payload = pack(message)
        if not self._try_reply(payload):
            self._command_queue.post(ReplyCommand(self._request, payload))

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Add a callback that runs on the loop's thread if the request is cancelled."""
        self._command_queue.post(OnCancelCommand(self._request, callback))

    def _try_reply(self, payload: bytes) -> bool:
        """Write the reply from this thread; return False if it must be queued."""
        request = self._request
        frame = OutgoingFrame(encode(FrameKind.ANSWER, request.correlation_id, payload))
        if not request.stream.try_send(frame, self._before_write, request):
            return False
        if request.stream.backlogged:
            self._command_queue.post(FlushCommand(request.stream))
        return True

    def _before_write(self, request: IncomingRequest) -> bool:
        """Mark the request as replied to; return False if it is already closed."""
        if not request.open:
            return False
        request.open = False
        self._command_queue.post_deferred(request, math.inf)
        return True


class NullResponder:
    """Responder of a one-way message, which discards replies."""

    def reply(self, message: Any) -> None:
        """Discard the reply."""

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Ignore the callback: a one-way message cannot be cancelled."""
