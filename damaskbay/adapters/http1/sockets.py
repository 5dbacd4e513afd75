"""TCP sockets that listen, and options of those that must notice a silent peer."""

import asyncio
import socket
from collections.abc import Callable

from damaskbay.adapters.http1.const import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PROBES,
    LISTEN_BACKLOG,
    USER_TIMEOUT_MS,
)
from damaskbay.ports.peer import PeerAddress


async def listen(
    address: PeerAddress, make: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """
    Listen on an address; `make` returns the protocol of a new connection.

    Connections that are accepted inherit how their peers are watched.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        watch_peer(sock)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        return await asyncio.get_running_loop().create_server(
            make, sock=sock, backlog=LISTEN_BACKLOG
        )
    except BaseException:
        sock.close()
        raise


def watch_peer(sock: socket.socket) -> None:
    """Make the kernel notice a peer that went silent, and send without delay."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
