"""Handling of requests: listener, accepted streams and running requests."""

import contextlib
import logging
import selectors
import socket
import ssl
from collections.abc import Callable, Sequence
from typing import Any

from damaskbay.adapters.peer_stream.const import FRAME_OVERHEAD_BYTES
from damaskbay.adapters.peer_stream.exceptions import FrameError
from damaskbay.adapters.peer_stream.frames import Frame, FrameKind
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.pool import StreamPool
from damaskbay.adapters.peer_stream.proof import Handshake, Role
from damaskbay.adapters.peer_stream.responder import (
    CommandQueue,
    IncomingRequest,
    NullResponder,
    OnCancelCommand,
    ReplyCommand,
    StreamResponder,
)
from damaskbay.adapters.peer_stream.stream import PeerStream
from damaskbay.helpers.messages import InvalidMessage, unpack
from damaskbay.ports.peer import Handler, PeerAddress, PeerIdentity

_LOGGER = logging.getLogger(__name__)


class RequestServer:
    """Accepts streams and passes requests to handlers; used on the loop's thread."""

    def __init__(
        self,
        identity: PeerIdentity,
        secrets: Sequence[bytes],
        pool: StreamPool,
        options: PeerStreamOptions,
        stats: PeerStreamStats,
        tls: ssl.SSLContext | None,
        command_queue: CommandQueue,
    ) -> None:
        self._identity = identity
        self._secrets = secrets
        self._pool = pool
        self._options = options
        self._stats = stats
        self._tls = tls
        self._command_queue = command_queue
        self._handlers: dict[type[Any], Handler] = {}
        self._running: dict[PeerStream, dict[int, IncomingRequest]] = {}
        self._listener: socket.socket | None = None
        self._selector: selectors.BaseSelector | None = None
        self.draining = False

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of one message type."""
        self._handlers[message_type] = handler

    def listen(
        self, address: PeerAddress, selector: selectors.BaseSelector
    ) -> PeerAddress:
        """Open the listener; return its address with the actual port."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listener = socket.create_server(
            (address.host, address.port), family=family, backlog=self._options.backlog
        )
        listener.setblocking(False)
        selector.register(listener, selectors.EVENT_READ, self._accept)
        self._listener = listener
        self._selector = selector
        host, port = listener.getsockname()[:2]
        return PeerAddress(host, port)

    def close_listener(self) -> None:
        """Stop accepting streams."""
        if self._listener is not None and self._selector is not None:
            self._selector.unregister(self._listener)
            self._listener.close()
            self._listener = None

    def drain(self) -> None:
        """Refuse new streams and requests; running requests continue."""
        self.draining = True
        self.close_listener()
        for stream in self._pool.streams_of(self):
            self._pool.put(stream, FrameKind.GOODBYE)

    @property
    def drained(self) -> bool:
        """Return whether no request runs and all replies are written."""
        return not any(self._running.values()) and not any(
            stream.queued_bytes
            for stream in self._pool.streams_of(self)
            if stream.authenticated
        )

    def send_reply(self, command: ReplyCommand) -> None:
        """Send a reply, or a DROPPED frame if it exceeds the frame or queue limit."""
        request = command.request
        if not request.open:
            return
        self._finish(request)
        stream, size = request.stream, len(command.payload)
        queued = stream.queued_bytes
        room = self._options.max_queue_bytes - queued
        if size <= min(room, self._options.max_frame_bytes - FRAME_OVERHEAD_BYTES):
            self._pool.put(
                stream, FrameKind.ANSWER, request.correlation_id, command.payload
            )
            return
        self._stats.replies_dropped += 1
        self._pool.put(stream, FrameKind.DROPPED, request.correlation_id)

    def on_reply_written(self, request: IncomingRequest) -> None:
        """Stop tracking a request whose reply was written by another thread."""
        self._remove(request)

    def add_on_cancel(self, command: OnCancelCommand) -> None:
        """Add the callback, or run it at once if the request is already cancelled."""
        if command.request.open:
            command.request.on_cancel.append(command.callback)
        elif command.request.cancelled:
            self._run_callback(command.callback)

    def on_frame(self, stream: PeerStream, frame: Frame, now: float) -> None:
        """Handle a request, a one-way message or a cancellation."""
        stream.used_at = now
        if frame.kind is FrameKind.REQUEST:
            self._handle_request(stream, frame)
        elif frame.kind is FrameKind.SEND:
            self._handle_one_way(stream, frame)
        elif frame.kind is FrameKind.CANCEL:
            request = self._running[stream].get(frame.correlation_id)
            if request is not None:
                self._cancel(request)
        else:
            raise FrameError(f"{frame.kind.name} from an initiator")

    def on_end(self, stream: PeerStream, now: float, detail: str) -> None:
        """Cancel the running requests of a stream that has ended."""
        for request in tuple(self._running[stream].values()):
            self._cancel(request)
        del self._running[stream]

    def is_busy(self, stream: PeerStream) -> bool:
        """Return whether requests of a stream are running."""
        return bool(self._running.get(stream))

    def _accept(self, _events: int, now: float) -> None:
        if self._listener is None:
            return
        with contextlib.suppress(BlockingIOError, ConnectionError):
            while True:
                sock, name = self._listener.accept()
                self._add_stream(sock, PeerAddress(name[0], name[1]), now)

    def _add_stream(
        self, sock: socket.socket, address: PeerAddress, now: float
    ) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if len(self._pool) >= self._options.max_streams:
            self._stats.streams_refused += 1
            sock.close()
            return
        self._close_excess_unauthenticated(now)
        if self._tls is not None:
            sock = self._tls.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
        handshake = Handshake(Role.ACCEPTOR, self._identity, self._secrets)
        stream = PeerStream(sock, address, handshake, self._options, self._stats, now)
        self._running[stream] = {}
        self._pool.add(stream, self)
        self._stats.streams_accepted += 1

    def _close_excess_unauthenticated(self, now: float) -> None:
        """Close the oldest unauthenticated stream if there are too many."""
        unauthenticated = [
            s for s in self._pool.streams_of(self) if not s.authenticated
        ]
        if len(unauthenticated) >= self._options.max_unauthenticated_streams:
            self._stats.streams_refused += 1
            self._pool.end(unauthenticated[0], now, "too many unauthenticated streams")

    def _handle_request(self, stream: PeerStream, frame: Frame) -> None:
        running = self._running[stream]
        if frame.correlation_id in running:
            raise FrameError("correlation id is already in use")
        request = IncomingRequest(stream, frame.correlation_id)
        if self.draining:
            self._reject(request, "draining")
            return
        if self._is_full(running):
            self._reject(request, "too many running requests")
            return
        message = unpack(frame.payload, max_bytes=self._options.max_frame_bytes)
        handler = self._handlers.get(type(message))
        if isinstance(message, InvalidMessage) or handler is None:
            self._reject(request, "no handler for this message")
            return
        self._stats.requests_received += 1
        running[frame.correlation_id] = request
        try:
            handler(
                stream.identity, message, StreamResponder(request, self._command_queue)
            )
        except Exception:
            _LOGGER.exception("peer stream: handler failed.")
            if request.open:
                self._finish(request)
                self._pool.put(stream, FrameKind.DROPPED, request.correlation_id)

    def _is_full(self, running: dict[int, IncomingRequest]) -> bool:
        """Return whether a stream has reached its limit of running requests."""
        limit = self._options.max_running_per_stream
        if len(running) < limit:
            return False
        # Another thread may have replied to a request that is still tracked.
        for request in tuple(running.values()):
            if not request.open:
                self._remove(request)
        return len(running) >= limit

    def _handle_one_way(self, stream: PeerStream, frame: Frame) -> None:
        message = unpack(frame.payload, max_bytes=self._options.max_frame_bytes)
        handler = self._handlers.get(type(message))
        if isinstance(message, InvalidMessage) or handler is None:
            self._stats.messages_rejected += 1
            return
        try:
            handler(stream.identity, message, NullResponder())
        except Exception:
            _LOGGER.exception("peer stream: handler failed.")

    def _reject(self, request: IncomingRequest, detail: str) -> None:
        self._stats.messages_rejected += 1
        self._pool.put(
            request.stream,
            FrameKind.REJECTED,
            request.correlation_id,
            detail.encode("ascii"),
        )

    def _finish(self, request: IncomingRequest) -> None:
        request.open = False
        self._remove(request)

    def _remove(self, request: IncomingRequest) -> None:
        running = self._running.get(request.stream)
        if running is not None:
            running.pop(request.correlation_id, None)

    def _cancel(self, request: IncomingRequest) -> None:
        if not request.open:
            self._remove(request)
            return
        request.cancelled = True
        self._finish(request)
        for callback in request.on_cancel:
            self._run_callback(callback)

    def _run_callback(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:
            _LOGGER.exception("peer stream: cancel callback failed.")
