"""HTTP client of the local backend server with kept-alive connections."""

import http.client
import logging
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Self

from damaskbay.adapters.backend_http.const import (
    CONNECT_TIMEOUT_S,
    IDLE_CONNECTION_S,
)
from damaskbay.adapters.backend_http.exceptions import (
    AnswerCutShortError,
    AnswerTooLargeError,
)
from damaskbay.const import HEADER_CALL_TOKEN, HEADER_DEADLINE, MAX_BODY_BYTES
from damaskbay.core.call import Headers, Request, Response
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.http_exchange import Connection, read_response, write_request
from damaskbay.helpers.http_headers import without_headers, without_hop_by_hop

_LOGGER = logging.getLogger(__name__)

_UNFORWARDED_HEADERS = frozenset({"content-length", "host", "expect"})


@dataclass(frozen=True, slots=True)
class BackendHttpOptions:
    """Address of the backend server, limits and timeouts; times in seconds."""

    host: str
    port: int
    max_connections: int
    max_body_bytes: int = MAX_BODY_BYTES
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    idle_connection_s: float = IDLE_CONNECTION_S


class HttpBackendServer:
    """
    Client of the local backend server; implements BackendServer. Thread-safe.

    Never opens more than `max_connections`. A connection carries one request at
    a time and is closed if the request fails, is cancelled or misses its deadline.
    """

    def __init__(
        self,
        options: BackendHttpOptions,
        *,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self._options = options
        self._clock = clock
        self._idle: deque[Connection] = deque()
        self._connection_semaphore = threading.BoundedSemaphore(options.max_connections)
        self._closed = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    def call(
        self,
        request: Request,
        *,
        call_token: str,
        deadline: float,
        cancellation: Cancellation,
    ) -> Response | Refusal:
        """Send the request once; see ports.backend.BackendServer."""
        if not self._connection_semaphore.acquire(
            timeout=max(0.0, deadline - self._clock())
        ):
            return not_run(
                Reason.DEADLINE_PASSED, detail="no free connection before the deadline"
            )
        try:
            return self._call(request, call_token, deadline, cancellation)
        finally:
            self._connection_semaphore.release()

    def _call(
        self,
        request: Request,
        call_token: str,
        deadline: float,
        cancellation: Cancellation,
    ) -> Response | Refusal:
        connection = self._open(deadline)
        if isinstance(connection, Refusal):
            return connection
        abort = _Abort(connection)
        cancellation.on_cancel(abort)
        try:
            if cancellation.cancelled:
                return not_run(Reason.CANCELLED)
            response = self._exchange(connection, request, call_token, deadline)
        finally:
            cancellation.remove_callback(abort)
            aborted = abort.disarm()
            if connection.reusable and not aborted:
                self._store_idle(connection)
            else:
                connection.close()
        if aborted and isinstance(response, Refusal):
            return _refusal(connection, Reason.CANCELLED, "")
        return response

    def _open(self, deadline: float) -> Connection | Refusal:
        """Return an idle or a new connection, or a refusal if connecting fails."""
        while self._idle:
            connection = self._idle.pop()
            idle_s = self._clock() - connection.idle_since
            if idle_s < self._options.idle_connection_s and connection.is_idle():
                return connection
            connection.close()
        wait_s = min(self._options.connect_timeout_s, deadline - self._clock())
        if wait_s <= 0:
            return not_run(Reason.DEADLINE_PASSED)
        options = self._options
        connection = Connection(options.host, options.port, timeout_s=wait_s)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            return not_run(Reason.BACKEND_SERVER_FAILED, detail=_error_name(error))
        return connection

    def _exchange(
        self,
        connection: Connection,
        request: Request,
        call_token: str,
        deadline: float,
    ) -> Response | Refusal:
        connection.may_have_written = False
        connection.reusable = False
        try:
            remaining_s = deadline - self._clock()
            if remaining_s <= 0:
                connection.reusable = True
                return not_run(Reason.DEADLINE_PASSED)
            connection.sock.settimeout(remaining_s)
            write_request(
                connection,
                request.method,
                request.target,
                self._headers(request, call_token, remaining_s),
                request.body,
            )
            limit = self._options.max_body_bytes
            response = read_response(connection, deadline, self._clock, limit)
            headers = without_hop_by_hop(response.headers)
            return Response(response.status, headers, response.body)
        except TimeoutError:
            return _refusal(
                connection, Reason.DEADLINE_PASSED, "no response before the deadline"
            )
        except AnswerTooLargeError:
            return unknown(
                Reason.ANSWER_INCOMPLETE, detail="response exceeds the size limit"
            )
        except (AnswerCutShortError, http.client.IncompleteRead):
            return unknown(Reason.ANSWER_INCOMPLETE)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return _refusal(
                connection, Reason.BACKEND_SERVER_FAILED, _error_name(error)
            )

    def _headers(
        self, request: Request, call_token: str, remaining_s: float
    ) -> Headers:
        forwarded = without_headers(
            without_hop_by_hop(request.headers), _UNFORWARDED_HEADERS
        )
        return (
            ("Host", request.host),
            *forwarded,
            (HEADER_CALL_TOKEN, call_token),
            (HEADER_DEADLINE, str(max(1, int(remaining_s * 1000)))),
        )

    def _store_idle(self, connection: Connection) -> None:
        if self._closed:
            connection.close()
            return
        connection.idle_since = self._clock()
        self._idle.append(connection)


class _Abort:
    """Shuts down a connection from another thread to end a blocked exchange."""

    def __init__(self, connection: Connection) -> None:
        self._connection: Connection | None = connection
        self._lock = threading.Lock()
        self._aborted = False

    def __call__(self) -> None:
        with self._lock:
            if self._connection is None or self._connection.sock is None:
                return
            self._aborted = True
            try:
                self._connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                _LOGGER.debug("backend: connection is already closed.")

    def disarm(self) -> bool:
        """Release the connection and return whether it has been aborted."""
        with self._lock:
            self._connection = None
            return self._aborted


def _refusal(connection: Connection, reason: Reason, detail: str) -> Refusal:
    if connection.may_have_written:
        return unknown(reason, detail=detail)
    return not_run(reason, detail=detail)


def _error_name(error: BaseException) -> str:
    return type(error).__name__
