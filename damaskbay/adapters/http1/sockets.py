"""Listening TCP sockets, and TCP options that detect an unresponsive peer."""

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from damaskbay.adapters.http1.const import (
    BIND_RETRY_S,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PROBES,
    LISTEN_BACKLOG,
    USER_TIMEOUT_MS,
)
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)


async def listen(
    address: PeerAddress,
    protocol_factory: Callable[[], asyncio.BaseProtocol],
    *,
    wait_s: float = 0.0,
) -> asyncio.Server:
    """
    Listen on an address; `protocol_factory` creates the protocol of a connection.

    Accepted connections inherit the keepalive of the listening socket, but no user
    timeout, which would end those of callers that read nothing for a while. Raise
    OSError if the address is still in use after `wait_s` seconds: an earlier process
    may just be ending.
    """
    ends_at = monotonic_s() + wait_s
    is_first = True
    while True:
        try:
            return await _listen(address, protocol_factory)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or monotonic_s() >= ends_at:
                raise
            if is_first:
                extra = {"address": str(address), "wait_s": wait_s}
                _LOGGER.warning("edge: address is in use.", extra=extra)
            is_first = False
        await asyncio.sleep(BIND_RETRY_S)


async def _listen(
    address: PeerAddress, protocol_factory: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        set_keepalive(sock)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        return await asyncio.get_running_loop().create_server(
            protocol_factory, sock=sock, backlog=LISTEN_BACKLOG
        )
    except BaseException:
        sock.close()
        raise


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
