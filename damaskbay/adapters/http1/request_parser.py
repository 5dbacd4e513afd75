"""Incremental parser of the HTTP/1.1 requests on one connection."""

import http
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from damaskbay.adapters.http1.exceptions import BadRequestError
from damaskbay.adapters.http1.names import decode_header_name
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request
from damaskbay.core.memory_account import (
    BODY_COPIES,
    REQUEST_BYTES,
    SMALL_BYTES,
    Holding,
    MemoryAccount,
    header_bytes,
)

_HEAD_END = b"\r\n\r\n"
"""End of a head, and of a body in chunks."""


class RequestReceiver(Protocol):
    """Receives what a RequestParser reads."""

    def handle_expect_continue(self) -> None:
        """Handle the head of a request whose body waits for 100 Continue."""

    def handle_request(
        self, request: Request, holding: Holding, *, keep_alive: bool
    ) -> None:
        """
        Handle a complete request; its connection closes without `keep_alive`.

        The receiver has to release the holding once the request has ended.
        """


@dataclass(slots=True)
class _PartialRequest:
    """The request that is being parsed."""

    holding: Holding
    target: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    host: str = ""
    expects_continue: bool = False
    length: int | None = None
    body: bytearray = field(default_factory=bytearray)


class RequestParser:
    """
    Parses the requests of one connection and passes each complete one on.

    `started_at` is the monotonic time at which the current request began, `body_parts`
    the number of parts of bodies in the last bytes, `completed` that of requests so
    far. What is read counts in `memory`.
    """

    def __init__(
        self, receiver: RequestReceiver, memory: MemoryAccount, now: float
    ) -> None:
        self._receiver = receiver
        self._memory = memory
        self._parser = httptools.HttpRequestParser(self)
        self._limits = CallerLimits()
        self._now = self.started_at = now
        self._partial = _PartialRequest(Holding(memory))
        self._began_here = False
        self._body_bytes_here = 0
        self._header_bytes = 0
        self.in_headers = False
        self.body_parts = self.completed = 0

    @property
    def in_request(self) -> bool:
        """Return whether a request has begun and is incomplete."""
        return self.in_headers or bool(self._partial.target)

    @property
    def held_bytes(self) -> int:
        """Return what the incomplete request holds."""
        return self._partial.holding.held_bytes

    @property
    def body_bytes(self) -> int:
        """Return how much of a body was received."""
        return len(self._partial.body)

    @property
    def body_bytes_left(self) -> int:
        """Return how much of a body is to come, 0 where that is unknown."""
        length = self._partial.length
        if length is None or self.in_headers:
            return 0
        return length - len(self._partial.body)

    def feed(self, data: bytes, limits: CallerLimits, now: float) -> None:
        """Parse bytes of one or more requests; raise BadRequestError if invalid."""
        self._limits, self._now = limits, now
        self._began_here = False
        self._body_bytes_here = self.body_parts = 0
        try:
            self._feed(data)
        except httptools.HttpParserError as error:
            raise self._explain(error) from None
        if self.in_headers:
            self._check_header_bytes(self._count_head_at_end(data))

    def _explain(self, error: httptools.HttpParserError) -> BadRequestError:
        """
        Return what a parser's error stands for.

        A frame of its traceback that referred to it would keep it, and with it the
        body that was received, until the next run of the garbage collector.
        """
        cause = error.__context__
        if isinstance(cause, BadRequestError):
            return cause
        if isinstance(cause, MemoryError):
            self._memory.on_missing()
            return BadRequestError(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return BadRequestError(http.HTTPStatus.BAD_REQUEST)

    def _feed(self, data: bytes) -> None:
        """Parse bytes; a request that offers an upgrade is parsed without the offer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            if self._parser.get_method() == b"CONNECT":
                raise BadRequestError(http.HTTPStatus.BAD_REQUEST) from offer
            head = self._head_without_upgrade()
            self._parser = httptools.HttpRequestParser(self)
            self._feed(head + data[offer.args[0] :])

    def _head_without_upgrade(self) -> bytes:
        """Return the head of the current request as if it offered no upgrade."""
        partial = self._partial
        version = self._parser.get_http_version().encode()
        method = self._parser.get_method()
        lines = [method + b" " + partial.target + b" HTTP/" + version]
        for name, value in partial.headers:
            lower = name.lower()
            kept = _without_upgrade(value) if lower == "connection" else value
            if lower != "upgrade" and (kept or lower != "connection"):
                lines.append(f"{name}: {kept}".encode("latin-1"))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def close(self) -> None:
        """Forget the incomplete request."""
        self._partial.holding.release()
        self._partial = _PartialRequest(Holding(self._memory))

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        if self._partial.holding.held_bytes:
            self.close()
        self._began_here = True
        self._header_bytes = 0
        self.in_headers = True
        self.started_at = self._now

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        begins = not self._partial.target
        self._hold(len(url) + REQUEST_BYTES if begins else len(url))
        self._partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        partial = self._partial
        self._hold(header_bytes(name, value))
        name_as_sent, lower = decode_header_name(name)
        text = value.decode("latin-1")
        partial.headers.append((name_as_sent, text))
        if lower == "host":
            partial.host = partial.host or text
        elif lower == "expect" and text.lower() == "100-continue":
            partial.expects_continue = True
        elif lower == "content-length" and text.isdigit():
            partial.length = int(text)

    def on_headers_complete(self) -> None:
        """
        Report a caller that waits for 100 Continue.

        A body that is too large, or finds no room now, is rejected before it is sent.
        """
        self.in_headers = False
        self._header_bytes = self._body_bytes_here = 0
        if self._parser.should_upgrade():
            return
        length = self._partial.length or 0
        if length > self._limits.max_body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        own_bytes = self._partial.holding.held_bytes
        if not self._memory.takes(BODY_COPIES * length, length, own_bytes):
            raise BadRequestError(http.HTTPStatus.SERVICE_UNAVAILABLE)
        if self._partial.expects_continue:
            self._receiver.handle_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; raise BadRequestError above the size limits."""
        self.body_parts += 1
        received = self._partial.body
        if len(received) + len(body) > self._limits.max_body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        size_bytes = self._partial.length or len(received) + len(body)
        own_bytes = self._partial.holding.held_bytes
        if not self._memory.takes(BODY_COPIES * len(body), size_bytes, own_bytes):
            raise BadRequestError(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self._hold(BODY_COPIES * len(body))
        received += body
        if self._partial.length is not None:
            self._body_bytes_here += len(body)

    def on_message_complete(self) -> None:
        """Pass on a complete request, except one whose head is parsed again."""
        if self._parser.should_upgrade():
            return
        partial = self._partial
        self._partial = _PartialRequest(Holding(self._memory))
        self.completed += 1
        request = Request(
            self._parser.get_method().decode("ascii"),
            partial.host,
            partial.target.decode("latin-1"),
            tuple(partial.headers),
            bytes(partial.body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._receiver.handle_request(request, partial.holding, keep_alive=keep_alive)

    def _hold(self, count: int) -> None:
        """Count bytes that are kept; raise BadRequestError if they do not fit."""
        holding = self._partial.holding
        own_bytes = holding.held_bytes
        if own_bytes > SMALL_BYTES and self.in_headers:
            takes = self._memory.takes(count, own_bytes, own_bytes)
        else:
            takes = True
        if not takes or not holding.grow(count):
            raise BadRequestError(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _count_head_at_end(self, data: bytes) -> int:
        """Return how many of the received bytes belong to the head that ends them."""
        if not self._began_here:
            return len(data)
        before = data.rfind(_HEAD_END) + len(_HEAD_END) if _HEAD_END in data else 0
        return max(0, len(data) - before - self._body_bytes_here)

    def _check_header_bytes(self, count: int) -> None:
        """Add bytes of a head that has not ended; reject it above the size limit."""
        self._header_bytes += count
        if self._header_bytes > self._limits.max_header_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)


def _without_upgrade(connection: str) -> str:
    """Return the value of a Connection header without the upgrade."""
    options = (option.strip() for option in connection.split(","))
    return ", ".join(option for option in options if option.lower() != "upgrade")
