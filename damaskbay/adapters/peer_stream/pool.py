"""All streams of one task: waits for them, writes to them, ends them."""

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
from damaskbay.adapters.peer_stream.liveness import Verdict
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.outbox import Outgoing
from damaskbay.adapters.peer_stream.stream import PeerStream

_LOGGER = logging.getLogger(__name__)


class Side(Protocol):
    """What is done with the frames of a stream: one side each for both roles."""

    def on_frame(self, stream: PeerStream, frame: Frame, now: float) -> None:
        """Handle a proven peer's frame; raise FrameError where out of place."""
        ...

    def on_end(self, stream: PeerStream, now: float, detail: str) -> None:
        """Settle what was under way on a stream that has ended."""
        ...

    def busy(self, stream: PeerStream) -> bool:
        """Tell whether requests are under way on a stream."""
        ...


class StreamPool:
    """
    Streams with the side that each belongs to.

    `catch_up` handles what other threads have asked for meanwhile.
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        options: PeerStreamOptions,
        stats: PeerStreamStats,
        catch_up: Callable[[float], None],
    ) -> None:
        self._selector = selector
        self._catch_up = catch_up
        self._options = options
        self._stats = stats
        self._sides: dict[PeerStream, Side] = {}
        self._dirty: set[PeerStream] = set()
        self._interest: dict[PeerStream, int] = {}
        self._buffer = bytearray(RECEIVE_BYTES)

    def __len__(self) -> int:
        return len(self._sides)

    def of(self, side: Side) -> tuple[PeerStream, ...]:
        """Return the streams of one side, oldest first."""
        return tuple(s for s, owner in self._sides.items() if owner is side)

    def add(self, stream: PeerStream, side: Side) -> None:
        """Take a stream in."""
        self._sides[stream] = side
        self._interest[stream] = stream.interest
        self._selector.register(
            stream.sock, stream.interest, partial(self._ready, stream)
        )
        self._stats.streams = len(self._sides)

    def put(
        self,
        stream: PeerStream,
        kind: FrameKind,
        correlation_id: int = 0,
        payload: bytes = b"",
    ) -> Outgoing:
        """Queue a frame; it is written when the round settles."""
        self._dirty.add(stream)
        return stream.put(kind, correlation_id, payload)

    def touch(self, stream: PeerStream) -> None:
        """Write to a stream when the round settles."""
        self._dirty.add(stream)

    @property
    def unsettled(self) -> bool:
        """Tell whether a stream has something to write or to watch."""
        return bool(self._dirty)

    def settle(self, now: float) -> None:
        """Write to the streams that have something queued."""
        while self._dirty:
            stream = self._dirty.pop()
            if stream not in self._sides:
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
                self.end(stream, now, "the peer reads too slowly")
            else:
                self._watch(stream)

    def tick(self, now: float, late_s: float) -> None:
        """Ping what is quiet, end what is silent or not proven in time."""
        for stream, side in tuple(self._sides.items()):
            self._stats.bytes_sent += stream.take_sent_bytes()
            if not stream.proven:
                if now - stream.opened_at > self._options.handshake_timeout_s:
                    self._stats.streams_failed += 1
                    self.end(stream, now, "no proof in time")
                continue
            if late_s > self._options.heartbeat_s:
                stream.liveness.forgive(now)
            verdict = stream.liveness.due(now, busy=side.busy(stream))
            if verdict is Verdict.PING:
                self.put(stream, FrameKind.PING)
            elif verdict is Verdict.SILENT:
                self._stats.streams_silent += 1
                self.end(stream, now, "silent")

    def end(self, stream: PeerStream, now: float, detail: str) -> None:
        """Close a stream and settle what was under way on it."""
        side = self._sides.pop(stream, None)
        if side is None:
            return
        self._interest.pop(stream)
        self._dirty.discard(stream)
        self._selector.unregister(stream.sock)
        stream.close()
        self._stats.bytes_sent += stream.take_sent_bytes()
        self._stats.streams = len(self._sides)
        side.on_end(stream, now, detail)

    def _ready(self, stream: PeerStream, events: int, now: float) -> None:
        side = self._sides.get(stream)
        if side is None:
            return
        was_proven = stream.proven
        try:
            frames = stream.pump(events, now, self._buffer)
            if frames:
                # An answer may have come before its request was taken over.
                self._catch_up(now)
            for frame in frames:
                if stream not in self._sides:
                    return
                side.on_frame(stream, frame, now)
            if stream not in self._sides:
                return
            if stream.backlogged or not was_proven:
                self._dirty.add(stream)
        except (OSError, PeerStreamError) as error:
            self._fail(stream, now, error)
        except Exception:
            _LOGGER.exception("peer stream: stream failed.")
            self.end(stream, now, "internal error")

    def _fail(
        self, stream: PeerStream, now: float, error: OSError | PeerStreamError
    ) -> None:
        if isinstance(error, ProofError):
            self._stats.proofs_refused += 1
        elif isinstance(error, FrameError):
            self._stats.frames_refused += 1
        elif not stream.proven or isinstance(error, ssl.SSLError):
            self._stats.streams_failed += 1
        self.end(stream, now, str(error))

    def _watch(self, stream: PeerStream) -> None:
        interest = stream.interest
        if interest != self._interest[stream]:
            ready = partial(self._ready, stream)
            self._selector.modify(stream.sock, interest, ready)
            self._interest[stream] = interest
