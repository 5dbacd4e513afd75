"""Kept-alive connections to the platform, replaced where they went silent."""

import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPResponse

from damaskbay.adapters.platform_http.const import (
    MAX_ANSWER_BYTES,
    MAX_CONNECT_S,
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_S,
    READ_BYTES,
)
from damaskbay.adapters.platform_http.exceptions import BadAnswerError, NotSentError


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """An HTTP answer, whole."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class RawCall:
    """An HTTP request of the interface."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | None = None


class Connections:
    """
    Sends calls over a few connections; safe from any thread.

    A connection carries one call at a time and belongs to that call. After a
    time-out every idle connection is closed, since something on the way may
    have lost track of them all.
    """

    def __init__(self, host: str, port: int, clock: Callable[[], float]) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._idle: deque[tuple[float, HTTPConnection]] = deque()

    @property
    def idle_count(self) -> int:
        """Return how many connections wait for a call."""
        return len(self._idle)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop()[1].close()

    def call(self, call: RawCall, deadline: float) -> RawAnswer:
        """
        Send once and return the whole answer.

        Raises NotSentError where no byte left; any other OSError, HTTPException or
        ValueError leaves open whether the service got the call.
        """
        connection = self._take() or self._open(deadline)
        try:
            answer, reusable = self._exchange(connection, call, deadline)
        except BaseException as error:
            connection.close()
            if isinstance(error, TimeoutError):
                self.close()
            raise
        if reusable and self.idle_count < MAX_IDLE_CONNECTIONS:
            self._idle.append((self._clock(), connection))
        else:
            connection.close()
        return answer

    def _take(self) -> HTTPConnection | None:
        """Return an idle connection that the service has not closed."""
        while True:
            try:
                idle_since, connection = self._idle.pop()
            except IndexError:
                return None
            fresh = self._clock() - idle_since < MAX_IDLE_S
            if fresh and not _is_readable(connection.sock):
                return connection
            connection.close()

    def _open(self, deadline: float) -> HTTPConnection:
        left_s = deadline - self._clock()
        if left_s <= 0:
            raise NotSentError("no time left to connect")
        timeout_s = min(left_s, MAX_CONNECT_S)
        connection = HTTPConnection(self._host, self._port, timeout=timeout_s)
        try:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            connection.close()
            raise NotSentError(str(error)) from error
        return connection

    def _exchange(
        self, connection: HTTPConnection, call: RawCall, deadline: float
    ) -> tuple[RawAnswer, bool]:
        self._limit(connection, deadline)
        connection.request(call.method, call.target, call.body, call.headers)
        self._limit(connection, deadline)
        response = connection.getresponse()
        body = self._read(connection, response, deadline)
        headers = {name.lower(): value for name, value in response.getheaders()}
        answer = RawAnswer(response.status, headers, body)
        return answer, not response.will_close

    def _read(
        self, connection: HTTPConnection, response: HTTPResponse, deadline: float
    ) -> bytes:
        """Read the body whole; a body that ends early raises IncompleteRead."""
        pieces = []
        size = 0
        while True:
            if connection.sock is not None:
                self._limit(connection, deadline)
            expected = response.length
            piece = response.read(
                READ_BYTES if expected is None else min(READ_BYTES, expected)
            )
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
            if size > MAX_ANSWER_BYTES:
                raise BadAnswerError(f"more than {MAX_ANSWER_BYTES} bytes")
        if response.length:
            raise BadAnswerError(f"{response.length} bytes of the answer are missing")
        return b"".join(pieces)

    def _limit(self, connection: HTTPConnection, deadline: float) -> None:
        left_s = deadline - self._clock()
        if left_s <= 0:
            raise TimeoutError("the time is up")
        connection.sock.settimeout(left_s)


def _is_readable(sock: socket.socket) -> bool:
    """Tell whether bytes or the end of the stream wait on an idle connection."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
