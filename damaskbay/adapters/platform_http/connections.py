"""Pool of kept-alive connections to the platform."""

import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPResponse

from damaskbay.adapters.platform_http.const import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_S,
    MAX_RESPONSE_BYTES,
    READ_CHUNK_BYTES,
)
from damaskbay.adapters.platform_http.exceptions import BadAnswerError, NotSentError


@dataclass(frozen=True, slots=True)
class RawResponse:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class RawRequest:
    """An HTTP request to the platform."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | None = None


class ConnectionPool:
    """
    Pool of connections to the platform. Thread-safe.

    A connection carries one request at a time. After a timeout all idle connections
    are closed, since a device on the network path may have dropped their state too.
    """

    def __init__(self, host: str, port: int, clock: Callable[[], float]) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._idle: deque[tuple[float, HTTPConnection]] = deque()

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop()[1].close()

    def send(self, request: RawRequest, deadline: float) -> RawResponse:
        """
        Send the request once and return the complete response.

        Raises NotSentError if nothing was sent. After any other error (OSError,
        HTTPException, ValueError, BadAnswerError) the service may have run the request.
        """
        connection = self._take_idle() or self._connect(deadline)
        try:
            response, reusable = self._exchange(connection, request, deadline)
        except BaseException as error:
            connection.close()
            if isinstance(error, TimeoutError):
                self.close()
            raise
        if reusable and self.idle_count < MAX_IDLE_CONNECTIONS:
            self._idle.append((self._clock(), connection))
        else:
            connection.close()
        return response

    def _take_idle(self) -> HTTPConnection | None:
        """Return an idle connection that the service has not closed, or None."""
        while True:
            try:
                idle_since, connection = self._idle.pop()
            except IndexError:
                return None
            recent = self._clock() - idle_since < MAX_IDLE_S
            if recent and not _is_readable(connection.sock):
                return connection
            connection.close()

    def _connect(self, deadline: float) -> HTTPConnection:
        remaining_s = deadline - self._clock()
        if remaining_s <= 0:
            raise NotSentError("deadline passed before connecting")
        timeout_s = min(remaining_s, CONNECT_TIMEOUT_S)
        connection = HTTPConnection(self._host, self._port, timeout=timeout_s)
        try:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            connection.close()
            raise NotSentError(str(error)) from error
        return connection

    def _exchange(
        self, connection: HTTPConnection, request: RawRequest, deadline: float
    ) -> tuple[RawResponse, bool]:
        self._set_socket_timeout(connection, deadline)
        connection.request(
            request.method, request.target, request.body, request.headers
        )
        self._set_socket_timeout(connection, deadline)
        response = connection.getresponse()
        body = self._read(connection, response, deadline)
        headers = {name.lower(): value for name, value in response.getheaders()}
        raw = RawResponse(response.status, headers, body)
        return raw, not response.will_close

    def _read(
        self, connection: HTTPConnection, response: HTTPResponse, deadline: float
    ) -> bytes:
        """Return the complete body; raise BadAnswerError or IncompleteRead if not."""
        chunks = []
        size = 0
        while True:
            if connection.sock is not None:
                self._set_socket_timeout(connection, deadline)
            remaining_bytes = response.length
            chunk = response.read(
                READ_CHUNK_BYTES
                if remaining_bytes is None
                else min(READ_CHUNK_BYTES, remaining_bytes)
            )
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise BadAnswerError(
                    f"response body exceeds {MAX_RESPONSE_BYTES} bytes"
                )
        if response.length:
            raise BadAnswerError(f"{response.length} bytes of the response are missing")
        return b"".join(chunks)

    def _set_socket_timeout(self, connection: HTTPConnection, deadline: float) -> None:
        remaining_s = deadline - self._clock()
        if remaining_s <= 0:
            raise TimeoutError("deadline passed")
        connection.sock.settimeout(remaining_s)


def _is_readable(sock: socket.socket) -> bool:
    """Return whether an idle connection has unread bytes or has been closed."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
