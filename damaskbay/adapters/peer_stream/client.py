"""Sending of requests: streams that are opened on demand, and requests in flight."""

import errno
import heapq
import socket
import ssl
from collections.abc import Sequence
from typing import Any

from damaskbay.adapters.peer_stream.exceptions import FrameError
from damaskbay.adapters.peer_stream.frames import Frame, FrameKind
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.pool import StreamPool
from damaskbay.adapters.peer_stream.proof import Handshake, Role
from damaskbay.adapters.peer_stream.request import OutgoingRequest
from damaskbay.adapters.peer_stream.stream import PeerStream, StreamState
from damaskbay.helpers.messages import InvalidMessage, unpack
from damaskbay.ports.peer import (
    PeerAddress,
    PeerFailure,
    PeerIdentity,
    PeerProblem,
)

_REPLY_KINDS = frozenset({FrameKind.ANSWER, FrameKind.REJECTED, FrameKind.DROPPED})


class RequestClient:
    """Opens streams and matches replies to requests; used on the loop's thread."""

    def __init__(
        self,
        identity: PeerIdentity,
        secrets: Sequence[bytes],
        pool: StreamPool,
        options: PeerStreamOptions,
        stats: PeerStreamStats,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._identity = identity
        self._secrets = secrets
        self._pool = pool
        self._options = options
        self._stats = stats
        self._tls = tls
        self._streams_by_address: dict[PeerAddress, PeerStream] = {}
        self._requests_by_id: dict[int, OutgoingRequest] = {}
        self._ids_by_stream: dict[PeerStream, set[int]] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._reconnect_not_before: dict[PeerAddress, float] = {}

    def request(self, request: OutgoingRequest, now: float) -> None:
        """Send a request or fail it; one that is already written is only tracked."""
        if request.stream is not None:
            self._track_written(request, request.stream, now)
            return
        if request.future.cancelled():
            return
        if len(self._requests_by_id) >= self._options.max_requests:
            request.fail(PeerProblem.NOT_SENT, "too many requests in flight")
            return
        stream = self._stream_for(request.peer, len(request.payload), now)
        if isinstance(stream, str):
            request.fail(PeerProblem.NOT_SENT, stream)
            return
        self._track(request, stream, now)
        request.frame = self._pool.put(
            stream, FrameKind.REQUEST, request.correlation_id, request.payload
        )

    def ready_stream(self, peer: PeerAddress, now: float) -> PeerStream | None:
        """Return a stream for an immediate write, or None; thread-safe."""
        stream = self._streams_by_address.get(peer)
        if stream is None or stream.liveness.is_suspect(now):
            return None
        full = self._stats.requests >= self._options.max_requests
        return None if full else stream

    def send(self, peer: PeerAddress, payload: bytes, now: float) -> None:
        """Send a one-way message, or drop it if there is no stream for it."""
        stream = self._stream_for(peer, len(payload), now)
        if isinstance(stream, str):
            self._stats.sends_dropped += 1
            return
        stream.used_at = now
        self._pool.put(stream, FrameKind.SEND, payload=payload)

    def cancel(self, request: OutgoingRequest) -> None:
        """Stop a request whose future was cancelled."""
        if self._requests_by_id.get(request.correlation_id) is request:
            self._stats.requests_cancelled += 1
            self._abandon(request)

    def on_frame(self, stream: PeerStream, frame: Frame, now: float) -> None:
        """Match a reply to its request, which must have used the same stream."""
        if frame.kind is FrameKind.GOODBYE:
            self._drain_stream(stream)
            return
        if frame.kind not in _REPLY_KINDS:
            raise FrameError(f"{frame.kind.name} from an acceptor")
        request = self._requests_by_id.get(frame.correlation_id)
        if request is None or request.stream is not stream:
            self._stats.replies_unmatched += 1
            return
        self._untrack(request)
        if frame.kind is FrameKind.ANSWER:
            request.complete(self._parse_reply(frame.payload))
        elif frame.kind is FrameKind.REJECTED:
            detail = frame.payload.decode("ascii", "replace")
            request.complete(PeerFailure(PeerProblem.REJECTED, detail))
        else:
            request.fail(PeerProblem.LOST, "peer could not send the reply")
        stream.used_at = now

    def on_end(self, stream: PeerStream, now: float, detail: str) -> None:
        """Fail the requests in flight on a stream that has ended."""
        self._drain_stream(stream)
        if not stream.was_authenticated:
            self._reconnect_not_before[stream.address] = (
                now + self._options.reconnect_delay_s
            )
        for correlation_id in tuple(self._ids_by_stream.get(stream, ())):
            request = self._requests_by_id[correlation_id]
            self._untrack(request)
            request.fail(PeerProblem.LOST, detail)
        self._ids_by_stream.pop(stream, None)

    def is_busy(self, stream: PeerStream) -> bool:
        """Return whether requests wait for replies on a stream."""
        return bool(self._ids_by_stream.get(stream))

    def next_deadline(self) -> float:
        """Return the earliest deadline of a request, infinity if there is none."""
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def tick(self, now: float) -> None:
        """Fail requests past their deadline, and close unused streams."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, correlation_id = heapq.heappop(self._deadlines)
            request = self._requests_by_id.get(correlation_id)
            if request is not None:
                self._stats.requests_timed_out += 1
                self._abandon(request)
                request.fail(PeerProblem.TIMEOUT, "no reply in time")
        for stream in self._pool.streams_of(self):
            self._close_unused(stream, now)
        for address, until in tuple(self._reconnect_not_before.items()):
            if until <= now:
                del self._reconnect_not_before[address]

    def _close_unused(self, stream: PeerStream, now: float) -> None:
        if self.is_busy(stream) or stream.queued_bytes:
            return
        if stream.draining:
            self._pool.end(stream, now, "stream is no longer in use")
        elif now - stream.used_at > self._options.idle_close_s:
            # The next tick closes it, once no thread can still write a request to it.
            self._stats.streams_idle_closed += 1
            self._drain_stream(stream)

    def _abandon(self, request: OutgoingRequest) -> None:
        """Untrack a request, and cancel it at the peer if its frame has started."""
        stream, frame = request.stream, request.frame
        self._untrack(request)
        if stream is None or frame is None or stream.state is StreamState.ENDED:
            return
        if not stream.withdraw(frame):
            self._pool.put(stream, FrameKind.CANCEL, request.correlation_id)

    def _track_written(
        self, request: OutgoingRequest, stream: PeerStream, now: float
    ) -> None:
        if stream.state is StreamState.ENDED:
            request.fail(PeerProblem.LOST, "stream has ended")
            return
        self._track(request, stream, now)

    def _track(self, request: OutgoingRequest, stream: PeerStream, now: float) -> None:
        request.stream = stream
        self._requests_by_id[request.correlation_id] = request
        self._ids_by_stream[stream].add(request.correlation_id)
        heapq.heappush(self._deadlines, (request.deadline, request.correlation_id))
        self._stats.requests = len(self._requests_by_id)
        self._stats.requests_sent += 1
        stream.liveness.record_request_sent(now)
        stream.used_at = now

    def _untrack(self, request: OutgoingRequest) -> None:
        del self._requests_by_id[request.correlation_id]
        if request.stream is not None:
            self._ids_by_stream[request.stream].discard(request.correlation_id)
        self._stats.requests = len(self._requests_by_id)
        deadlines = self._deadlines
        while deadlines and deadlines[0][1] not in self._requests_by_id:
            heapq.heappop(deadlines)

    def _parse_reply(self, payload: bytes) -> Any:
        item = unpack(payload, max_bytes=self._options.max_frame_bytes)
        if isinstance(item, InvalidMessage):
            return PeerFailure(PeerProblem.LOST, f"invalid reply: {item.detail}")
        return item

    def _drain_stream(self, stream: PeerStream) -> None:
        """Exclude a stream from new requests."""
        stream.draining = True
        if self._streams_by_address.get(stream.address) is stream:
            del self._streams_by_address[stream.address]

    def _stream_for(self, peer: PeerAddress, size: int, now: float) -> PeerStream | str:
        """Return the stream to use, or the reason why there is none."""
        stream = self._streams_by_address.get(peer)
        if stream is not None and stream.liveness.is_suspect(now):
            self._stats.streams_suspect += 1
            self._drain_stream(stream)
            stream = None
        if stream is None:
            return self._open_stream(peer, now)
        if stream.queued_bytes + size > self._options.max_queue_bytes:
            return "the stream's queue is full"
        return stream

    def _open_stream(self, peer: PeerAddress, now: float) -> PeerStream | str:
        if self._reconnect_not_before.get(peer, now) > now:
            return "a recent connection attempt to the peer failed"
        if len(self._pool) >= self._options.max_streams and not self._evict_idle(now):
            return "too many streams"
        try:
            sock = self._connect(peer)
        except OSError as error:
            self._stats.streams_failed += 1
            return f"connect failed: {error}"
        handshake = Handshake(Role.INITIATOR, self._identity, self._secrets)
        stream = PeerStream(sock, peer, handshake, self._options, self._stats, now)
        self._streams_by_address[peer] = stream
        self._ids_by_stream[stream] = set()
        self._pool.add(stream, self)
        self._stats.streams_opened += 1
        return stream

    def _connect(self, peer: PeerAddress) -> socket.socket:
        family = socket.AF_INET6 if ":" in peer.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._tls is not None:
            sock = self._tls.wrap_socket(
                sock, server_hostname=peer.host, do_handshake_on_connect=False
            )
        code = sock.connect_ex((peer.host, peer.port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, errno.errorcode.get(code, "connect"))
        return sock

    def _evict_idle(self, now: float) -> bool:
        """Close the least recently used idle stream; return False if there is none."""
        unused = [s for s in self._pool.streams_of(self) if not self.is_busy(s)]
        if not unused:
            return False
        oldest = min(unused, key=lambda stream: stream.used_at)
        self._stats.streams_idle_closed += 1
        self._pool.end(oldest, now, "stream limit reached")
        return True
