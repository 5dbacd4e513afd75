"""Options of TCP sockets that must notice a silent peer."""

import socket

from damaskbay.adapters.http1.const import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MS,
)


def watch_peer(sock: socket.socket) -> None:
    """Make the kernel notice a peer that went silent, and send without delay."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
