"""Requests to daemons over kept-alive connections."""

import http.client
import ssl
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.client.options import ClientOptions, DaemonAddress
from damaskbay.core.call import Headers, Response
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.helpers.http_exchange import (
    AnswerCutShortError,
    AnswerTooLargeError,
    Connection,
    read_response,
    write_request,
)


@dataclass(frozen=True, slots=True)
class DaemonRequest:
    """HTTP request to a daemon; `deadline` is in seconds of the client's clock."""

    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float


class ConnectionPool:
    """Idle connections by daemon; thread-safe. The lock is not held during I/O."""

    def __init__(
        self,
        options: ClientOptions,
        tls: ssl.SSLContext | None,
        clock: Callable[[], float],
    ) -> None:
        self._options = options
        self._tls = tls
        self._clock = clock
        self._lock = threading.Lock()
        self._closed = False
        self._idle_by_address: dict[DaemonAddress, deque[Connection]] = {}

    def close(self) -> None:
        """Close the idle connections; those in use are closed after their request."""
        with self._lock:
            self._closed = True
            idle = [c for queue in self._idle_by_address.values() for c in queue]
            self._idle_by_address.clear()
        for connection in idle:
            connection.close()

    def send(
        self, address: DaemonAddress, request: DaemonRequest
    ) -> Response | Refusal:
        """
        Send a request once and return the complete response.

        A refusal is `not_run` only if no byte of the request was written.
        """
        connection = self._acquire(address, request.deadline)
        if isinstance(connection, Refusal):
            return connection
        try:
            return self._send_on(connection, request)
        finally:
            self._release(address, connection)

    def _send_on(
        self, connection: Connection, request: DaemonRequest
    ) -> Response | Refusal:
        connection.may_have_written = False
        connection.reusable = False
        try:
            connection.sock.settimeout(max(0.001, request.deadline - self._clock()))
            write_request(
                connection,
                request.method,
                request.target,
                request.headers,
                request.body,
            )
            limit = self._options.max_body_bytes
            return read_response(connection, request.deadline, self._clock, limit)
        except TimeoutError:
            return _refusal(connection, Reason.DEADLINE_PASSED, "no response in time")
        except (AnswerCutShortError, http.client.IncompleteRead):
            return unknown(Reason.ANSWER_INCOMPLETE, detail="response is incomplete")
        except AnswerTooLargeError:
            return unknown(Reason.ANSWER_INCOMPLETE, detail="response is too large")
        except (OSError, http.client.HTTPException) as error:
            return _refusal(connection, Reason.PEER_LOST, type(error).__name__)
        except ValueError as error:
            return _refusal(connection, Reason.BAD_REQUEST, str(error))

    def _acquire(self, address: DaemonAddress, deadline: float) -> Connection | Refusal:
        while (connection := self._pop_idle(address)) is not None:
            if connection.is_idle():
                return connection
            connection.close()
        wait_s = min(self._options.connect_timeout_s, deadline - self._clock())
        if wait_s <= 0:
            return not_run(Reason.DEADLINE_PASSED)
        connection = Connection(
            address.host, address.port, timeout_s=wait_s, tls=self._tls
        )
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            return not_run(Reason.PEER_UNREACHABLE, detail=type(error).__name__)
        return connection

    def _pop_idle(self, address: DaemonAddress) -> Connection | None:
        idle_since_min = self._clock() - self._options.idle_connection_s
        with self._lock:
            idle = self._idle_by_address.get(address)
            connection = idle.pop() if idle else None
        if connection is not None and connection.idle_since < idle_since_min:
            connection.close()
            return self._pop_idle(address)
        return connection

    def _release(self, address: DaemonAddress, connection: Connection) -> None:
        connection.idle_since = self._clock()
        with self._lock:
            idle = self._idle_by_address.setdefault(address, deque())
            has_room = len(idle) < self._options.max_idle_connections
            kept = connection.reusable and has_room and not self._closed
            if kept:
                idle.append(connection)
        if not kept:
            connection.close()


def _refusal(connection: Connection, reason: Reason, detail: str) -> Refusal:
    if connection.may_have_written:
        return unknown(reason, detail=detail)
    return not_run(reason, detail=detail)
