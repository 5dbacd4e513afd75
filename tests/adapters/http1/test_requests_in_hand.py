"""
Pattern: a connection pauses, closes or ends while a request on it has no answer yet.

Requests in parts, callers that read slowly or close their side, and the limits of a
server that change or are reached.
"""

import asyncio
import contextlib
import resource
import socket
import subprocess
import sys
import unittest
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any
from unittest.mock import Mock, patch

import uvloop

from damaskbay.adapters.http1.connection_server import PipelineLimits
from damaskbay.adapters.http1.const import MAX_BODY_PARTS
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.adapters.http1.server_connection import ServerConnection
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.core.descriptors import ConnectionLimits
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ADDRESS = PeerAddress("127.0.0.1", 0)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
EXPECTING = (
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LARGE = bytes(8 * 1024 * 1024)
CALLERS = 5
WAIT_S = 20.0
EXHAUSTED_S = 0.5


class _Service:
    """Responds with `body` once `released` is set."""

    def __init__(self, body: bytes = b"") -> None:
        self.body = body
        self.released = asyncio.Event()
        self.released.set()
        self.started = 0

    async def serve(self, _: ReceivedRequest) -> Response:
        """Serve one request."""
        self.started += 1
        await self.released.wait()
        return Response(200, (), self.body)

    async def until_started(self, count: int) -> None:
        """Wait until so many requests have started."""
        while self.started < count:
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def _server(
    service: _Service, connection_limits: ConnectionLimits | None = None
) -> AsyncIterator[HttpServer]:
    server = HttpServer(
        ADDRESS, service.serve, CallerLimits(), connection_limits=connection_limits
    )
    async with asyncio.timeout(WAIT_S), server:
        yield server


def _run(check: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(check())
    asyncio.run(check())


async def _connect(server: HttpServer) -> socket.socket:
    address = (server.address.host, server.address.port)
    caller = await asyncio.to_thread(socket.create_connection, address, WAIT_S)
    caller.settimeout(WAIT_S)
    return caller


async def _receive(caller: socket.socket, end: bytes | None = b"\r\n\r\n") -> bytes:
    """Return what comes up to `end`, or up to the end of the connection if None."""

    def receive() -> bytes:
        received = bytearray()
        try:
            while end is None or not received.endswith(end):
                data = caller.recv(1024 * 1024)
                if not data:
                    break
                received += data
        except OSError as error:
            received += f"<{error}>".encode()
        return bytes(received)

    return await asyncio.to_thread(receive)


async def _kept(server: HttpServer) -> socket.socket:
    """Return a connection that has had a response."""
    caller = await _connect(server)
    caller.sendall(REQUEST)
    received = await _receive(caller)
    assert received.startswith(b"HTTP/1.1 200 "), received
    return caller


async def _until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.005)


# Guards against a body that its caller never sends, as it waits for 100 Continue.
def test_a_body_behind_another_request_is_asked_for() -> None:
    """The interim response follows the response to the request before."""

    async def check() -> None:
        service = _Service()
        async with _server(service) as server:
            service.released.clear()
            caller = await _connect(server)
            caller.sendall(REQUEST + EXPECTING)
            await service.until_started(1)
            service.released.set()
            received = await _receive(caller, CONTINUE)
            assert received.startswith(b"HTTP/1.1 200 "), received
            assert received.endswith(CONTINUE), received
            caller.sendall(b"body")
            received = await _receive(caller)
            assert received.startswith(b"HTTP/1.1 200 "), received
            caller.close()

    _run(check)


# Guards against LOST: requests that ran as a server ended were closed unanswered.
def test_requests_that_run_as_the_server_ends_are_answered() -> None:
    """Nothing is promised: they may have run."""

    async def check() -> None:
        service = _Service()
        async with _server(service) as server:
            service.released.clear()
            caller = await _connect(server)
            caller.sendall(REQUEST + REQUEST)
            await service.until_started(2)
        received = await _receive(caller, None)
        assert received.count(b"HTTP/1.1 502 ") == 2, received
        caller.close()

    _run(check)


# Guards against LOST: responses that are ready as a caller closes its side.
def test_responses_that_are_ready_reach_a_caller_that_sends_no_more() -> None:
    """The caller reads slowly, so that all but the first wait for it."""

    async def check() -> None:
        service = _Service(LARGE)
        async with _server(service) as server:
            # Reading goes on, so that the end of the caller's side is seen.
            server.pipeline = PipelineLimits(unread_bytes=4 * len(LARGE))
            caller = await _connect(server)
            caller.sendall(2 * REQUEST)
            await _until(lambda: server.unsent_bytes > len(LARGE))
            caller.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.05)
            received = await _receive(caller, None)
            assert received.count(b"HTTP/1.1 200 ") == 2, len(received)
            assert len(received) > 2 * len(LARGE), len(received)
            caller.close()

    _run(check)


# Guards against a shorter idle timeout that callers can't know of yet.
def test_a_kept_connection_outlives_a_shorter_idle_timeout() -> None:
    """Callers go by the limit that was in force as they had their last response."""

    async def check() -> None:
        async with _server(_Service()) as server:
            caller = await _kept(server)
            later = monotonic_s() + server.limits.idle_timeout_s / 2.0
            server.limits = CallerLimits(idle_timeout_s=0.1)
            for connection in tuple(server.connections):
                connection.close_if_timed_out(later)
            await asyncio.sleep(0.05)
            caller.sendall(REQUEST)
            assert b" 200 " in await _receive(caller)
            caller.close()

    _run(check)


# Guards against a caller beyond the limit for whom all others lose their connection.
def test_one_connection_beyond_the_limit_closes_one_idle_connection() -> None:
    """The one that was idle for longest; its place is given to the new caller."""

    async def check() -> None:
        limits = ConnectionLimits(served=CALLERS)
        async with _server(_Service(), limits) as server:
            kept = [await _kept(server) for _ in range(CALLERS)]
            last = await _connect(server)
            await _until(lambda: len(server.connections) > CALLERS)
            while server.exceeds_connections:
                await asyncio.sleep(0.01)
            assert await _receive(kept[0]) == b""
            for caller in (*kept[1:], last):
                caller.sendall(REQUEST)
                assert b" 200 " in await _receive(caller)
                caller.close()

    _run(check)


def _find_no_memory(_: socket.socket) -> None:
    raise MemoryError


# A connection that could not be reopened counted as open for ever.
def test_a_connection_that_can_not_be_reopened_is_removed() -> None:
    """There is no memory for its new transport."""

    async def check() -> None:
        async with _server(_Service()) as server:
            caller = await _kept(server)
            with patch.object(server._listener, "adopt", _find_no_memory):
                server.close_idle()
                caller.sendall(REQUEST)
                await _until(lambda: not server.connections)
            # A reset tells the caller that its request was not read.
            assert b"HTTP" not in await _receive(caller)
            caller.close()

    _run(check)


# Guards against a body of tiny chunks that keeps all other callers waiting.
def test_a_body_of_many_parts_is_read_in_several_passes() -> None:
    """Reading pauses until the event loop has served others."""

    async def check() -> None:
        transport = Mock(spec=asyncio.Transport)
        transport.get_write_buffer_size.return_value = 0
        transport.is_closing.return_value = False
        server = HttpServer(ADDRESS, _Service().serve, CallerLimits())
        connection = ServerConnection(server)
        connection.connection_made(transport)
        connection.data_received(
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        transport.pause_reading.assert_not_called()
        connection.data_received((MAX_BODY_PARTS + 1) * b"1\r\na\r\n")
        transport.pause_reading.assert_called_once_with()
        transport.resume_reading.assert_not_called()
        await asyncio.sleep(0.01)
        transport.resume_reading.assert_called_once_with()
        connection.connection_lost(None)

    _run(check)


# Guards against LOST: libuv closes what it can't accept for want of descriptors.
def test_callers_wait_while_a_server_has_no_descriptors() -> None:
    """They are served as soon as there are some."""
    process = subprocess.Popen(
        [sys.executable, "-c", _SERVER],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        port = int(process.stdout.readline())
        callers = []
        for _ in range(CALLERS):
            callers.append(socket.create_connection((ADDRESS.host, port), WAIT_S))
            callers[-1].sendall(REQUEST)
        heads = [caller.recv(4096) for caller in callers]
    finally:
        process.stdin.close()
        process.wait(WAIT_S)
        process.stdout.close()
    assert all(b" 200 " in head for head in heads), heads
    for caller in callers:
        caller.close()


_SERVER = """
import uvloop
from tests.adapters.http1.test_requests_in_hand import serve_without_descriptors
uvloop.run(serve_without_descriptors())
"""


async def serve_without_descriptors() -> None:
    """Serve until the standard input ends, for EXHAUSTED_S without descriptors."""
    async with _server(_Service()) as server:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, int)
        with contextlib.ExitStack() as stack:
            limit = 64
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
            with contextlib.suppress(OSError):
                while True:
                    stack.enter_context(socket.socket())
            print(server.address.port, flush=True)
            await asyncio.sleep(EXHAUSTED_S)
        await loop.run_in_executor(None, sys.stdin.read)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
