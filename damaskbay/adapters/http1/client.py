"""HTTP/1.1 client: a pool of connections to one address on the event loop."""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

import httptools

from damaskbay.adapters.http1.exceptions import BadAnswerError
from damaskbay.adapters.http1.names import decoded_name
from damaskbay.adapters.http1.sockets import watch_peer
from damaskbay.core.call import Answer, Request
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

CONTINUE_LAST = 199


class HttpProblem(Enum):
    """Why a request brought no whole answer."""

    NOT_SENT = "not_sent"
    """No connection could be made: nothing was sent."""

    LOST = "lost"
    """The connection ended before a whole answer; the request may have run."""

    STALE = "stale"
    """A kept connection was reset before any byte came back."""

    TIMED_OUT = "timed_out"
    """No whole answer came in time; the request may have run."""

    GARBLED = "garbled"
    """What came back is no whole answer to this request."""


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A request without a whole answer."""

    problem: HttpProblem
    detail: str = ""


@dataclass(frozen=True, slots=True)
class HttpClientOptions:
    """
    How connections are made and kept; times in seconds.

    A connection idle for `idle_s` is not used again; a server's own figure, less
    `idle_margin_s`, goes first. With `echo_header` an answer belongs to the
    request only if it repeats this header of it.
    """

    max_connections: int = 256
    connect_timeout_s: float = 1.0
    idle_s: float = 4.0
    idle_margin_s: float = 1.0
    max_body_bytes: int = 64 * 1024 * 1024
    echo_header: str | None = None


@dataclass(slots=True)
class _Reply:
    """The answer that is being read."""

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    keep_alive: str | None = None
    echo: str | None = None
    has_length: bool = False
    encoded: bool = False
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    ends_with_connection: bool = False


class ClientConnection(asyncio.Protocol):
    """One connection; carries one request at a time."""

    def __init__(self, options: HttpClientOptions) -> None:
        self._options = options
        self._echo_name = (options.echo_header or "").lower()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: asyncio.Future[Answer | HttpFailure] | None = None
        self._request: Request | None = None
        self._expected_echo: str | None = None
        self._reply = _Reply()
        self._heard = False
        self._uses = 0
        self.reusable = True
        self.idle_until = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self._transport = cast("asyncio.Transport", transport)
        watch_peer(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request under way, whole only if its answer had no length."""
        self._transport = None
        self.reusable = False
        reply = self._reply
        if exc is None and reply.ends_with_connection and reply.status:
            self._settle(self._whole(reply))
        elif not self._heard and self._uses > 1:
            self._settle(HttpFailure(HttpProblem.STALE, str(exc or "closed")))
        else:
            self._settle(HttpFailure(HttpProblem.LOST, str(exc or "closed")))

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nobody asked for end the connection."""
        if self._waiting is None:
            self._drop()
            return
        self._heard = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            detail = str(error.__context__ or error)
            self._settle(HttpFailure(HttpProblem.GARBLED, detail))
            self._drop()

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._reply = _Reply()
        if self._waiting is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        reply = self._reply
        sent, lower = decoded_name(name)
        text = value.decode("latin-1")
        reply.headers.append((sent, text))
        if lower == self._echo_name:
            reply.echo = text if reply.echo is None else reply.echo
        elif lower in ("content-length", "transfer-encoding"):
            reply.has_length = True
        elif lower == "keep-alive":
            reply.keep_alive = text
        elif lower == "content-encoding":
            reply.encoded = True

    def on_headers_complete(self) -> None:
        """Find out how the answer is framed."""
        reply = self._reply
        reply.status = self._parser.get_status_code()
        reply.ends_with_connection = not reply.has_length
        if reply.encoded:
            raise BadAnswerError("answer is encoded")
        if self._request is not None and self._request.method == "HEAD":
            self.reusable = False
            self._settle(self._whole(reply))

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._reply.body_bytes += len(body)
        if self._reply.body_bytes > self._options.max_body_bytes:
            raise BadAnswerError("answer is too large")
        self._reply.body.append(body)

    def on_message_complete(self) -> None:
        """Hand a whole answer over, if it belongs to the request under way."""
        reply = self._reply
        if reply.status <= CONTINUE_LAST:
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._keep_for(reply)
        self._settle(self._whole(reply))

    async def send(
        self, request: Request, echo: str | None, timeout_s: float | None
    ) -> Answer | HttpFailure:
        """
        Send a request and wait for its answer, at most `timeout_s` seconds.

        The end of that time closes the connection, as does cancelling.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return HttpFailure(HttpProblem.NOT_SENT, "connection is closed")
        self._uses += 1
        self._heard = False
        self._request = request
        self._expected_echo = echo
        self._reply = _Reply()
        loop = asyncio.get_running_loop()
        waiting: asyncio.Future[Answer | HttpFailure] = loop.create_future()
        self._waiting = waiting
        timer = None
        if timeout_s is not None:
            timer = loop.call_later(timeout_s, self._time_out)
        transport.write(encode_request(request))
        try:
            return await waiting
        except asyncio.CancelledError:
            self._waiting = None
            self._drop()
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def idle(self) -> bool:
        """Tell whether the connection can carry another request."""
        transport = self._transport
        if not self.reusable or transport is None or transport.is_closing():
            return False
        return transport.get_write_buffer_size() == 0

    def close(self) -> None:
        """Close after what is still to be written."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def _time_out(self) -> None:
        self._settle(HttpFailure(HttpProblem.TIMED_OUT, "no whole answer in time"))

    def _drop(self) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _keep_for(self, reply: _Reply) -> None:
        kept_s = self._options.idle_s
        if reply.keep_alive is not None and "timeout=" in reply.keep_alive:
            stated = reply.keep_alive.partition("timeout=")[2].partition(",")[0]
            if stated.strip().isdigit():
                kept_s = int(stated) - self._options.idle_margin_s
        self.idle_until = monotonic_s() + kept_s

    def _whole(self, reply: _Reply) -> Answer | HttpFailure | None:
        """Return the answer, None where it belongs to an earlier request."""
        answer = Answer(reply.status, tuple(reply.headers), b"".join(reply.body))
        if not self._echo_name or self._expected_echo is None:
            return answer
        if reply.echo == self._expected_echo:
            return answer
        if reply.echo is None:
            return HttpFailure(HttpProblem.GARBLED, "answer names no request")
        return None

    def _settle(self, outcome: Answer | HttpFailure | None) -> None:
        if outcome is None:
            _LOGGER.info("backend: late answer to another request dropped.")
            return
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(outcome)
        if isinstance(outcome, HttpFailure):
            self._drop()


class HttpClient:
    """Sends requests to one address over kept connections, the latest used first."""

    def __init__(self, address: PeerAddress, options: HttpClientOptions) -> None:
        self.address = address
        self._options = options
        self._idle: deque[ClientConnection] = deque()
        self._open = 0
        self.opened = 0

    async def send(
        self,
        request: Request,
        *,
        echo: str | None = None,
        fresh: bool = False,
        timeout_s: float | None = None,
    ) -> Answer | HttpFailure:
        """
        Send once and return a whole answer or a failure; cancelling cancels it.

        With `fresh` only a new connection is taken. `timeout_s` bounds connecting
        and waiting for the answer together, in seconds.
        """
        connection = None if fresh else self._kept()
        if connection is None:
            began_at = monotonic_s()
            opened = await self._connect(timeout_s)
            if isinstance(opened, HttpFailure):
                return opened
            connection = opened
            if timeout_s is not None:
                timeout_s = max(0.0, timeout_s - (monotonic_s() - began_at))
        try:
            answer = await connection.send(request, echo, timeout_s)
        except BaseException:
            connection.close()
            raise
        if connection.idle() and len(self._idle) < self._options.max_connections:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _kept(self) -> ClientConnection | None:
        now = monotonic_s()
        while self._idle:
            connection = self._idle.pop()
            if connection.idle() and now < connection.idle_until:
                return connection
            connection.close()
        return None

    async def _connect(self, timeout_s: float | None) -> ClientConnection | HttpFailure:
        loop = asyncio.get_running_loop()
        longest_s = self._options.connect_timeout_s
        if timeout_s is not None:
            longest_s = min(longest_s, timeout_s)
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(
                    lambda: ClientConnection(self._options),
                    self.address.host,
                    self.address.port,
                ),
                longest_s,
            )
        except (OSError, TimeoutError) as error:
            return HttpFailure(HttpProblem.NOT_SENT, type(error).__name__)
        self.opened += 1
        return connection


def encode_request(request: Request) -> bytes:
    """Return the bytes of a request whose headers name neither host nor length."""
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body or request.method in {"POST", "PUT", "PATCH"}:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + request.body
