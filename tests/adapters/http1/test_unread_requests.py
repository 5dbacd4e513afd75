"""
Pattern: a request waits in the kernel when the clock says that its connection ends.

The event loop does not turn between what a caller does and the step under test, as if
it had been blocked meanwhile.
"""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from unittest.mock import patch

import uvloop

from damaskbay.adapters.http1 import server_connection
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.helpers.arrivals import NEW_CONNECTION_PASSES, read_new_connections
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ADDRESS = PeerAddress("127.0.0.1", 0)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BEGINNING = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1"
REST = b"2"
CALLERS = 5
WAIT_S = 20.0
LONG_S = 1000.0
"""Longer than any timeout of a connection, seconds."""


async def _respond(_: ReceivedRequest) -> Response:
    return Response(200)


@contextlib.asynccontextmanager
async def _server() -> AsyncIterator[HttpServer]:
    server = HttpServer(ADDRESS, _respond, CallerLimits())
    async with asyncio.timeout(WAIT_S), server:
        yield server


def _run(check: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await check()

    uvloop.run(run())
    asyncio.run(run())


def _connect(server: HttpServer) -> socket.socket:
    caller = socket.create_connection((server.address.host, server.address.port))
    caller.settimeout(WAIT_S)
    return caller


def _receive(caller: socket.socket) -> bytes:
    """Return the head of the response, or what a caller gets in place of it."""
    received = b""
    try:
        while b"\r\n\r\n" not in received and (data := caller.recv(4096)):
            received += data
    except OSError as error:
        received += f"<{error}>".encode()
    return received


async def _check_status(status: int, *callers: socket.socket) -> None:
    for caller in callers:
        received = await asyncio.to_thread(_receive, caller)
        assert f" {status} ".encode() in received, received
        assert status != 503 or b"Retry-After" in received, received
        caller.close()


async def _accepted(server: HttpServer) -> socket.socket:
    """Return a connection that the server has accepted."""
    caller = _connect(server)
    while not any(connection._transport for connection in server.connections):
        await asyncio.sleep(0.01)
    return caller


async def _kept(server: HttpServer) -> socket.socket:
    """Return a connection that has had a response."""
    caller = await _accepted(server)
    caller.sendall(REQUEST)
    assert b" 200 " in await asyncio.to_thread(_receive, caller)
    return caller


async def _begun(server: HttpServer) -> socket.socket:
    """Return a connection of which a part of a request is read."""
    caller = await _accepted(server)
    caller.sendall(BEGINNING)
    while not any(connection._parser.in_request for connection in server.connections):
        await asyncio.sleep(0.01)
    return caller


def _close_timed_out(server: HttpServer) -> None:
    for connection in tuple(server.connections):
        connection.close_if_timed_out(monotonic_s() + LONG_S)


# Guards against LOST: the listener closed over the connections in its accept queue.
def test_connections_that_wait_to_be_accepted_are_served_after_the_close() -> None:
    """They count as in flight until their requests are read."""

    async def check() -> None:
        async with _server() as server:
            callers = [_connect(server) for _ in range(CALLERS)]
            for caller in callers:
                caller.sendall(REQUEST)
            server.stop_listening()
            assert server.in_flight == CALLERS
            await _check_status(200, *callers)
            with contextlib.suppress(ConnectionRefusedError):
                _connect(server).close()
                raise AssertionError("the listener is open")

    with unittest.TestCase().assertLogs(level="INFO") as logs:
        _run(check)
    counts = [getattr(record, "accepted", None) for record in logs.records]
    assert CALLERS in counts, counts


# Guards against connections that wait for as many passes of a slow event loop.
def test_connections_that_wait_are_accepted_together() -> None:
    """Their number does not add to the passes until the last one is accepted."""

    async def check() -> None:
        async with _server() as server:
            callers = [_connect(server) for _ in range(CALLERS * NEW_CONNECTION_PASSES)]
            await read_new_connections()
            assert len(server.connections) == len(callers)
            for caller in callers:
                caller.sendall(REQUEST)
            await _check_status(200, *callers)

    _run(check)


# Guards against LOST: a connection closed as idle over a request in the kernel.
def test_a_connection_with_an_unread_request_is_not_idle() -> None:
    """It is served, whether it is its first request or a later one."""

    async def check() -> None:
        for connect in (_accepted, _kept):
            for close in (HttpServer.close_idle, _close_timed_out):
                async with _server() as server:
                    caller = await connect(server)
                    caller.sendall(REQUEST)
                    close(server)
                    assert server.in_flight == 1
                    await _check_status(200, caller)

    with patch.object(server_connection, "FIRST_REQUEST_WAIT_S", 0.0):
        _run(check)


# Guards against LOST: the transport of an idle connection closes its socket later on.
def test_a_request_that_arrives_before_the_socket_is_closed_is_served() -> None:
    """The decision to close the connection is older than the request."""

    async def check() -> None:
        for connect in (_accepted, _kept):
            for close in (HttpServer.close_idle, _close_timed_out):
                async with _server() as server:
                    caller = await connect(server)
                    close(server)
                    caller.sendall(REQUEST)
                    await _check_status(200, caller)

    with patch.object(server_connection, "FIRST_REQUEST_WAIT_S", 0.0):
        _run(check)


# Guards against 408 for a request that has arrived.
def test_a_request_whose_rest_is_unread_is_not_rejected() -> None:
    """Neither as the server ends nor by the time limit of slow callers."""

    async def check() -> None:
        for reject in (HttpServer.reject_incomplete, _close_timed_out):
            async with _server() as server:
                caller = await _begun(server)
                caller.sendall(REST)
                reject(server)
                await _check_status(200, caller)

    _run(check)


# Guards against LOST: the end of the server closed what it had not read.
def test_leaving_the_server_refuses_what_has_arrived() -> None:
    """The refusal says when to come back."""

    async def check() -> None:
        async with _server() as server:
            callers = [await _kept(server), await _begun(server)]
            callers += [_connect(server) for _ in range(CALLERS)]
            callers[0].sendall(REQUEST)
            callers[1].sendall(REST)
            for caller in callers[2:]:
                caller.sendall(REQUEST)
        await _check_status(503, *callers)

    _run(check)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
