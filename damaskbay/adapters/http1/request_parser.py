"""Incremental parser of the HTTP/1.1 requests on one connection."""

import http
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from damaskbay.adapters.http1.exceptions import BadRequestError
from damaskbay.adapters.http1.names import decode_header_name
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request


class RequestReceiver(Protocol):
    """Receives what a RequestParser reads."""

    def handle_expect_continue(self) -> None:
        """Handle the head of a request whose body waits for 100 Continue."""

    def handle_request(self, request: Request, *, keep_alive: bool) -> None:
        """Handle a complete request; its connection closes without `keep_alive`."""


@dataclass(slots=True)
class _PartialRequest:
    """The request that is being parsed."""

    target: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    host: str = ""
    expects_continue: bool = False
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0


class RequestParser:
    """
    Parses the requests of one connection and passes each complete one on.

    `started_at` is the monotonic time at which the current request began.
    """

    def __init__(self, receiver: RequestReceiver, now: float) -> None:
        self._receiver = receiver
        self._parser = httptools.HttpRequestParser(self)
        self._limits = CallerLimits()
        self._now = self.started_at = now
        self._partial = _PartialRequest()
        self._header_bytes = 0
        self.in_headers = False

    @property
    def in_request(self) -> bool:
        """Return whether a request has begun and is incomplete."""
        return self.in_headers or bool(self._partial.target)

    def feed(self, data: bytes, limits: CallerLimits, now: float) -> None:
        """Parse bytes of one or more requests; raise BadRequestError if invalid."""
        self._limits, self._now = limits, now
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST) from error
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                raise cause from None
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST) from error
        self._count_header_bytes(len(data))

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        self._partial = _PartialRequest()
        self.in_headers = True
        self.started_at = self._now

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        partial = self._partial
        name_as_sent, lower = decode_header_name(name)
        text = value.decode("latin-1")
        partial.headers.append((name_as_sent, text))
        if lower == "host":
            partial.host = partial.host or text
        elif lower == "expect" and text.lower() == "100-continue":
            partial.expects_continue = True

    def on_headers_complete(self) -> None:
        """Report a caller that waits for 100 Continue."""
        self.in_headers = False
        self._header_bytes = 0
        if self._partial.expects_continue:
            self._receiver.handle_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; raise BadRequestError above the size limit."""
        self._partial.body_bytes += len(body)
        if self._partial.body_bytes > self._limits.max_body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._partial.body.append(body)

    def on_message_complete(self) -> None:
        """Pass on a complete request."""
        partial = self._partial
        self._partial = _PartialRequest()
        request = Request(
            self._parser.get_method().decode("ascii"),
            partial.host,
            partial.target.decode("latin-1"),
            tuple(partial.headers),
            b"".join(partial.body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._receiver.handle_request(request, keep_alive=keep_alive)

    def _count_header_bytes(self, count: int) -> None:
        """Reject headers that exceed the size limit."""
        if not self.in_headers:
            return
        self._header_bytes += count
        if self._header_bytes > self._limits.max_header_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
