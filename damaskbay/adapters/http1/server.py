"""HTTP/1.1 server on asyncio."""

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Collection, Iterable
from types import TracebackType
from typing import Self

from damaskbay.adapters.http1.connection_server import PipelineLimits
from damaskbay.adapters.http1.const import (
    CLOSE_TIMEOUT_S,
    FLUSH_POLL_S,
    TIMEOUT_CHECK_INTERVAL_S,
)
from damaskbay.adapters.http1.exchange import (
    Handler,
    ReceivedRequest,
    RefuseEarly,
)
from damaskbay.adapters.http1.server_connection import ServerConnection
from damaskbay.adapters.http1.sockets import Listener, ready_descriptors
from damaskbay.config.objects import CallerLimits
from damaskbay.core.descriptors import ConnectionLimits
from damaskbay.core.memory_account import MemoryAccount
from damaskbay.helpers.arrivals import read_arrived, read_new_connections
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.supervision import keep_running
from damaskbay.ports.peer import PeerAddress

__all__ = ["Handler", "HttpServer", "ReceivedRequest"]

_LOGGER = logging.getLogger(__name__)


class HttpServer:
    """
    HTTP server on one address; an async context manager.

    New connections are not read for `accept_pause_s` seconds. `refuse_early` may refuse
    requests without the cost of the handler. While `draining` is set, it is not asked,
    and each connection closes after the response to the last request that was read.
    `memory` counts what the connections hold of requests and responses. Requests on
    connections beyond `connection_limits` are refused. Entering the context waits up to
    `bind_wait_s` seconds for an address that can't be used.
    Leaving it sets `ending`, which refuses the requests that are still read, interrupts
    those that still run, and waits up to `close_timeout_s` seconds until complete
    responses are sent.
    """

    def __init__(
        self,
        address: PeerAddress,
        handler: Handler,
        limits: CallerLimits,
        memory: MemoryAccount | None = None,
        connection_limits: ConnectionLimits | None = None,
    ) -> None:
        self.address = address
        self.handler = handler
        self.refuse_early: RefuseEarly | None = None
        self.accept_pause_s: Callable[[], float] = float
        self.limits = limits
        self.pipeline = PipelineLimits()
        self.memory = memory or MemoryAccount()
        self.connection_limits = connection_limits or ConnectionLimits()
        self.draining = False
        self.ending = False
        self.close_timeout_s = CLOSE_TIMEOUT_S
        self.bind_wait_s = 0.0
        self.connections: set[ServerConnection] = set()
        # Connections that have had their last response; part of them close at once.
        self._leaving: set[ServerConnection] = set()
        self._closing: set[ServerConnection] = set()
        self._listener = Listener(
            self._make_connection, self.connection_limits.accepts_at_close
        )
        self._timeout_task: asyncio.Task[None] | None = None
        self._closed = False

    async def __aenter__(self) -> Self:
        self.address = await self._listener.open(self.address, wait_s=self.bind_wait_s)
        self._timeout_task = asyncio.create_task(keep_running(self._check_timeouts))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close as on leaving the context, which then has nothing left to do."""
        if self._closed:
            return
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        self.ending = True
        self.stop_listening()
        self.end_pauses()
        try:
            await self.read_new_connections()
            self.close_idle()
            self.reject_incomplete()
            await self.read_new_connections()
            await self._interrupt()
            await self._flush()
        finally:
            self._close_connections()
        self._closed = True

    async def read_new_connections(self) -> None:
        """Return once the loop has read what came on connections accepted by now."""
        await read_new_connections(self._has_unread)

    @property
    def exceeds_connections(self) -> bool:
        """Return whether more connections are open than may be served."""
        return self.connections_left < 0

    @property
    def needs_room(self) -> bool:
        """
        Return whether idle connections have to make room for others.

        Those that linger keep their descriptors, for want of which none is accepted.
        """
        if not self._listener.is_paused:
            return self.exceeds_connections
        held = len(self.connections) - len(self._closing)
        return held > self.connection_limits.served

    def is_scarce(self, own_bytes: int) -> bool:
        """
        Return whether a caller that makes no progress has to make room for others.

        `own_bytes` is what its incomplete request holds.
        """
        return self.needs_room or self.memory.is_scarce_beside(own_bytes)

    @property
    def connections_left(self) -> int:
        """
        Return how many more connections may be served; negative beyond the limit.

        Those that are about to close don't count.
        """
        served = len(self.connections) - len(self._leaving)
        return self.connection_limits.served - served

    @property
    def in_flight(self) -> int:
        """Return the number of connections that aren't idle or have unread bytes."""
        now = monotonic_s()
        idle = [
            connection for connection in self.connections if connection.is_idle(now)
        ]
        return len(self.connections) - len(idle) + len(_with_unread_bytes(idle))

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of complete responses that the kernel has not taken yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    def end_pauses(self) -> None:
        """Read on from the callers that had come back too early."""
        for connection in self.connections:
            connection.reading.end_wait()

    def stop_listening(self) -> None:
        """Stop accepting connections, except those that wait; open ones continue."""
        self._listener.close()

    def connection_leaves(
        self, connection: ServerConnection, *, lingers: bool = False
    ) -> None:
        """Count a connection that is about to close as no longer served."""
        if connection not in self.connections:
            return
        self._leaving.add(connection)
        if not lingers:
            self._closing.add(connection)

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a connection that has ended, so that others can be accepted."""
        self.connections.discard(connection)
        self._leaving.discard(connection)
        self._closing.discard(connection)
        self.update_accepting()

    def update_accepting(self) -> None:
        """Accept connections if there are few enough, and memory for more."""
        if self.memory.is_short:
            self._listener.pause()
        elif len(self.connections) <= self.connection_limits.served:
            self._listener.resume()

    def reopen_if_unread(self, descriptor: int) -> None:
        """Go on with a connection that is about to be closed over unread bytes."""
        if not ready_descriptors([descriptor]):
            return
        _LOGGER.info("edge: connection is reopened.")
        try:
            sock = socket.socket(fileno=os.dup(descriptor))
            sock.setblocking(False)
            self._listener.adopt(sock)
        except (OSError, MemoryError) as error:
            _LOGGER.warning("edge: connection is lost.", extra={"why": repr(error)})

    def close_idle(self) -> None:
        """Close the connections without a request or response in flight."""
        now = monotonic_s()
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle(now) and not connection.lingering
        ]
        for connection in _without_unread_bytes(idle):
            connection.close_idle()

    def reject_incomplete(self) -> None:
        """Respond to requests that are still being read: they have not run."""
        incomplete = [
            connection for connection in self.connections if connection.is_incomplete
        ]
        for connection in _without_unread_bytes(incomplete):
            connection.reject_incomplete()

    def _make_connection(self) -> ServerConnection:
        connection = ServerConnection(self)
        self.connections.add(connection)
        if len(self.connections) >= self.connection_limits.most:
            _LOGGER.warning(
                "edge: no connections are accepted for a while.",
                extra={"connections": len(self.connections)},
            )
            self._listener.pause()
        return connection

    async def _interrupt(self) -> None:
        """End the requests that still run: a response is better than a close."""
        if not self._serving():
            return
        # A request that was read in this pass would end without a response.
        await read_arrived()
        serving = self._serving()
        if not serving:
            return
        extra = {"address": str(self.address), "connections": len(serving)}
        _LOGGER.warning("edge: requests are cut off by the close.", extra=extra)
        for connection in serving:
            connection.interrupt()
        await read_arrived()

    async def _flush(self) -> None:
        """Wait until all complete responses are sent; log what exceeds the timeout."""
        ends_at = monotonic_s() + self.close_timeout_s
        while self._is_pending():
            # The timer may fire late; the loop reads at least once before it does.
            is_over = monotonic_s() >= ends_at
            await asyncio.sleep(FLUSH_POLL_S)
            self.close_idle()
            self.reject_incomplete()
            if is_over:
                break
        if self.unsent_bytes:
            _LOGGER.warning(
                "edge: responses are cut off by the close.",
                extra={
                    "address": str(self.address),
                    "callers": self.in_flight,
                    "unsent_bytes": self.unsent_bytes,
                },
            )

    def _serving(self) -> list[ServerConnection]:
        """Return the connections with a request that has no response yet."""
        return [connection for connection in self.connections if connection.is_serving]

    def _has_unread(self) -> bool:
        """Return whether the loop has yet to connect, read or close a connection."""
        return bool(
            self._listener.is_connecting
            or self._closing
            or any(connection.has_unparsed for connection in self.connections)
            or _with_unread_bytes(self.connections)
        )

    def _is_pending(self) -> bool:
        """Return whether something is to be sent, or read and refused."""
        return bool(
            self.unsent_bytes
            or any(
                connection.lingering or connection.has_unparsed
                for connection in self.connections
            )
            or _with_unread_bytes(self.connections)
        )

    def _close_connections(self) -> None:
        """Close what is left; log what callers sent and nobody has read."""
        if unread := _with_unread_bytes(self.connections):
            _LOGGER.warning(
                "edge: connections are closed over unread bytes.",
                extra={"address": str(self.address), "connections": len(unread)},
            )
        for connection in tuple(self.connections):
            connection.close()

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self._listener.ensure_accepting()
            now = monotonic_s()
            # Beyond the limit, the connections that were idle for longest leave.
            for connection in sorted(self.connections, key=_last_active_at):
                connection.close_if_timed_out(now)


def _last_active_at(connection: ServerConnection) -> float:
    return connection.last_active_at


def _with_unread_bytes(
    connections: Iterable[ServerConnection],
) -> set[ServerConnection]:
    """Return the connections from which the event loop has yet to read something."""
    by_descriptor = {
        descriptor: connection
        for connection in connections
        if (descriptor := connection.descriptor) is not None
    }
    return {by_descriptor[ready] for ready in ready_descriptors(by_descriptor)}


def _without_unread_bytes(
    connections: Collection[ServerConnection],
) -> set[ServerConnection]:
    """Return the connections from which everything is read; log the others."""
    unread = _with_unread_bytes(connections)
    if unread:
        extra = {"connections": len(unread)}
        _LOGGER.info("edge: connections have unread bytes.", extra=extra)
    return set(connections) - unread
