"""Pattern: more callers connect than a daemon has descriptors for."""

import asyncio
import contextlib
import resource
import socket
import subprocess
import sys
import unittest
from collections.abc import AsyncIterator

import uvloop

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.core.descriptors import ConnectionLimits, divide_descriptors
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ADDRESS = PeerAddress("127.0.0.1", 0)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
TOO_LONG = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n"
WAIT_S = 20.0
DESCRIPTORS = 120
CALLERS = 200
CONNECT_S = 2.0
"""Seconds after which a caller that finds no room in the queue gives up."""


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _respond(_: ReceivedRequest) -> Response:
    return Response(200)


@contextlib.asynccontextmanager
async def _server(limits: ConnectionLimits) -> AsyncIterator[HttpServer]:
    server = HttpServer(ADDRESS, _respond, CallerLimits(), connection_limits=limits)
    async with server, asyncio.timeout(WAIT_S):
        yield server


async def _connect(server: HttpServer) -> Streams:
    return await asyncio.open_connection(server.address.host, server.address.port)


async def _exchange(streams: Streams) -> bytes:
    """Send a request and return the head of the response, empty if there is none."""
    reader, writer = streams
    writer.write(REQUEST)
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        return await reader.readuntil(b"\r\n\r\n")
    return b""


# Callers beyond the descriptors of a daemon were closed before they were read.
def test_callers_beyond_the_limit_are_refused_until_others_leave() -> None:
    """A refusal is a complete response that says when to come back."""

    async def run() -> None:
        async with _server(ConnectionLimits(served=2)) as server:
            kept = [await _connect(server) for _ in range(2)]
            assert b" 200 " in await _exchange(kept[0])
            refused = await _connect(server)
            head = await _exchange(refused)
            assert b" 503 " in head and b"Retry-After" in head, head
            assert not await refused[0].read()
            for _, writer in kept:
                writer.close()
            while server.connections:
                await asyncio.sleep(0.01)
            assert b" 200 " in await _exchange(await _connect(server))

    uvloop.run(run())


# Guards against 503 for all callers of a burst that exceeds the limit.
def test_callers_of_a_burst_are_served_up_to_the_limit() -> None:
    """They are accepted in one pass of the loop, and then connected."""

    async def run() -> None:
        async with _server(ConnectionLimits(served=4)) as server:
            address = (server.address.host, server.address.port)
            with contextlib.ExitStack() as stack:
                callers = [
                    stack.enter_context(socket.create_connection(address, WAIT_S))
                    for _ in range(12)
                ]
                for caller in callers:
                    caller.sendall(REQUEST)
                heads = [
                    await asyncio.to_thread(caller.recv, 4096) for caller in callers
                ]
            assert all(heads), heads
            assert sum(b" 200 " in head for head in heads) >= 4, heads

    uvloop.run(run())


# Guards against 503 for want of descriptors that others have given back by then.
def test_a_caller_beyond_the_limit_is_served_once_others_have_left() -> None:
    """What counts is how many connections there are as the request arrives."""

    async def run() -> None:
        async with _server(ConnectionLimits(served=2)) as server:
            kept = [await _connect(server) for _ in range(2)]
            for streams in kept:
                assert b" 200 " in await _exchange(streams)
            last = await _connect(server)
            while len(server.connections) < 3:
                await asyncio.sleep(0)
            for _, writer in kept:
                writer.close()
            while server.exceeds_connections:
                await asyncio.sleep(0)
            assert b" 200 " in await _exchange(last)

    uvloop.run(run())


# Guards against requests that the kernel drops: the queue of a pause was too short.
def test_callers_that_find_no_room_wait_in_the_queue() -> None:
    """They connect at once, and get an answer when others have left."""

    async def run() -> None:
        async with _server(ConnectionLimits(served=2, most=3)) as server:
            address = (server.address.host, server.address.port)
            kept = [await _connect(server) for _ in range(3)]
            while len(server.connections) < 3:
                await asyncio.sleep(0.01)
            with contextlib.ExitStack() as stack:
                callers = [
                    stack.enter_context(socket.create_connection(address, CONNECT_S))
                    for _ in range(30)
                ]
                for caller in callers:
                    caller.sendall(REQUEST)
                    caller.settimeout(WAIT_S)
                for _, writer in kept:
                    writer.close()
                heads = [
                    await asyncio.to_thread(caller.recv, 4096) for caller in callers
                ]
            assert all(heads), heads

    uvloop.run(run())


# No callers were accepted for as long as one that had its last response still sent.
def test_idle_connections_make_room_where_others_linger() -> None:
    """Those that linger hold descriptors, though they are not served any more."""

    async def run() -> None:
        limits = ConnectionLimits(served=2, most=3)
        async with _server(limits) as server, asyncio.timeout(CONNECT_S):
            lingering = await _connect(server)
            lingering[1].write(TOO_LONG)
            assert b" 413 " in await lingering[0].readuntil(b"\r\n\r\n")
            sending = asyncio.create_task(_send_on(lingering[1]))
            kept = [await _connect(server) for _ in range(2)]
            for streams in kept:
                assert b" 200 " in await _exchange(streams)
            assert b" 200 " in await _exchange(await _connect(server))
            assert not await kept[0][0].read()
            assert b" 200 " in await _exchange(kept[1])
            sending.cancel()

    uvloop.run(run())


async def _send_on(writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(b"a")
        await asyncio.sleep(0.1)


# Guards against a reset in place of 413: the rest of a rejected body was not read.
def test_a_refused_caller_that_still_sends_gets_its_answer() -> None:
    """Only a request that has been read completely is answered by a close."""

    async def run() -> None:
        async with _server(ConnectionLimits(served=0)) as server:
            reader, writer = await _connect(server)
            length = server.limits.max_body_bytes + 1
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\n")
            writer.write(b"Content-Length: %d\r\n\r\n" % length)
            while not any(connection.lingering for connection in server.connections):
                await asyncio.sleep(0.01)
                assert server.connections, "connection is closed"
            writer.write(bytes(length))
            assert b" 413 " in await reader.readuntil(b"\r\n\r\n")
            writer.close()

    uvloop.run(run())


def test_more_callers_than_descriptors_get_an_answer() -> None:
    """All connect and send at once while the server is busy with something else."""
    process = subprocess.Popen(
        [sys.executable, "-c", _SERVER],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        port = int(process.stdout.readline())
        heads = uvloop.run(_storm(port))
    finally:
        process.stdin.close()
        process.wait(WAIT_S)
        process.stdout.close()
    connected = [head for head in heads if head is not None]
    unanswered = sum(not head for head in connected)
    assert connected and not unanswered, f"{unanswered} of {len(connected)} unanswered"


_SERVER = f"""
import asyncio, sys, uvloop
from tests.adapters.http1.test_connection_limits import serve_few_descriptors
uvloop.run(serve_few_descriptors({DESCRIPTORS}))
"""


async def serve_few_descriptors(count: int) -> None:
    """Serve with so many descriptors until the standard input ends."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))
    async with _server(divide_descriptors(count)) as server:
        print(server.address.port, flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def _storm(port: int) -> list[bytes | None]:
    """Return what all callers got, None for those that could not connect."""

    async def call() -> bytes | None:
        try:
            async with asyncio.timeout(CONNECT_S):
                streams = await asyncio.open_connection(ADDRESS.host, port)
        except TimeoutError:
            return None
        head = await _exchange(streams)
        streams[1].close()
        return head

    return await asyncio.gather(*(call() for _ in range(CALLERS)))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
