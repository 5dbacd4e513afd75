"""Listening TCP sockets, and TCP options that detect an unresponsive peer."""

import asyncio
import contextlib
import logging
import select
import socket
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any, Final

from damaskbay.adapters.http1.const import (
    ACCEPT_RETRY_S,
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

ACCEPTS_IN_A_ROW: Final = 64
"""Connections that are accepted before the event loop does other work."""


class Listener:
    """
    Listening socket; `protocol_factory` creates the protocol of a connection.

    It accepts by itself, since uvloop closes a listening socket for good after an
    error, and libuv closes the callers for whom there is no descriptor: without
    descriptors or memory they wait in the queue. As it closes, `accepts_at_close`
    connections of the queue are accepted at most.

    Accepted connections inherit the keepalive of the listening socket, but no user
    timeout, which would end those of callers that read nothing for a while.
    """

    def __init__(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        accepts_at_close: int = MAX_BACKLOG,
    ) -> None:
        self._protocol_factory = protocol_factory
        self._accepts_at_close = accepts_at_close
        self._port = 0
        self._sock: socket.socket | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.is_paused = False
        self._is_accepting = False
        self._retry: asyncio.TimerHandle | None = None

    @property
    def is_connecting(self) -> bool:
        """Return whether accepted connections are not connected yet."""
        return bool(self._tasks)

    async def open(self, address: PeerAddress, *, wait_s: float = 0.0) -> PeerAddress:
        """
        Listen on an address and return it with its port.

        Raise OSError if that still fails after `wait_s` seconds: an earlier process may
        just be ending, the address or a descriptor be missing for a while.
        """
        began_at = log_at = monotonic_s()
        while True:
            try:
                return self._listen(address)
            except OSError as error:
                now = monotonic_s()
                if now - began_at >= wait_s:
                    raise
                if now >= log_at:
                    log_at = now + BIND_LOG_INTERVAL_S
                    extra = {
                        "address": str(address),
                        "why": str(error),
                        "waited_s": now - began_at,
                    }
                    _LOGGER.warning("edge: can't listen yet.", extra=extra)
            await asyncio.sleep(BIND_RETRY_S)

    def pause(self) -> None:
        """
        Accept no connections for a while; those in the queue wait.

        It may be called while a connection is accepted.
        """
        if self._sock is None or self.is_paused:
            return
        self.is_paused = True
        self._stop_accepting()

    def resume(self) -> None:
        """Accept connections again."""
        if self.is_paused and self._sock is not None:
            self.is_paused = False
            with contextlib.suppress(MemoryError):
                self._start_accepting()

    def ensure_accepting(self) -> None:
        """Accept again if there was memory neither for that nor for a timer."""
        if not self._is_accepting and self._retry is None:
            self._start_accepting()

    def close(self) -> None:
        """
        Accept the connections that wait in the queue, then stop listening.

        Their protocols are created at once, and connected by the next passes of the
        event loop.
        """
        sock = self._sock
        if sock is None:
            return
        self._stop_accepting()
        self._sock = None
        # The kernel resets connections that join the queue after the last look at it.
        accepted: list[socket.socket] = []
        try:
            for connection in _accept_waiting(sock, self._accepts_at_close):
                accepted.append(connection)
        except OSError as error:
            _LOGGER.warning("edge: can't accept.", extra={"why": str(error)})
        sock.close()
        extra = {"port": self._port, "accepted": len(accepted)}
        _LOGGER.info("edge: listener is closed.", extra=extra)
        for connection in accepted:
            self.adopt(connection)

    def adopt(self, sock: socket.socket) -> None:
        """Connect an accepted socket to a new protocol."""
        protocol = self._protocol_factory()
        loop = asyncio.get_running_loop()
        try:
            connecting = loop.connect_accepted_socket(lambda: protocol, sock)
            task = loop.create_task(connecting)
        except Exception as error:
            protocol.connection_lost(error)
            raise
        self._tasks.add(task)
        task.add_done_callback(partial(self._finish, protocol))

    def _listen(self, address: PeerAddress) -> PeerAddress:
        sock = _bind(address)
        try:
            sock.listen(MAX_BACKLOG)
            self._port = sock.getsockname()[1]
            self._sock = sock
            self._start_accepting()
        except BaseException:
            self._sock = None
            sock.close()
            raise
        return PeerAddress(address.host, self._port)

    def _start_accepting(self) -> None:
        self._retry = None
        if self._sock is None or self.is_paused:
            return
        try:
            asyncio.get_running_loop().add_reader(self._sock, self._accept_ready)
        except Exception as error:
            self._retry_later(error)
        else:
            self._is_accepting = True

    def _stop_accepting(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        elif self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
        self._is_accepting = False

    def _accept_ready(self) -> None:
        """Accept the connections that wait, so that other work gets its turn."""
        if self._sock is None:
            return
        try:
            for accepted in _accept_waiting(self._sock, ACCEPTS_IN_A_ROW):
                self.adopt(accepted)
                if self.is_paused:
                    break
        except Exception as error:
            # The queue stays readable, so that an immediate retry would not end.
            self._retry_later(error)

    def _retry_later(self, error: Exception) -> None:
        """Accept again after a while; raise MemoryError without one for a timer."""
        loop = asyncio.get_running_loop()
        retry = loop.call_later(ACCEPT_RETRY_S, self._start_accepting)
        self._stop_accepting()
        self._retry = retry
        extra = {"why": repr(error), "port": self._port}
        _LOGGER.warning("edge: can't accept for a while.", extra=extra)

    def _finish(self, protocol: asyncio.BaseProtocol, task: asyncio.Task[Any]) -> None:
        """Tell a protocol if it has not been connected."""
        self._tasks.discard(task)
        if task.cancelled() or (error := task.exception()) is None:
            return
        _LOGGER.warning("edge: connection is lost.", extra={"why": str(error)})
        if isinstance(error, Exception):
            protocol.connection_lost(error)


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
    """Yield the connections that wait to be accepted, `most` at most; raise OSError."""
    for _ in range(most):
        try:
            sock, _address = listening.accept()
        except BlockingIOError:
            return
        except ConnectionError:
            # The caller has left the queue.
            continue
        sock.setblocking(False)
        yield sock


def ready_descriptors(
    descriptors: Iterable[int], events: int = select.POLLIN
) -> set[int]:
    """
    Return the descriptors that are ready for `events`, without waiting.

    An error or the end of a connection counts, too.
    """
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, events)
    return {descriptor for descriptor, _ in poll.poll(0)}


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
