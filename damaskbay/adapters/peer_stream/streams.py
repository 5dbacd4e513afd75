"""The peer link: a listener, and streams to other daemons opened on demand."""

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

from damaskbay.adapters.peer_stream.client import RequestingSide
from damaskbay.adapters.peer_stream.const import (
    FRAME_OVERHEAD_BYTES,
    MIN_SECRET_BYTES,
)
from damaskbay.adapters.peer_stream.frames import FrameKind, encode
from damaskbay.adapters.peer_stream.loop import SocketLoop
from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.outbox import Outgoing
from damaskbay.adapters.peer_stream.pool import StreamPool
from damaskbay.adapters.peer_stream.request import OutgoingRequest
from damaskbay.adapters.peer_stream.responder import (
    AnswerCommand,
    FlushCommand,
    IncomingRequest,
    OnCancelCommand,
)
from damaskbay.adapters.peer_stream.server import AnsweringSide
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
class _Send:
    peer: PeerAddress
    payload: bytes


@dataclass(frozen=True, slots=True)
class _Cancel:
    request: OutgoingRequest


@dataclass(frozen=True, slots=True)
class _Drain:
    done: "Future[None]"


class PeerStreams(SocketLoop):
    """
    A `PeerLink` over streams; entered and left as a context manager.

    The first of `secrets` proves this end, each of them is accepted from a peer.
    `server_tls` and `client_tls` wrap the streams where given.
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
        self._max_payload = options.max_frame_bytes - FRAME_OVERHEAD_BYTES
        first_id = random_source.randbits(_FIRST_ID_BITS)
        self._ids = itertools.count(first_id + 1)
        self._pool = StreamPool(self._selector, options, self._stats, self.catch_up)
        self._out = RequestingSide(
            identity, secrets, self._pool, options, self._stats, client_tls
        )
        self._in = AnsweringSide(
            identity, secrets, self._pool, options, self._stats, server_tls, self
        )
        self._drains: list[Future[None]] = []
        self._steps: dict[type[Any], Callable[[Any, float], None]] = {
            OutgoingRequest: self._out.request,
            AnswerCommand: lambda command, _: self._in.answer(command),
            IncomingRequest: lambda request, _: self._in.answered(request),
            OnCancelCommand: lambda command, _: self._in.add_on_cancel(command),
            FlushCommand: lambda flush, _: self._pool.touch(flush.stream),
            _Send: lambda send, now: self._out.send(send.peer, send.payload, now),
            _Cancel: lambda cancel, _: self._out.cancel(cancel.request),
            _Drain: lambda drain, _: self._drain(drain),
        }

    def __enter__(self) -> Self:
        """Open the listener and start; `address` then holds the port."""
        self.address = self._in.listen(self.address, self._selector)
        return super().__enter__()

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Handle messages of one type. Call before the link starts."""
        self._in.register(message_type, handler)

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        """
        Send and return a future of the answer message or a PeerFailure.

        Cancelling the future sends a cancellation to the peer.
        """
        payload = pack(message)
        now = self.clock()
        request = OutgoingRequest(next(self._ids), peer, payload, now + timeout_s)
        request.future.on_cancel = functools.partial(self.post, _Cancel(request))
        if len(payload) > self._max_payload:
            request.fail(PeerProblem.NOT_SENT, "the message is too large")
        elif self.full:
            request.fail(PeerProblem.NOT_SENT, "the link takes no more")
        elif not self._send_now(request, now) and not self.post(request):
            request.fail(PeerProblem.NOT_SENT, "the link has stopped")
        return request.future

    def send(self, peer: PeerAddress, message: Any) -> None:
        """Send without an answer, best effort; dropped where the queue is full."""
        payload = pack(message)
        fits = len(payload) <= self._max_payload and not self.full
        if not fits or not self.post(_Send(peer, payload)):
            self._stats.sends_dropped += 1

    def drain(self, timeout_s: float) -> bool:
        """
        Take no new requests, and wait until the running ones are answered.

        Blocks up to `timeout_s`; returns whether all were answered.
        """
        done: Future[None] = Future()
        if not self.post(_Drain(done)):
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
        self._steps[type(command)](command, now)

    def abandon(self, command: Any) -> None:
        """Fail a request that came too late to be sent."""
        if isinstance(command, OutgoingRequest):
            command.fail(PeerProblem.LOST, "the link has stopped")

    def settle(self, now: float) -> None:
        """Write what the round queued."""
        if self._pool.unsettled:
            self._pool.settle(now)

    def tick(self, now: float, late_s: float) -> None:
        """Do what is due on requests and streams."""
        self._out.tick(now)
        self._pool.tick(now, late_s)
        if self._drains and self._in.drained:
            for done in self._drains:
                done.set_result(None)
            self._drains.clear()

    def next_due(self) -> float:
        """Return the time of the next request's deadline."""
        return self._out.next_due()

    def stopped(self) -> None:
        """End all streams; what is under way fails."""
        self._in.close_listener()
        now = self.clock()
        for side in (self._out, self._in):
            for stream in self._pool.of(side):
                self._pool.end(stream, now, "the link has stopped")

    def _send_now(self, request: OutgoingRequest, now: float) -> bool:
        """Write a request from the calling thread where its stream is free."""
        stream = self._out.ready_stream(request.peer, now)
        if stream is None:
            return False
        frame = Outgoing(
            encode(FrameKind.REQUEST, request.correlation_id, request.payload)
        )
        request.frame = frame
        request.stream = stream
        if not stream.send_now(frame, self._announce, request):
            request.frame = None
            request.stream = None
            return False
        if stream.backlogged:
            self.post(FlushCommand(stream))
        return True

    def _announce(self, request: OutgoingRequest) -> bool:
        """Tell the loop of a request before its first byte leaves."""
        self.post_quietly(request, request.deadline)
        return True

    def _drain(self, drain: _Drain) -> None:
        self._in.drain()
        self._drains.append(drain.done)
