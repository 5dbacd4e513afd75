"""HTTP/1.1 server: many connections on one event loop, answers in order."""

import asyncio
import http
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Self, cast

import httptools

from damaskbay.adapters.http1.const import (
    READ_BACKLOG_REQUESTS,
    SWEEP_S,
    WRITE_STALLED_S,
)
from damaskbay.adapters.http1.names import decoded_name
from damaskbay.adapters.http1.sockets import listen
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Answer, Request
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

_WITHOUT_BODY = frozenset({204, 304})
_PHRASES = {int(status): status.phrase for status in http.HTTPStatus}


@dataclass(frozen=True, slots=True)
class Arrival:
    """A whole request and when its last byte was read, in monotonic seconds."""

    request: Request
    arrived_at: float


Handler = Callable[[Arrival], Awaitable[Answer]]
"""Serves one request; cancelled when the caller has gone."""


@dataclass(slots=True, eq=False)
class _Exchange:
    """One request of a connection and, once it is there, its answer."""

    arrival: Arrival
    keep_alive: bool
    task: "asyncio.Task[None] | None" = None
    written: bytes | None = None


@dataclass(slots=True)
class _Reading:
    """The request that is being read."""

    target: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    host: str = ""
    expects_continue: bool = False
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0


class _BadRequestError(Exception):
    """A request that can't be served; `status` tells the caller why."""

    def __init__(self, status: http.HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


class ServerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_Exchange] = deque()
        self._reading = _Reading()
        self._header_bytes = 0
        self._in_headers = False
        self._closing = False
        self._paused = False
        self._stalled_since: float | None = None
        self._refused: http.HTTPStatus | None = None
        self._began_at = self._active_at = monotonic_s()

    @property
    def idle(self) -> bool:
        """Tell whether no request is being read or served."""
        return not self._exchanges and not self._in_headers and not self._reading.target

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self._transport = cast("asyncio.Transport", transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller no longer waits for."""
        self._transport = None
        self._server.connections.discard(self)
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse what came; several requests may be in it."""
        self._active_at = monotonic_s()
        if self._closing:
            return
        try:
            self._parser.feed_data(data)
            self._count_header_bytes(len(data))
        except _BadRequestError as error:
            self._refuse(error.status)
        except httptools.HttpParserUpgrade:
            self._refuse(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, _BadRequestError):
                self._refuse(cause.status)
            else:
                self._refuse(http.HTTPStatus.BAD_REQUEST)

    def pause_writing(self) -> None:
        """Take note that the caller reads slower than answers come."""
        self._stalled_since = monotonic_s()

    def resume_writing(self) -> None:
        """Take note that the caller reads again."""
        self._stalled_since = None
        self._flush()

    def on_message_begin(self) -> None:
        """Start the next request."""
        self._reading = _Reading()
        self._in_headers = True
        self._began_at = self._active_at

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        reading = self._reading
        sent, lower = decoded_name(name)
        text = value.decode("latin-1")
        reading.headers.append((sent, text))
        if lower == "host":
            reading.host = reading.host or text
        elif lower == "expect" and text.lower() == "100-continue":
            reading.expects_continue = True

    def on_headers_complete(self) -> None:
        """Go on with the body."""
        self._in_headers = False
        self._header_bytes = 0
        waits = self._reading.expects_continue
        if waits and not self._exchanges and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._reading.body_bytes += len(body)
        if self._reading.body_bytes > self._server.limits.max_body_bytes:
            raise _BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._reading.body.append(body)

    def on_message_complete(self) -> None:
        """Serve a whole request."""
        reading = self._reading
        self._reading = _Reading()
        if self._closing:
            return
        request = Request(
            self._parser.get_method().decode("ascii"),
            reading.host,
            reading.target.decode("latin-1"),
            tuple(reading.headers),
            b"".join(reading.body),
        )
        arrival = Arrival(request, self._active_at)
        exchange = _Exchange(arrival, self._parser.should_keep_alive())
        self._exchanges.append(exchange)
        exchange.task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._pace()

    def sweep(self, now: float) -> None:
        """Close the connection if it is idle, late or not read from for too long."""
        limits = self._server.limits
        if self._transport is None:
            return
        if self._stalled_since is not None and (
            now - self._stalled_since > WRITE_STALLED_S
        ):
            self._transport.abort()
        elif self._in_headers and now - self._began_at > limits.header_timeout_s:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self.idle and now - self._active_at > limits.idle_timeout_s:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close at once where no request is under way."""
        if self.idle and self._transport is not None:
            self._transport.close()

    async def _serve(self, exchange: _Exchange) -> None:
        arrival = exchange.arrival
        try:
            answer = await self._server.handler(arrival)
        except Exception:
            _LOGGER.exception("edge: handler failed.")
            answer = Answer(int(http.HTTPStatus.INTERNAL_SERVER_ERROR))
        keep = exchange.keep_alive and not self._server.draining
        exchange.keep_alive = keep
        exchange.written = encode_answer(answer, arrival.request.method, keep)
        self._flush()

    def _flush(self) -> None:
        """Write the answers that are next in order."""
        while self._exchanges and self._exchanges[0].written is not None:
            if self._transport is None or self._stalled_since is not None:
                return
            exchange = self._exchanges.popleft()
            self._active_at = monotonic_s()
            self._transport.write(exchange.written or b"")
            if not exchange.keep_alive:
                self._end()
                return
        if not self._exchanges and self._refused is not None:
            self._refuse(self._refused)
        self._pace()

    def _end(self) -> None:
        """Close after the last answer; requests behind it count as not read."""
        self._closing = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        if self._transport is not None:
            self._transport.close()

    def _refuse(self, status: http.HTTPStatus) -> None:
        """Answer what can't be read, after the answers before it."""
        self._closing = True
        self._refused = status
        if self._exchanges or self._transport is None:
            return
        _LOGGER.info(
            "edge: request not read.", extra={"status": int(status), "why": "malformed"}
        )
        self._transport.write(encode_answer(Answer(int(status)), "GET", False))
        self._transport.close()

    def _pace(self) -> None:
        """Stop reading while many requests of this caller are under way."""
        busy = len(self._exchanges) >= READ_BACKLOG_REQUESTS
        if self._transport is None or busy == self._paused:
            return
        self._paused = busy
        if busy:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _count_header_bytes(self, count: int) -> None:
        """Refuse headers that have not ended within the limit."""
        if not self._in_headers:
            return
        self._header_bytes += count
        if self._header_bytes > self._server.limits.max_header_bytes:
            raise _BadRequestError(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)


class HttpServer:
    """Listens on one address; entered and left as an async context manager."""

    def __init__(
        self, address: PeerAddress, handler: Handler, limits: CallerLimits
    ) -> None:
        self.address = address
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._server = await listen(self.address, lambda: ServerConnection(self))
        port = self._server.sockets[0].getsockname()[1]
        self.address = PeerAddress(self.address.host, port)
        self._sweeper = asyncio.create_task(self._sweep())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.stop_listening()
        self.close_idle()

    @property
    def under_way(self) -> int:
        """Return the number of connections with a request under way."""
        return sum(1 for connection in self.connections if not connection.idle)

    def stop_listening(self) -> None:
        """Take no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now = monotonic_s()
            for connection in tuple(self.connections):
                connection.sweep(now)


def encode_answer(answer: Answer, method: str, keep_alive: bool) -> bytes:
    """Return the bytes of an answer whose headers name no length."""
    bodiless = method == "HEAD" or answer.status in _WITHOUT_BODY
    phrase = _PHRASES.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    if answer.status not in _WITHOUT_BODY:
        lines.append(f"Content-Length: {len(answer.body)}")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    return head if bodiless else head + answer.body
