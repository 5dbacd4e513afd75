"""Exchanges with daemons over kept-alive connections."""

import http.client
import ssl
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.client.options import ClientOptions, DaemonAddress
from damaskbay.core.call import Answer, Headers
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.helpers.http_exchange import (
    AnswerCutShortError,
    AnswerTooLargeError,
    Connection,
    read_answer,
    write_request,
)


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request to one daemon; `deadline` in the clock's seconds."""

    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float


class Connections:
    """Idle connections by daemon. Safe from any thread; the lock spans no I/O."""

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
        """Close the idle connections; those in use are closed at their end."""
        with self._lock:
            self._closed = True
            idle = [c for queue in self._idle_by_address.values() for c in queue]
            self._idle_by_address.clear()
        for connection in idle:
            connection.close()

    def exchange(self, address: DaemonAddress, exchange: Exchange) -> Answer | Refusal:
        """
        Send once and return the whole answer.

        A refusal is `not_run` only where no byte of the request was written.
        """
        connection = self._open(address, exchange.deadline)
        if isinstance(connection, Refusal):
            return connection
        try:
            return self._exchange(connection, exchange)
        finally:
            self._give_back(address, connection)

    def _exchange(self, connection: Connection, exchange: Exchange) -> Answer | Refusal:
        connection.wrote = False
        connection.reusable = False
        try:
            connection.sock.settimeout(max(0.001, exchange.deadline - self._clock()))
            write_request(
                connection,
                exchange.method,
                exchange.target,
                exchange.headers,
                exchange.body,
            )
            limit = self._options.max_body_bytes
            return read_answer(connection, exchange.deadline, self._clock, limit)
        except TimeoutError:
            return _refuse(connection, Reason.DEADLINE_PASSED, "no answer in time")
        except (AnswerCutShortError, http.client.IncompleteRead):
            return unknown(Reason.ANSWER_INCOMPLETE, detail="the answer was cut short")
        except AnswerTooLargeError:
            return unknown(Reason.ANSWER_INCOMPLETE, detail="the answer is too large")
        except (OSError, http.client.HTTPException) as error:
            return _refuse(connection, Reason.PEER_LOST, type(error).__name__)
        except ValueError as error:
            return _refuse(connection, Reason.BAD_REQUEST, str(error))

    def _open(self, address: DaemonAddress, deadline: float) -> Connection | Refusal:
        while (connection := self._take_idle(address)) is not None:
            if connection.is_quiet():
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

    def _take_idle(self, address: DaemonAddress) -> Connection | None:
        oldest = self._clock() - self._options.idle_connection_s
        with self._lock:
            idle = self._idle_by_address.get(address)
            connection = idle.pop() if idle else None
        if connection is not None and connection.idle_since < oldest:
            connection.close()
            return self._take_idle(address)
        return connection

    def _give_back(self, address: DaemonAddress, connection: Connection) -> None:
        connection.idle_since = self._clock()
        with self._lock:
            idle = self._idle_by_address.setdefault(address, deque())
            room = len(idle) < self._options.max_idle_connections
            kept = connection.reusable and room and not self._closed
            if kept:
                idle.append(connection)
        if not kept:
            connection.close()


def _refuse(connection: Connection, reason: Reason, detail: str) -> Refusal:
    if connection.wrote:
        return unknown(reason, detail=detail)
    return not_run(reason, detail=detail)
