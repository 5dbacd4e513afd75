"""HTTP/1.1 client on asyncio with a connection pool for one address."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from damaskbay.adapters.http1.const import (
    MAX_LATE_RESPONSES,
    MAX_RESPONSE_BODY_BYTES,
    PARSE_BYTES,
)
from damaskbay.adapters.http1.exceptions import BadAnswerError
from damaskbay.adapters.http1.names import decode_header_name
from damaskbay.adapters.http1.partial_response import PartialResponse
from damaskbay.adapters.http1.problems import (
    NOT_SENT_PROBLEMS,
    HttpFailure,
    HttpProblem,
)
from damaskbay.adapters.http1.sockets import ready_descriptors, set_tcp_options
from damaskbay.const import MAX_RESPONSE_OVERHEAD_BYTES, OVERHEAD_PER_BODY_BYTE
from damaskbay.core.call import Request, Response
from damaskbay.core.http_status import is_final_status, is_interim_status
from damaskbay.core.memory_account import (
    BODY_COPIES,
    Holding,
    MemoryAccount,
    header_bytes,
)
from damaskbay.helpers.arrivals import call_later_after_reading, timeout_after_reading
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress

__all__ = [
    "NOT_SENT_PROBLEMS",
    "HttpClient",
    "HttpClientOptions",
    "HttpFailure",
    "HttpProblem",
]

_LOGGER = logging.getLogger(__name__)


_PendingOutcome = asyncio.Future[Response | HttpFailure]


@dataclass(frozen=True, slots=True)
class HttpClientOptions:
    """
    Limits and timeouts of the connection pool; times in seconds.

    A connection idle for `idle_s` is not reused. A timeout in the server's Keep-Alive
    header, less `idle_margin_s`, takes precedence. With `echo_header` a response is
    matched to the request only if it repeats the request's value of this header.
    `memory` counts the responses that are being received.
    """

    max_connections: int = 256
    connect_timeout_s: float = 1.0
    idle_s: float = 4.0
    idle_margin_s: float = 1.0
    max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
    echo_header: str | None = None
    memory: MemoryAccount = field(default_factory=MemoryAccount)


class ClientConnection(asyncio.Protocol):
    """Client connection that carries one request at a time."""

    def __init__(self, options: HttpClientOptions) -> None:
        self._options = options
        self._echo_name = (options.echo_header or "").lower()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: _PendingOutcome | None = None
        self._is_head = False
        self._expected_echo: str | None = None
        self._partial = PartialResponse()
        self._received_any = False
        self._received_bytes = 0
        self._late_responses = 0
        self._holding = Holding(options.memory)
        self._uses = 0
        self.reusable = True
        self.idle_until = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP options."""
        self._transport = cast("asyncio.Transport", transport)
        set_tcp_options(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the request in flight; a response without a length is now complete."""
        self._transport = None
        self.reusable = False
        partial = self._partial
        outcome: Response | HttpFailure | None = None
        if exc is None and partial.ends_at_close and is_final_status(partial.status):
            outcome = self._to_outcome(partial)
        if outcome is not None:
            self._finish(outcome)
        elif not self._received_any and self._uses > 1:
            self._finish(HttpFailure(HttpProblem.STALE, str(exc or "closed")))
        else:
            self._finish(HttpFailure(HttpProblem.LOST, str(exc or "closed")))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if no request is in flight."""
        if self._pending is None:
            self._abort()
            return
        self._received_any = True
        try:
            for start in range(0, len(data), PARSE_BYTES):
                self._parse(data[start : start + PARSE_BYTES])
        except (
            BadAnswerError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.reusable = False
            detail = str(error.__context__ or error)
            self._finish(HttpFailure(HttpProblem.GARBLED, detail))
            self._abort()

    def on_message_begin(self) -> None:
        """Start parsing a response."""
        self._holding.release()
        self._partial = PartialResponse()
        if self._pending is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """
        Store a header and the framing information in it.

        Raise BadAnswerError if there is no memory for it.
        """
        partial = self._partial
        self._hold(header_bytes(name, value))
        name_as_sent, lower = decode_header_name(name)
        text = value.decode("latin-1")
        partial.headers.append((name_as_sent, text))
        if lower == self._echo_name:
            partial.echo = text if partial.echo is None else partial.echo
        elif lower in ("content-length", "transfer-encoding"):
            partial.has_length = True
        elif lower == "keep-alive":
            partial.keep_alive = text
        elif lower == "content-encoding":
            partial.encoded = True

    def on_headers_complete(self) -> None:
        """
        Check status and headers; a response to a HEAD request ends with them.

        Raise BadAnswerError if it is neither a final nor an interim response.
        """
        partial = self._partial
        partial.status = self._parser.get_status_code()
        if is_interim_status(partial.status):
            return
        if not is_final_status(partial.status):
            raise BadAnswerError(f"status {partial.status:03} is not a final one")
        partial.ends_at_close = not partial.has_length
        if partial.encoded:
            raise BadAnswerError("response has a Content-Encoding")
        if self._is_head:
            self.reusable = False
            self._finish(self._to_outcome(partial))

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; raise BadAnswerError above the size limits."""
        received = self._partial.body
        if len(received) + len(body) > self._options.max_body_bytes:
            raise BadAnswerError("response body exceeds the size limit")
        self._hold(BODY_COPIES * len(body))
        received += body

    def on_message_complete(self) -> None:
        """Finish the request if the complete response belongs to it."""
        partial = self._partial
        if is_interim_status(partial.status):
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._update_idle_until(partial)
        self._finish(self._to_outcome(partial))

    async def send(
        self, request: Request, echo: str | None, timeout_s: float | None
    ) -> Response | HttpFailure:
        """
        Send a request and wait up to `timeout_s` seconds for the response.

        A timeout or a cancellation aborts the connection. A response that has arrived
        by the timeout is returned, also if the loop reads it later.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return HttpFailure(HttpProblem.NOT_SENT, "connection is closed")
        self._uses += 1
        self._received_any = False
        self._received_bytes = self._late_responses = 0
        self._is_head = request.method == "HEAD"
        self._expected_echo = echo
        self._partial = PartialResponse()
        loop = asyncio.get_running_loop()
        pending: _PendingOutcome = loop.create_future()
        self._pending = pending
        timer = None
        if timeout_s is not None:
            timer = call_later_after_reading(timeout_s, self._time_out, pending)
        transport.write(encode_request(request))
        try:
            return await pending
        except asyncio.CancelledError:
            self._pending = None
            self._forget_response()
            self._abort()
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def idle(self) -> bool:
        """Return whether the connection can carry another request."""
        transport = self._transport
        if not self.reusable or transport is None or transport.is_closing():
            return False
        return transport.get_write_buffer_size() == 0

    def has_unread(self) -> bool:
        """
        Return whether the server has sent anything, or its end, that is not read yet.

        A request that is written then may get no response.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return True
        descriptor = transport.get_extra_info("socket").fileno()
        return bool(ready_descriptors((descriptor,)))

    def close(self) -> None:
        """Close once buffered data is written."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def _parse(self, data: bytes) -> None:
        """Parse a part of the received bytes; raise BadAnswerError, HttpParserError."""
        if self._pending is None:
            # Surplus bytes after a complete response belong to no request.
            self._abort()
            return
        self._received_bytes += len(data)
        self._parser.feed_data(data)
        body_bytes = len(self._partial.body)
        limit = MAX_RESPONSE_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes
        if self._pending is not None and self._received_bytes - body_bytes > limit:
            raise BadAnswerError("head, framing or trailers exceed the size limit")

    def _hold(self, count: int) -> None:
        """Count bytes that are kept; raise BadAnswerError if they do not fit."""
        if not self._holding.grow(count):
            raise BadAnswerError("no memory is left for the response")

    def _time_out(self, pending: _PendingOutcome, late_s: float) -> None:
        """Fail a request whose timer fired `late_s` late, unless it has ended."""
        if self._pending is not pending or pending.done():
            return
        _LOGGER.info(
            "backend: request has timed out.",
            extra={"late_s": round(late_s, 3), "received_bytes": self._received_bytes},
        )
        detail = "no complete response within the timeout"
        self._finish(HttpFailure(HttpProblem.TIMED_OUT, detail))

    def _abort(self) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _update_idle_until(self, partial: PartialResponse) -> None:
        idle_s = self._options.idle_s
        if partial.keep_alive is not None and "timeout=" in partial.keep_alive:
            server_s = partial.keep_alive.partition("timeout=")[2].partition(",")[0]
            if server_s.strip().isdigit():
                idle_s = int(server_s) - self._options.idle_margin_s
        self.idle_until = monotonic_s() + idle_s

    def _to_outcome(self, partial: PartialResponse) -> Response | HttpFailure | None:
        """Return the response, or None if it belongs to an earlier request."""
        response = Response(partial.status, tuple(partial.headers), bytes(partial.body))
        if not self._echo_name or self._expected_echo is None:
            return response
        if partial.echo == self._expected_echo:
            return response
        if partial.echo is None:
            return HttpFailure(HttpProblem.GARBLED, "response has no request id header")
        return None

    def _forget_response(self) -> None:
        """
        Free what was received.

        The connection may idle for long, and after its end its cycle with the parser
        is freed only by the garbage collector, which doesn't count bytes.
        """
        self._holding.release()
        self._partial = PartialResponse()

    def _finish(self, outcome: Response | HttpFailure | None) -> None:
        self._forget_response()
        if outcome is None:
            self._discard_late_response()
            return
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_result(outcome)
        if isinstance(outcome, HttpFailure):
            self._abort()

    def _discard_late_response(self) -> None:
        """Forget a response to an earlier request; raise BadAnswerError after many."""
        _LOGGER.info("backend: discarded a late response to an earlier request.")
        self._late_responses += 1
        if self._late_responses > MAX_LATE_RESPONSES:
            raise BadAnswerError("too many responses to other requests")
        self._received_bytes = 0


class HttpClient:
    """Pool of kept-alive connections to one address; reuses the last used one first."""

    def __init__(self, address: PeerAddress, options: HttpClientOptions) -> None:
        self.address = address
        self._options = options
        self._idle: deque[ClientConnection] = deque()
        self._open = 0
        self.opened = 0

    async def send(
        self,
        request: Request | Callable[[], Request | None],
        *,
        echo: str | None = None,
        fresh: bool = False,
        timeout_s: float | None = None,
    ) -> Response | HttpFailure:
        """
        Send a request once and return a complete response or a failure.

        With `fresh`, open a new connection instead of reusing an idle one.
        `timeout_s` covers connecting and waiting for the response, in seconds. A
        callable is called for the request once there is a connection; if it returns
        None, nothing is sent. Cancellation aborts the request.
        """
        connection = None if fresh else self._take_idle()
        if connection is None:
            started_at = monotonic_s()
            opened = await self._connect(timeout_s)
            if isinstance(opened, HttpFailure):
                return opened
            connection = opened
            if timeout_s is not None:
                timeout_s -= monotonic_s() - started_at
                if timeout_s <= 0.0:
                    connection.close()
                    return HttpFailure(HttpProblem.EXPIRED, "connected too late")
            if connection.has_unread():
                connection.close()
                return HttpFailure(HttpProblem.REJECTED, "closed before the request")
        try:
            sent = request() if callable(request) else request
            if sent is None:
                response: Response | HttpFailure = HttpFailure(
                    HttpProblem.EXPIRED, "request may not be sent any more"
                )
            else:
                response = await connection.send(sent, echo, timeout_s)
        except BaseException:
            connection.close()
            raise
        self._close_expired()
        if connection.idle() and len(self._idle) < self._options.max_connections:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _close_expired(self) -> None:
        """Close the connections that are not reused any more, oldest first."""
        now = monotonic_s()
        while self._idle and not (
            self._idle[0].idle() and now < self._idle[0].idle_until
        ):
            self._idle.popleft().close()

    def _take_idle(self) -> ClientConnection | None:
        now = monotonic_s()
        while self._idle:
            connection = self._idle.pop()
            is_fresh = connection.idle() and now < connection.idle_until
            if is_fresh and not connection.has_unread():
                return connection
            connection.close()
        return None

    async def _connect(self, timeout_s: float | None) -> ClientConnection | HttpFailure:
        loop = asyncio.get_running_loop()
        connect_timeout_s = self._options.connect_timeout_s
        if timeout_s is not None:
            connect_timeout_s = min(connect_timeout_s, timeout_s)
        try:
            async with timeout_after_reading(connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._options),
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            return HttpFailure(HttpProblem.NOT_SENT, type(error).__name__)
        self.opened += 1
        return connection


def encode_request(request: Request) -> bytes:
    """Encode a request, adding Host and Content-Length; its headers must lack both."""
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body or request.method in {"POST", "PUT", "PATCH"}:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + request.body
