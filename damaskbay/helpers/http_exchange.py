"""One HTTP exchange over `http.client` that detects incomplete responses."""

import functools
import http.client
import socket
import ssl
from collections.abc import Callable
from typing import Final

from damaskbay.core.call import Headers, Response
from damaskbay.helpers.http_response import CheckedResponse

READ_CHUNK_BYTES: Final = 65_536

_METHODS_WITH_BODY: Final = frozenset({"POST", "PUT", "PATCH"})


class AnswerCutShortError(Exception):
    """The response ended before its declared length, or declares no length."""


class AnswerTooLargeError(Exception):
    """The response body exceeds the limit."""


class Connection(http.client.HTTPConnection):
    """
    A keep-alive connection, over TLS if a context is given.

    `may_have_written` is whether any byte of the current request may have been written,
    `reusable` whether another request may follow; `idle_since` is in seconds.
    """

    may_have_written = False
    reusable = False
    idle_since = 0.0

    def __init__(
        self,
        host: str,
        port: int,
        *,
        timeout_s: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self._tls = tls

    def connect(self) -> None:
        """Connect; raise OSError on failure."""
        super().connect()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._tls is not None:
            self.sock = self._tls.wrap_socket(self.sock, server_hostname=self.host)

    def send(self, data: object) -> None:
        """
        Write data; raise ConnectionError if not connected.

        `http.client` would open a missing connection here, and `may_have_written` would
        be set even if that failed.
        """
        if self.sock is None:
            raise ConnectionError("connection is not open")
        self.may_have_written = True
        super().send(data)  # type: ignore[arg-type]

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no data to read."""
        if self.sock is None:
            return False
        self.sock.settimeout(0)
        try:
            if isinstance(self.sock, ssl.SSLSocket):
                self.sock.recv(1)
            else:
                self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, ssl.SSLWantReadError):
            return True
        except OSError:
            return False
        return False


def write_request(
    connection: Connection, method: str, target: str, headers: Headers, body: bytes
) -> None:
    """Write a complete request; `headers` contain Host but no Content-Length."""
    connection.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
    for name, value in headers:
        connection.putheader(name, value)
    if body or method in _METHODS_WITH_BODY:
        connection.putheader("Content-Length", str(len(body)))
    connection.endheaders(body or None)


def read_response(
    connection: Connection, deadline: float, clock: Callable[[], float], max_bytes: int
) -> Response:
    """
    Read a complete response with a body of at most `max_bytes`.

    `deadline` is in seconds of `clock`. Raises TimeoutError,
    AnswerCutShortError, AnswerTooLargeError, OSError and HTTPException.
    """
    connection.response_class = functools.partial(  # type: ignore[assignment]
        CheckedResponse, deadline=deadline, clock=clock
    )
    response = connection.getresponse()
    declared_bytes = response.length
    if declared_bytes is None and not response.chunked:
        raise AnswerCutShortError
    chunks: list[bytes] = []
    size = 0
    while True:
        if deadline - clock() <= 0:
            raise TimeoutError
        chunk = response.read(READ_CHUNK_BYTES)
        if not chunk:
            break
        size += len(chunk)
        if size > max_bytes:
            raise AnswerTooLargeError
        chunks.append(chunk)
    truncated = isinstance(response, CheckedResponse) and response.line_truncated
    if truncated or (declared_bytes is not None and size != declared_bytes):
        raise AnswerCutShortError
    connection.reusable = not response.will_close
    return Response(response.status, tuple(response.getheaders()), b"".join(chunks))
