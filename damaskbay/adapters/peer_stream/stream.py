"""Stream to a peer: non-blocking socket, handshake, send queue and liveness."""

import selectors
import socket
import ssl
import threading
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from damaskbay.adapters.peer_stream.const import MAX_DIRECT_SEND_BYTES, RECEIVE_BYTES
from damaskbay.adapters.peer_stream.exceptions import FrameError, PeerStreamError
from damaskbay.adapters.peer_stream.frames import (
    Frame,
    FrameKind,
    FrameReader,
    encode,
)
from damaskbay.adapters.peer_stream.liveness import Liveness
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.outbox import Outbox, OutgoingFrame
from damaskbay.adapters.peer_stream.proof import Handshake, Role
from damaskbay.ports.peer import PeerAddress, PeerIdentity

T = TypeVar("T")


class StreamState(Enum):
    """Progress of a stream."""

    CONNECTING = "connecting"
    TLS_HANDSHAKE = "securing"
    AUTHENTICATING = "proving"
    AUTHENTICATED = "proven"
    ENDED = "ended"


class PeerStream:
    """
    Stream to a peer; used on the loop's thread, except for `try_send`.

    The lock guards the outbox and the writes from it, which never block.

    Frames queued during the handshake stay in a separate outbox, so that no byte
    of them is sent before the peer is authenticated. `authenticated` is set while
    both ends are authenticated and the stream is open, `draining` once no new
    request may use it.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: PeerAddress,
        handshake: Handshake,
        options: PeerStreamOptions,
        stats: PeerStreamStats,
        now: float,
    ) -> None:
        self.sock = sock
        self.address = address
        self.opened_at = now
        self.used_at = now
        self.draining = False
        self.authenticated = False
        self.was_authenticated = False
        self.liveness = Liveness(options, now)
        self.state = (
            StreamState.CONNECTING
            if handshake.role is Role.INITIATOR
            else StreamState.TLS_HANDSHAKE
        )
        self._handshake = handshake
        self._options = options
        self._stats = stats
        self._reader = FrameReader()
        self._outbox = Outbox()
        self._deferred_outbox = Outbox()
        self._lock = threading.Lock()
        self._uses_tls = isinstance(sock, ssl.SSLSocket)
        self._max_direct_send_bytes = min(
            MAX_DIRECT_SEND_BYTES, options.max_frame_bytes
        )
        self._reported_sent_bytes = 0
        self._interest = selectors.EVENT_WRITE

    @property
    def role(self) -> Role:
        """Return the role of this end."""
        return self._handshake.role

    @property
    def identity(self) -> PeerIdentity:
        """Return the identity of the peer; raise PeerStreamError before its hello."""
        if self._handshake.identity is None:
            raise PeerStreamError("peer is not identified")
        return self._handshake.identity

    @property
    def backlogged(self) -> bool:
        """Return whether frames are queued for the socket."""
        return bool(self._outbox)

    @property
    def queued_bytes(self) -> int:
        """Return the size of all queued frames, also those that await the handshake."""
        return self._outbox.queued_bytes + self._deferred_outbox.queued_bytes

    @property
    def interest(self) -> int:
        """Return the selector events to watch for."""
        if self.state in (StreamState.CONNECTING, StreamState.TLS_HANDSHAKE):
            return self._interest
        if self._outbox:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def put(
        self, kind: FrameKind, correlation_id: int = 0, payload: bytes = b""
    ) -> OutgoingFrame:
        """Queue a frame; the next flush after the handshake writes it."""
        frame = OutgoingFrame(encode(kind, correlation_id, payload))
        with self._lock:
            (self._outbox if self.authenticated else self._deferred_outbox).put(frame)
        return frame

    def try_send(
        self, frame: OutgoingFrame, before_write: Callable[[T], bool], context: T
    ) -> bool:
        """
        Write a frame from the calling thread if nothing is queued; never blocks.

        Returns False if the loop has to send the frame. Otherwise
        `before_write(context)` was called before the first byte was written; if it
        returned True, the frame was written, and any rest is queued.
        """
        if self._uses_tls or len(frame.data) > self._max_direct_send_bytes:
            return False
        if not self._lock.acquire(blocking=False):
            return False
        try:
            if not self.authenticated or self.draining or self._outbox:
                return False
            if before_write(context):
                self._outbox.send_first(self.sock, frame)
            return True
        finally:
            self._lock.release()

    def withdraw(self, frame: OutgoingFrame) -> bool:
        """Remove a queued frame; return False if it has started or is not queued."""
        with self._lock:
            return self._outbox.withdraw(frame) or self._deferred_outbox.withdraw(frame)

    def flush(self) -> None:
        """Write frames until the socket would block; raise OSError if it fails."""
        if self._outbox:
            with self._lock:
                self._outbox.flush(self.sock)

    def take_sent_bytes(self) -> int:
        """Return the bytes written since the last call."""
        sent = self._outbox.sent_bytes
        count = sent - self._reported_sent_bytes
        self._reported_sent_bytes = sent
        return count

    def process_events(self, events: int, now: float, buffer: bytearray) -> list[Frame]:
        """
        Process selector events; return the received requests, replies and messages.

        Continues the handshake if it is not complete. Raises OSError and
        PeerStreamError if the stream has to be closed.
        """
        frames: list[Frame] = []
        if not self.authenticated and not self._advance_handshake():
            return frames
        if not events & selectors.EVENT_READ:
            return frames
        while self._receive(now, buffer, frames) and self._has_more():
            pass
        return frames

    def close(self) -> None:
        """Close the socket; queued frames are not sent."""
        with self._lock:
            self.state = StreamState.ENDED
            self.authenticated = False
            self.sock.close()

    def _advance_handshake(self) -> bool:
        """Continue connecting; return whether frames can be exchanged."""
        if self.state is StreamState.CONNECTING:
            self._finish_connect()
        return (
            self.state is not StreamState.TLS_HANDSHAKE or self._advance_tls_handshake()
        )

    def _finish_connect(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect failed")
        self.state = StreamState.TLS_HANDSHAKE

    def _advance_tls_handshake(self) -> bool:
        if isinstance(self.sock, ssl.SSLSocket):
            try:
                self.sock.do_handshake()
            except ssl.SSLWantReadError:
                self._interest = selectors.EVENT_READ
                return False
            except ssl.SSLWantWriteError:
                self._interest = selectors.EVENT_WRITE
                return False
        self.state = StreamState.AUTHENTICATING
        self._queue_bytes(self._handshake.start())
        return True

    def _receive(self, now: float, buffer: bytearray, frames: list[Frame]) -> bool:
        try:
            count = self.sock.recv_into(buffer, RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return False
        if count == 0:
            raise PeerStreamError("connection closed by the peer")
        self._stats.bytes_received += count
        self.liveness.record_received(now)
        with memoryview(buffer) as view, view[:count] as data:
            for frame in self._reader.feed(data):
                if not self.authenticated or frame.kind <= FrameKind.PONG:
                    self._handle_control_frame(frame)
                else:
                    frames.append(frame)
        return True

    def _has_more(self) -> bool:
        """Return whether TLS has buffered bytes, which the selector does not report."""
        return isinstance(self.sock, ssl.SSLSocket) and self.sock.pending() > 0

    def _handle_control_frame(self, frame: Frame) -> None:
        """Handle a frame of the handshake or a heartbeat."""
        if not self.authenticated:
            self._queue_bytes(self._handshake.handle(frame))
            if self._handshake.authenticated:
                self._mark_authenticated()
        elif frame.kind is FrameKind.PING:
            self.put(FrameKind.PONG)
        elif frame.kind is not FrameKind.PONG:
            raise FrameError(f"{frame.kind.name} after authentication")

    def _mark_authenticated(self) -> None:
        self._reader.max_bytes = self._options.max_frame_bytes
        with self._lock:
            self._deferred_outbox.move_to(self._outbox)
            self.state = StreamState.AUTHENTICATED
            self.authenticated = True
        self.was_authenticated = True

    def _queue_bytes(self, data: bytes) -> None:
        if data:
            with self._lock:
                self._outbox.put(OutgoingFrame(data))
