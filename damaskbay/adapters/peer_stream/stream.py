"""One stream: a non-blocking socket, its handshake, its queue and its liveness."""

import selectors
import socket
import ssl
import threading
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from damaskbay.adapters.peer_stream.const import MAX_DIRECT_BYTES, RECEIVE_BYTES
from damaskbay.adapters.peer_stream.exceptions import FrameError, PeerStreamError
from damaskbay.adapters.peer_stream.frames import (
    Frame,
    FrameKind,
    FrameReader,
    encode,
)
from damaskbay.adapters.peer_stream.liveness import Liveness
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.outbox import Outbox, Outgoing
from damaskbay.adapters.peer_stream.proof import Handshake, Role
from damaskbay.ports.peer import PeerAddress, PeerIdentity

T = TypeVar("T")


class StreamState(Enum):
    """How far a stream has come."""

    CONNECTING = "connecting"
    SECURING = "securing"
    PROVING = "proving"
    PROVEN = "proven"
    ENDED = "ended"


class PeerStream:
    """
    One stream. Only the task that owns it may touch it, but for `send_now`.

    The lock guards the outbox and the write that follows, which never blocks.

    Frames given before the proof are held back, so that no byte of them leaves
    before the peer is proven. `proven` tells that both ends have proven
    themselves and frames flow, `leaving` that no new request may use the stream.
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
        self.leaving = False
        self.proven = False
        self.was_proven = False
        self.liveness = Liveness(options, now)
        self.state = (
            StreamState.CONNECTING
            if handshake.role is Role.INITIATOR
            else StreamState.SECURING
        )
        self._handshake = handshake
        self._options = options
        self._stats = stats
        self._reader = FrameReader()
        self._outbox = Outbox()
        self._held = Outbox()
        self._lock = threading.Lock()
        self._secure = isinstance(sock, ssl.SSLSocket)
        self._max_direct_bytes = min(MAX_DIRECT_BYTES, options.max_frame_bytes)
        self._counted_bytes = 0
        self._interest = selectors.EVENT_WRITE

    @property
    def role(self) -> Role:
        """Return this end's role."""
        return self._handshake.role

    @property
    def identity(self) -> PeerIdentity:
        """Return who the proven peer is."""
        if self._handshake.identity is None:
            raise PeerStreamError("not proven")
        return self._handshake.identity

    @property
    def backlogged(self) -> bool:
        """Tell whether frames wait for the socket."""
        return bool(self._outbox)

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that wait to be written."""
        return self._outbox.queued_bytes + self._held.queued_bytes

    @property
    def interest(self) -> int:
        """Return the selector events that the stream waits for."""
        if self.state in (StreamState.CONNECTING, StreamState.SECURING):
            return self._interest
        if self._outbox:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def put(
        self, kind: FrameKind, correlation_id: int = 0, payload: bytes = b""
    ) -> Outgoing:
        """Queue a frame; it leaves on the next flush after the proof."""
        frame = Outgoing(encode(kind, correlation_id, payload))
        with self._lock:
            (self._outbox if self.proven else self._held).put(frame)
        return frame

    def send_now(
        self, frame: Outgoing, announce: Callable[[T], bool], owner: T
    ) -> bool:
        """
        Write from the calling thread where nothing is queued; never blocks.

        Returns False where the owning task has to send the frame. Otherwise
        `announce(owner)` was called before the first byte left, and where it
        returned True the frame is written; what the socket did not take stays
        queued.
        """
        if self._secure or len(frame.data) > self._max_direct_bytes:
            return False
        if not self._lock.acquire(blocking=False):
            return False
        try:
            if not self.proven or self.leaving or self._outbox:
                return False
            if announce(owner):
                self._outbox.send_first(self.sock, frame)
            return True
        finally:
            self._lock.release()

    def withdraw(self, frame: Outgoing) -> bool:
        """Take a frame back; return False where a byte of it may have left."""
        with self._lock:
            return self._outbox.withdraw(frame) or self._held.withdraw(frame)

    def flush(self) -> None:
        """Write what the socket takes; raise OSError."""
        if self._outbox:
            with self._lock:
                self._outbox.flush(self.sock)

    def take_sent_bytes(self) -> int:
        """Return the bytes written since the last call."""
        sent = self._outbox.sent_bytes
        count = sent - self._counted_bytes
        self._counted_bytes = sent
        return count

    def pump(self, events: int, now: float, buffer: bytearray) -> list[Frame]:
        """
        Go on after the selector's events; return the proven peer's frames.

        Raises OSError and PeerStreamError where the stream cannot go on.
        """
        frames: list[Frame] = []
        if not self.proven and not self._established():
            return frames
        if not events & selectors.EVENT_READ:
            return frames
        while self._receive(now, buffer, frames) and self._has_more():
            pass
        return frames

    def close(self) -> None:
        """Close the socket; what is queued stays unsent."""
        with self._lock:
            self.state = StreamState.ENDED
            self.proven = False
            self.sock.close()

    def _established(self) -> bool:
        """Go on with connecting; tell whether frames may flow."""
        if self.state is StreamState.CONNECTING:
            self._connected()
        return self.state is not StreamState.SECURING or self._secured()

    def _connected(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect failed")
        self.state = StreamState.SECURING

    def _secured(self) -> bool:
        if isinstance(self.sock, ssl.SSLSocket):
            try:
                self.sock.do_handshake()
            except ssl.SSLWantReadError:
                self._interest = selectors.EVENT_READ
                return False
            except ssl.SSLWantWriteError:
                self._interest = selectors.EVENT_WRITE
                return False
        self.state = StreamState.PROVING
        self._say(self._handshake.start())
        return True

    def _receive(self, now: float, buffer: bytearray, frames: list[Frame]) -> bool:
        try:
            count = self.sock.recv_into(buffer, RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return False
        if count == 0:
            raise PeerStreamError("closed by the peer")
        self._stats.bytes_received += count
        self.liveness.heard(now)
        with memoryview(buffer) as view, view[:count] as data:
            for frame in self._reader.take(data):
                if not self.proven or frame.kind <= FrameKind.PONG:
                    self._handle_own(frame)
                else:
                    frames.append(frame)
        return True

    def _has_more(self) -> bool:
        """Tell whether TLS holds bytes that no selector will report."""
        return isinstance(self.sock, ssl.SSLSocket) and self.sock.pending() > 0

    def _handle_own(self, frame: Frame) -> None:
        """Handle a frame of the handshake, or a heartbeat."""
        if not self.proven:
            self._say(self._handshake.handle(frame))
            if self._handshake.proven:
                self._become_proven()
        elif frame.kind is FrameKind.PING:
            self.put(FrameKind.PONG)
        elif frame.kind is not FrameKind.PONG:
            raise FrameError(f"{frame.kind.name} after proof")

    def _become_proven(self) -> None:
        self._reader.max_bytes = self._options.max_frame_bytes
        with self._lock:
            self._held.move_to(self._outbox)
            self.state = StreamState.PROVEN
            self.proven = True
        self.was_proven = True

    def _say(self, data: bytes) -> None:
        if data:
            with self._lock:
                self._outbox.put(Outgoing(data))
