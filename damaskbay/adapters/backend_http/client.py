"""Calls to the local backend server over kept-alive connections."""

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
from damaskbay.core.call import Answer, Headers, Request
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.http_exchange import Connection, read_answer, write_request
from damaskbay.helpers.http_headers import without, without_hop_by_hop

_LOGGER = logging.getLogger(__name__)

_LENGTH_HEADERS = frozenset({"content-length", "host", "expect"})


@dataclass(frozen=True, slots=True)
class BackendHttpOptions:
    """Where the backend server listens and what it bears. Times in seconds."""

    host: str
    port: int
    max_connections: int
    max_body_bytes: int = MAX_BODY_BYTES
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    idle_connection_s: float = IDLE_CONNECTION_S


class HttpBackendServer:
    """
    The local backend server (port: BackendServer), safe from any thread.

    Never opens more than `max_connections`. A connection carries one request at
    a time; one that failed, was cancelled or went past its deadline is closed.
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
        self._room = threading.BoundedSemaphore(options.max_connections)
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
    ) -> Answer | Refusal:
        """Send once; see ports.backend.BackendServer."""
        if not self._room.acquire(timeout=max(0.0, deadline - self._clock())):
            return not_run(Reason.DEADLINE_PASSED, detail="no free connection")
        try:
            return self._call(request, call_token, deadline, cancellation)
        finally:
            self._room.release()

    def _call(
        self,
        request: Request,
        call_token: str,
        deadline: float,
        cancellation: Cancellation,
    ) -> Answer | Refusal:
        opened = self._open(deadline)
        if isinstance(opened, Refusal):
            return opened
        abort = _Abort(opened)
        cancellation.on_cancel(abort)
        try:
            if cancellation.cancelled:
                return not_run(Reason.CANCELLED)
            answer = self._exchange(opened, request, call_token, deadline)
        finally:
            cancellation.forget(abort)
            aborted = abort.disarm()
            if opened.reusable and not aborted:
                self._keep(opened)
            else:
                opened.close()
        if aborted and isinstance(answer, Refusal):
            return _refuse(opened, Reason.CANCELLED, "")
        return answer

    def _open(self, deadline: float) -> Connection | Refusal:
        """Return a usable connection, connected, with nothing written yet."""
        while self._idle:
            connection = self._idle.pop()
            idle_s = self._clock() - connection.idle_since
            if idle_s < self._options.idle_connection_s and connection.is_quiet():
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
            return not_run(Reason.BACKEND_SERVER_FAILED, detail=_name_of(error))
        return connection

    def _exchange(
        self,
        connection: Connection,
        request: Request,
        call_token: str,
        deadline: float,
    ) -> Answer | Refusal:
        connection.wrote = False
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
            answer = read_answer(connection, deadline, self._clock, limit)
            headers = without_hop_by_hop(answer.headers)
            return Answer(answer.status, headers, answer.body)
        except TimeoutError:
            return _refuse(connection, Reason.DEADLINE_PASSED, "no answer in time")
        except AnswerTooLargeError:
            return unknown(Reason.ANSWER_INCOMPLETE, detail="answer over the limit")
        except (AnswerCutShortError, http.client.IncompleteRead):
            return unknown(Reason.ANSWER_INCOMPLETE)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return _refuse(connection, Reason.BACKEND_SERVER_FAILED, _name_of(error))

    def _headers(
        self, request: Request, call_token: str, remaining_s: float
    ) -> Headers:
        passed = without(without_hop_by_hop(request.headers), _LENGTH_HEADERS)
        return (
            ("Host", request.host),
            *passed,
            (HEADER_CALL_TOKEN, call_token),
            (HEADER_DEADLINE, str(max(1, int(remaining_s * 1000)))),
        )

    def _keep(self, connection: Connection) -> None:
        if self._closed:
            connection.close()
            return
        connection.idle_since = self._clock()
        self._idle.append(connection)


class _Abort:
    """Ends a blocked exchange from another thread, until it is disarmed."""

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
                _LOGGER.debug("backend: connection was closed already.")

    def disarm(self) -> bool:
        """Let go of the connection; tell whether it was aborted before."""
        with self._lock:
            self._connection = None
            return self._aborted


def _refuse(connection: Connection, reason: Reason, detail: str) -> Refusal:
    if connection.wrote:
        return unknown(reason, detail=detail)
    return not_run(reason, detail=detail)


def _name_of(error: BaseException) -> str:
    return type(error).__name__
