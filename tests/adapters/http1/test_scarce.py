"""Pattern: callers stop half-way while memory or connections are scarce."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator
from unittest.mock import Mock

from damaskbay.adapters.http1.const import SCARCE_TIMEOUT_S
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.adapters.http1.writing import WritingControl
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.core.descriptors import ConnectionLimits
from damaskbay.core.memory_account import MemoryAccount
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

WAIT_S = 10.0
LATER_S = SCARCE_TIMEOUT_S + 0.5
MEMORY_BYTES = 1024 * 1024
BODY = b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + bytes(99)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def _serve(_: ReceivedRequest) -> Response:
    return Response(200, (), bytes(2000))


@contextlib.asynccontextmanager
async def _caller(
    data: bytes, *, held_bytes: int, served: int = 9
) -> AsyncIterator[tuple[HttpServer, socket.socket]]:
    """Yield a server and a caller that has sent some bytes, which were read."""
    memory = MemoryAccount(MEMORY_BYTES)
    limits = ConnectionLimits(served, served + 1)
    address = PeerAddress("127.0.0.1", 0)
    server = HttpServer(address, _serve, CallerLimits(), memory, limits)
    async with server, asyncio.timeout(WAIT_S):
        with socket.create_connection((server.address.host, server.address.port)) as s:
            s.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(s, data)
            await asyncio.sleep(0.05)
            memory.held_bytes += held_bytes
            yield server, s


def _check_timeouts(server: HttpServer, later_s: float = LATER_S) -> None:
    now = monotonic_s() + later_s
    for connection in sorted(server.connections, key=lambda c: c.last_active_at):
        connection.close_if_timed_out(now)


async def _received(caller: socket.socket) -> bytes:
    """Return a response that comes before any timeout of the server itself."""
    async with asyncio.timeout(1.0):
        return await asyncio.get_running_loop().sock_recv(caller, 100)


def test_a_request_that_stops_half_way_makes_room() -> None:
    """Guards against callers that keep memory which others need."""

    async def check(data: bytes) -> None:
        async with _caller(data, held_bytes=MEMORY_BYTES * 3 // 4) as (server, caller):
            _check_timeouts(server)
            assert (await _received(caller)).startswith(b"HTTP/1.1 408")
            assert server.memory.held_bytes == MEMORY_BYTES * 3 // 4

    for data in (BODY, REQUEST[:-2]):
        asyncio.run(check(data))


def test_a_slow_request_is_waited_for_while_there_is_room() -> None:
    """Guards against timeouts that a caller within the limits meets."""

    async def check() -> None:
        async with _caller(BODY, held_bytes=0) as (server, caller):
            _check_timeouts(server)
            await asyncio.get_running_loop().sock_sendall(caller, b"x")
            assert (await _received(caller)).startswith(b"HTTP/1.1 200")

    asyncio.run(check())


def test_a_large_body_that_is_alone_is_waited_for() -> None:
    """Guards against a request within the limits that makes itself memory scarce."""
    body = BODY.replace(b"100", b"%d" % (MEMORY_BYTES * 2 // 5), 1)
    body += bytes(MEMORY_BYTES * 2 // 5 - 100)

    async def check() -> None:
        async with _caller(body, held_bytes=0) as (server, caller):
            while server.memory.held_bytes < MEMORY_BYTES * 3 // 5:
                await asyncio.sleep(0.01)
            assert server.memory.is_scarce
            _check_timeouts(server)
            await asyncio.get_running_loop().sock_sendall(caller, b"x")
            assert (await _received(caller)).startswith(b"HTTP/1.1 200")

    asyncio.run(check())


def test_a_body_that_trickles_makes_room() -> None:
    """Guards against a caller that sends a byte now and then."""

    async def check() -> None:
        async with _caller(BODY[:-9], held_bytes=MEMORY_BYTES * 3 // 4) as (
            server,
            caller,
        ):
            # Time passes for the request; its last byte comes just before the check.
            (connection,) = server.connections
            connection._parser.started_at -= LATER_S
            await asyncio.get_running_loop().sock_sendall(caller, b"x")
            await asyncio.sleep(0.05)
            _check_timeouts(server, 0.0)
            assert (await _received(caller)).startswith(b"HTTP/1.1 408")

    asyncio.run(check())


def test_a_connection_beyond_the_limit_makes_room() -> None:
    """Guards against unfinished heads that occupy all connections."""

    async def check() -> None:
        async with _caller(REQUEST[:-2], held_bytes=0, served=1) as (server, caller):
            address = server.address.host, server.address.port
            with socket.create_connection(address) as other:
                other.send(REQUEST[:-2])
                await asyncio.sleep(0.05)
                _check_timeouts(server)
            assert (await _received(caller)).startswith(b"HTTP/1.1 408")

    asyncio.run(check())


def test_a_short_response_that_nobody_reads_is_stalled() -> None:
    """Guards against a connection that is kept for less than a full write buffer."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while ours.send(bytes(4096)):
                pass
        writing, now = WritingControl(MemoryAccount()), monotonic_s()
        transport = Mock(
            get_write_buffer_size=lambda: 100,
            get_extra_info=lambda _: ours,
            is_closing=lambda: False,
        )
        writing.start(transport)
        writing.write(bytes(100))
        assert not writing.is_stalled(now + 1.0, 15.0)
        assert writing.is_stalled(now + 17.0, 15.0)
        assert theirs.recv(1024 * 1024)
        assert not writing.is_stalled(now + 18.0, 15.0)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
