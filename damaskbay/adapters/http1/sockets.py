"""Listening TCP sockets, and TCP options that detect an unresponsive peer."""

import asyncio
import errno
import logging
import socket
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from damaskbay.adapters.http1.const import (
    BIND_LOG_INTERVAL_S,
    BIND_RETRY_S,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MS,
)
from damaskbay.core.descriptors import MAX_BACKLOG
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)


class Listener:
    """
    Listening socket; `protocol_factory` creates the protocol of a connection.

    Accepted connections inherit the keepalive of the listening socket, but no user
    timeout, which would end those of callers that read nothing for a while.
    """

    def __init__(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        backlog: int = MAX_BACKLOG,
    ) -> None:
        self._protocol_factory = protocol_factory
        self._backlog = backlog
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_paused = False

    async def open(self, address: PeerAddress, *, wait_s: float = 0.0) -> PeerAddress:
        """
        Listen on an address and return it with its port.

        Raise OSError if it is still in use after `wait_s` seconds: an earlier process
        may just be ending.
        """
        began_at = log_at = monotonic_s()
        while True:
            try:
                return await self._listen(address)
            except OSError as error:
                now = monotonic_s()
                if error.errno != errno.EADDRINUSE or now - began_at >= wait_s:
                    raise
                if now >= log_at:
                    log_at = now + BIND_LOG_INTERVAL_S
                    extra = {"address": str(address), "waited_s": now - began_at}
                    _LOGGER.warning("edge: address is in use.", extra=extra)
            await asyncio.sleep(BIND_RETRY_S)

    @property
    def connecting(self) -> int:
        """Return the number of accepted connections that have no protocol yet."""
        return len(self._tasks)

    def pause(self) -> None:
        """
        Accept no connections for a while, except those that wait in the queue.

        It may be called while a connection is accepted.
        """
        if self._sock is None or self._server is None or self._is_paused:
            return
        self._is_paused = True
        # Without it, new connections join the queue as fast as others are accepted.
        self._sock.listen(0)
        asyncio.get_running_loop().call_soon(self._stop_accepting)

    def resume(self) -> None:
        """Accept connections again."""
        if self._is_paused and self._sock is not None:
            self._is_paused = False
            if self._server is None:
                self._start(self._accept())
            else:
                self._sock.listen(self._backlog)

    def close(self) -> None:
        """Accept the connections that wait in the queue, then stop listening."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        loop = asyncio.get_running_loop()
        for accepted in _accept_waiting(sock, self._backlog + 1):
            self._start(loop.connect_accepted_socket(self._protocol_factory, accepted))
        if self._server is not None:
            self._server.close()
        sock.close()

    def _stop_accepting(self) -> None:
        if self._sock is None or self._server is None or not self._is_paused:
            return
        # The queue lives as long as one descriptor of the listening socket.
        self._sock = self._sock.dup()
        self._server.close()
        self._server = None

    async def _listen(self, address: PeerAddress) -> PeerAddress:
        self._sock = _bind(address)
        try:
            await self._accept()
        except BaseException:
            self._sock.close()
            self._sock = None
            raise
        return PeerAddress(address.host, self._sock.getsockname()[1])

    async def _accept(self) -> None:
        if self._sock is not None:
            self._server = await asyncio.get_running_loop().create_server(
                self._protocol_factory, sock=self._sock, backlog=self._backlog
            )

    def _start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _LOGGER.warning("edge: connection is lost.", extra={"why": str(error)})


def _bind(address: PeerAddress) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        set_keepalive(sock)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return sock


def _accept_waiting(listening: socket.socket, most: int) -> Iterator[socket.socket]:
    """Yield the connections that wait to be accepted, `most` at most."""
    for _ in range(most):
        try:
            sock, _address = listening.accept()
        except BlockingIOError:
            return
        except OSError as error:
            _LOGGER.warning("edge: can't accept.", extra={"why": str(error)})
            return
        sock.setblocking(False)
        yield sock


def set_tcp_options(sock: socket.socket) -> None:
    """
    Set the options of a connection to a server or a peer.

    Data that is not acknowledged, or finds the receive window closed, for
    USER_TIMEOUT_MS ends the connection.
    """
    set_keepalive(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def set_keepalive(sock: socket.socket) -> None:
    """Enable keepalive, and disable Nagle's algorithm."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
