"""All streams of one loop: socket events, writes, liveness checks and closing."""

import logging
import selectors
import ssl
from collections.abc import Callable
from functools import partial
from typing import Protocol

from damaskbay.adapters.peer_stream.const import CONTROL_RESERVE_BYTES, RECEIVE_BYTES
from damaskbay.adapters.peer_stream.exceptions import (
    FrameError,
    PeerStreamError,
    ProofError,
)
from damaskbay.adapters.peer_stream.frames import Frame, FrameKind
from damaskbay.adapters.peer_stream.liveness import LivenessStatus
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.outbox import OutgoingFrame
from damaskbay.adapters.peer_stream.stream import PeerStream

_LOGGER = logging.getLogger(__name__)


class StreamEndpoint(Protocol):
    """Owner of the streams of one role, which handles their frames."""

    def on_frame(self, stream: PeerStream, frame: Frame, now: float) -> None:
        """Handle a frame of an authenticated peer; raise FrameError if not allowed."""
        ...

    def on_end(self, stream: PeerStream, now: float, detail: str) -> None:
        """Fail or cancel the requests in flight on a stream that has ended."""
        ...

    def is_busy(self, stream: PeerStream) -> bool:
        """Return whether requests are in flight on a stream."""
        ...


class StreamPool:
    """
    All streams of a loop, each with its endpoint.

    `handle_new_commands` is called before received frames are handled.
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        options: PeerStreamOptions,
        stats: PeerStreamStats,
        handle_new_commands: Callable[[float], None],
    ) -> None:
        self._selector = selector
        self._handle_new_commands = handle_new_commands
        self._options = options
        self._stats = stats
        self._endpoints: dict[PeerStream, StreamEndpoint] = {}
        self._to_write: set[PeerStream] = set()
        self._interest: dict[PeerStream, int] = {}
        self._buffer = bytearray(RECEIVE_BYTES)

    def __len__(self) -> int:
        return len(self._endpoints)

    def streams_of(self, endpoint: StreamEndpoint) -> tuple[PeerStream, ...]:
        """Return the streams of one endpoint, oldest first."""
        return tuple(s for s, owner in self._endpoints.items() if owner is endpoint)

    def add(self, stream: PeerStream, endpoint: StreamEndpoint) -> None:
        """Add a stream and watch its socket."""
        self._endpoints[stream] = endpoint
        self._interest[stream] = stream.interest
        self._selector.register(
            stream.sock, stream.interest, partial(self._on_events, stream)
        )
        self._stats.streams = len(self._endpoints)

    def put(
        self,
        stream: PeerStream,
        kind: FrameKind,
        correlation_id: int = 0,
        payload: bytes = b"",
    ) -> OutgoingFrame:
        """Queue a frame; it is written at the end of the round."""
        self._to_write.add(stream)
        return stream.put(kind, correlation_id, payload)

    def mark_for_write(self, stream: PeerStream) -> None:
        """Mark a stream for a write at the end of the round."""
        self._to_write.add(stream)

    @property
    def has_pending_writes(self) -> bool:
        """Return whether a stream is marked for a write."""
        return bool(self._to_write)

    def flush(self, now: float) -> None:
        """Write to the marked streams and update their selector events."""
        while self._to_write:
            stream = self._to_write.pop()
            if stream not in self._endpoints:
                continue
            try:
                stream.flush()
            except (OSError, PeerStreamError) as error:
                self._fail(stream, now, error)
                continue
            if (
                stream.queued_bytes
                > self._options.max_queue_bytes + CONTROL_RESERVE_BYTES
            ):
                self._stats.streams_slow += 1
                self.end(stream, now, "peer reads too slowly")
            else:
                self._update_interest(stream)

    def tick(self, now: float, late_s: float) -> None:
        """Send due pings; close unresponsive streams and overdue handshakes."""
        for stream, endpoint in tuple(self._endpoints.items()):
            self._stats.bytes_sent += stream.take_sent_bytes()
            if not stream.authenticated:
                if now - stream.opened_at > self._options.handshake_timeout_s:
                    self._stats.streams_failed += 1
                    self.end(stream, now, "handshake timed out")
                continue
            if late_s > self._options.heartbeat_s:
                stream.liveness.restart_ping_timeout(now)
            status = stream.liveness.check(now, busy=endpoint.is_busy(stream))
            if status is LivenessStatus.PING_DUE:
                self.put(stream, FrameKind.PING)
            elif status is LivenessStatus.UNRESPONSIVE:
                self._stats.streams_unresponsive += 1
                self.end(stream, now, "peer is unresponsive")

    def end(self, stream: PeerStream, now: float, detail: str) -> None:
        """Close a stream and notify its endpoint."""
        endpoint = self._endpoints.pop(stream, None)
        if endpoint is None:
            return
        self._interest.pop(stream)
        self._to_write.discard(stream)
        self._selector.unregister(stream.sock)
        stream.close()
        self._stats.bytes_sent += stream.take_sent_bytes()
        self._stats.streams = len(self._endpoints)
        endpoint.on_end(stream, now, detail)

    def _on_events(self, stream: PeerStream, events: int, now: float) -> None:
        endpoint = self._endpoints.get(stream)
        if endpoint is None:
            return
        was_authenticated = stream.authenticated
        try:
            frames = stream.process_events(events, now, self._buffer)
            if frames:
                # A reply may arrive before the command that tracks its request.
                self._handle_new_commands(now)
            for frame in frames:
                if stream not in self._endpoints:
                    return
                endpoint.on_frame(stream, frame, now)
            if stream not in self._endpoints:
                return
            if stream.backlogged or not was_authenticated:
                self._to_write.add(stream)
        except (OSError, PeerStreamError) as error:
            self._fail(stream, now, error)
        except Exception:
            _LOGGER.exception("peer stream: stream failed.")
            self.end(stream, now, "internal error")

    def _fail(
        self, stream: PeerStream, now: float, error: OSError | PeerStreamError
    ) -> None:
        if isinstance(error, ProofError):
            self._stats.proofs_rejected += 1
        elif isinstance(error, FrameError):
            self._stats.frames_rejected += 1
        elif not stream.authenticated or isinstance(error, ssl.SSLError):
            self._stats.streams_failed += 1
        self.end(stream, now, str(error))

    def _update_interest(self, stream: PeerStream) -> None:
        interest = stream.interest
        if interest != self._interest[stream]:
            on_events = partial(self._on_events, stream)
            self._selector.modify(stream.sock, interest, on_events)
            self._interest[stream] = interest
