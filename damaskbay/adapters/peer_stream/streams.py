"""Peer link: a listener, and streams to peers that are opened on demand."""

import dataclasses
import functools
import itertools
import logging
import secrets as random_source
import ssl
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, Self

from damaskbay.adapters.peer_stream.client import RequestClient
from damaskbay.adapters.peer_stream.const import (
    FRAME_OVERHEAD_BYTES,
    MIN_SECRET_BYTES,
)
from damaskbay.adapters.peer_stream.frames import FrameKind, encode
from damaskbay.adapters.peer_stream.loop import SocketLoop
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.outbox import OutgoingFrame
from damaskbay.adapters.peer_stream.pool import StreamPool
from damaskbay.adapters.peer_stream.request import OutgoingRequest
from damaskbay.adapters.peer_stream.responder import (
    FlushCommand,
    IncomingRequest,
    OnCancelCommand,
    ReplyCommand,
)
from damaskbay.adapters.peer_stream.server import RequestServer
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.messages import pack
from damaskbay.ports.peer import (
    Handler,
    PeerAddress,
    PeerIdentity,
    PeerProblem,
)

_LOGGER = logging.getLogger(__name__)

_FIRST_ID_BITS = 48


@dataclass(frozen=True, slots=True)
class _SendCommand:
    peer: PeerAddress
    payload: bytes


@dataclass(frozen=True, slots=True)
class _CancelCommand:
    request: OutgoingRequest


@dataclass(frozen=True, slots=True)
class _DrainCommand:
    done: "Future[None]"


class PeerStreams(SocketLoop):
    """
    `PeerLink` over TCP or TLS streams; a context manager.

    The first of `secrets` authenticates this end; a peer may use any of them.
    Accepted streams use TLS if `server_tls` is given, opened ones if
    `client_tls` is given.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        listen: PeerAddress,
        options: PeerStreamOptions,
        *,
        secrets: Sequence[bytes],
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        if not secrets or min(map(len, secrets)) < MIN_SECRET_BYTES:
            raise ValueError(f"peer secrets need {MIN_SECRET_BYTES} bytes or more")
        super().__init__(
            "peer_stream",
            tick_s=options.tick_s,
            max_commands=options.max_commands,
            clock=clock,
        )
        self.address = listen
        self._options = options
        self._stats = PeerStreamStats()
        self._max_payload_bytes = options.max_frame_bytes - FRAME_OVERHEAD_BYTES
        first_id = random_source.randbits(_FIRST_ID_BITS)
        self._correlation_ids = itertools.count(first_id + 1)
        self._pool = StreamPool(
            self._selector, options, self._stats, self.handle_new_commands
        )
        self._client = RequestClient(
            identity, secrets, self._pool, options, self._stats, client_tls
        )
        self._server = RequestServer(
            identity, secrets, self._pool, options, self._stats, server_tls, self
        )
        self._drains: list[Future[None]] = []
        self._command_handlers: dict[type[Any], Callable[[Any, float], None]] = {
            OutgoingRequest: self._client.request,
            ReplyCommand: lambda command, _: self._server.send_reply(command),
            IncomingRequest: lambda request, _: self._server.on_reply_written(request),
            OnCancelCommand: lambda command, _: self._server.add_on_cancel(command),
            FlushCommand: lambda flush, _: self._pool.mark_for_write(flush.stream),
            _SendCommand: lambda send, now: self._client.send(
                send.peer, send.payload, now
            ),
            _CancelCommand: lambda cancel, _: self._client.cancel(cancel.request),
            _DrainCommand: lambda drain, _: self._drain(drain),
        }

    def __enter__(self) -> Self:
        """Open the listener and start the loop; `address` then has the actual port."""
        self.address = self._server.listen(self.address, self._selector)
        return super().__enter__()

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of one message type, before the link starts."""
        self._server.register(message_type, handler)

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        """
        Send a request; return a future of the reply message or a PeerFailure.

        Cancelling the future sends a cancellation to the peer.
        """
        payload = pack(message)
        now = self.clock()
        request = OutgoingRequest(
            next(self._correlation_ids), peer, payload, now + timeout_s
        )
        request.future.on_cancel = functools.partial(self.post, _CancelCommand(request))
        if len(payload) > self._max_payload_bytes:
            request.fail(PeerProblem.NOT_SENT, "message is too large")
        elif self.command_queue_full:
            request.fail(PeerProblem.NOT_SENT, "command queue of the link is full")
        elif not self._try_send(request, now) and not self.post(request):
            request.fail(PeerProblem.NOT_SENT, "link has stopped")
        return request.future

    def send(self, peer: PeerAddress, message: Any) -> None:
        """Send a message without a reply, best effort; dropped if the queue is full."""
        payload = pack(message)
        fits = len(payload) <= self._max_payload_bytes and not self.command_queue_full
        if not fits or not self.post(_SendCommand(peer, payload)):
            self._stats.sends_dropped += 1

    def drain(self, timeout_s: float) -> bool:
        """
        Refuse new requests and wait for the replies to the running ones.

        Blocks up to `timeout_s`; returns whether all replies were sent.
        """
        done: Future[None] = Future()
        if not self.post(_DrainCommand(done)):
            return False
        try:
            done.result(timeout_s)
        except TimeoutError:
            return False
        return True

    def stats(self) -> PeerStreamStats:
        """Return a copy of the counters."""
        return dataclasses.replace(self._stats)

    def handle(self, command: Any, now: float) -> None:
        """Handle one command on the loop's thread."""
        self._command_handlers[type(command)](command, now)

    def abandon(self, command: Any) -> None:
        """Fail a request that was still queued when the link stopped."""
        if isinstance(command, OutgoingRequest):
            command.fail(PeerProblem.LOST, "link has stopped")

    def finish_round(self, now: float) -> None:
        """Write the frames that were queued in this round."""
        if self._pool.has_pending_writes:
            self._pool.flush(now)

    def tick(self, now: float, late_s: float) -> None:
        """Check request deadlines and streams; complete finished drains."""
        self._client.tick(now)
        self._pool.tick(now, late_s)
        if self._drains and self._server.drained:
            for done in self._drains:
                done.set_result(None)
            self._drains.clear()

    def next_deadline(self) -> float:
        """Return the earliest deadline of a request, infinity if there is none."""
        return self._client.next_deadline()

    def on_stopped(self) -> None:
        """Close the listener and all streams; requests in flight fail."""
        self._server.close_listener()
        now = self.clock()
        for endpoint in (self._client, self._server):
            for stream in self._pool.streams_of(endpoint):
                self._pool.end(stream, now, "link has stopped")

    def _try_send(self, request: OutgoingRequest, now: float) -> bool:
        """Write a request from this thread; return False if it must be queued."""
        stream = self._client.ready_stream(request.peer, now)
        if stream is None:
            return False
        frame = OutgoingFrame(
            encode(FrameKind.REQUEST, request.correlation_id, request.payload)
        )
        request.frame = frame
        request.stream = stream
        if not stream.try_send(frame, self._before_write, request):
            request.frame = None
            request.stream = None
            return False
        if stream.backlogged:
            self.post(FlushCommand(stream))
        return True

    def _before_write(self, request: OutgoingRequest) -> bool:
        """Queue a request for tracking before its first byte is written."""
        self.post_deferred(request, request.deadline)
        return True

    def _drain(self, drain: _DrainCommand) -> None:
        self._server.drain()
        self._drains.append(drain.done)
