"""
Pattern: connections that close while a caller still reads, or is about to send.

A complete response that was passed to the transport isn't delivered yet.
"""

import asyncio
import socket
import threading
import time
import unittest

import uvloop

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ADDRESS = PeerAddress("127.0.0.1", 0)
BODY = bytes(16 * 1024 * 1024)
"""Exceeds what the socket buffers of a loopback connection hold."""

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
RECEIVE_BUFFER_BYTES = 16 * 1024
WAIT_S = 20.0


async def _large_response(_: ReceivedRequest) -> Response:
    return Response(200, (), BODY)


def _connect(server: HttpServer) -> socket.socket:
    """Return a blocking connection with a small receive buffer."""
    caller = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    caller.settimeout(WAIT_S)
    caller.connect((server.address.host, server.address.port))
    return caller


class _SlowCaller:
    """Starts to read after a pause, in a thread that outlives the server's loop."""

    def __init__(self, caller: socket.socket, pause_s: float) -> None:
        self._caller = caller
        self._pause_s = pause_s
        self._thread = threading.Thread(target=self._read)
        self._received: list[bytes] = []
        self._thread.start()

    def received(self) -> bytes:
        """Return all bytes up to the end of the connection."""
        self._thread.join()
        return b"".join(self._received)

    def _read(self) -> None:
        time.sleep(self._pause_s)
        with self._caller:
            try:
                while data := self._caller.recv(1024 * 1024):
                    self._received.append(data)
            except OSError as error:
                self._received.append(f"<{error}>".encode())


async def _until_sending(server: HttpServer) -> None:
    """Wait until the response is complete and its first bytes are written."""
    async with asyncio.timeout(WAIT_S):
        while not any(
            connection._transport is not None
            and connection._transport.get_write_buffer_size()
            for connection in server.connections
        ):
            await asyncio.sleep(0.01)


def test_a_response_that_is_still_being_sent_is_in_flight() -> None:
    """Guards against a graceful stop that ends while a caller reads its response."""

    async def run() -> None:
        server = HttpServer(ADDRESS, _large_response, CallerLimits())
        async with server:
            for headers in (b"", b"Connection: close\r\n"):
                caller = _connect(server)
                caller.sendall(REQUEST[:-2] + headers + b"\r\n")
                await _until_sending(server)
                server.close_idle()
                assert server.in_flight == 1
                slow = _SlowCaller(caller, 0.0)
                async with asyncio.timeout(WAIT_S):
                    while server.in_flight:
                        await asyncio.sleep(0.01)
                    server.close_idle()
                    body = await asyncio.to_thread(slow.received)
                assert body.endswith(BODY)

    uvloop.run(run())


def test_leaving_the_server_delivers_what_was_written() -> None:
    """Guards against a response that is truncated by the end of the process."""
    for headers in (b"", b"Connection: close\r\n"):

        async def run(headers: bytes = headers) -> _SlowCaller:
            async with HttpServer(ADDRESS, _large_response, CallerLimits()) as server:
                server.close_timeout_s = WAIT_S
                caller = _connect(server)
                caller.sendall(REQUEST[:-2] + headers + b"\r\n")
                await _until_sending(server)
                return _SlowCaller(caller, 0.2)

        received = uvloop.run(run()).received()
        assert received.endswith(BODY), f"{len(received)} bytes"


def test_leaving_the_server_is_bounded_and_logs_what_it_cuts() -> None:
    """A caller that never reads delays the close by the timeout alone."""

    async def run() -> None:
        server = HttpServer(ADDRESS, _large_response, CallerLimits())
        async with asyncio.timeout(WAIT_S):
            async with server:
                server.close_timeout_s = 0.1
                caller = _connect(server)
                caller.sendall(REQUEST)
                await _until_sending(server)
        caller.close()

    logger = "damaskbay.adapters.http1.server"
    with unittest.TestCase().assertLogs(logger, "WARNING") as logs:
        uvloop.run(run())
    assert "cut off by the close" in logs.output[0]


async def _small_response(_: ReceivedRequest) -> Response:
    return Response(200, (), b"a")


def test_a_new_connection_may_send_its_first_request_while_draining() -> None:
    """Guards against a first request that crosses the close of its connection."""

    async def run() -> None:
        async with HttpServer(ADDRESS, _small_response, CallerLimits()) as server:
            server.draining = True
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            async with asyncio.timeout(WAIT_S):
                while not server.connections:
                    await asyncio.sleep(0)
                server.close_idle()
                await asyncio.sleep(0.02)
                assert server.in_flight == 1
                writer.write(REQUEST)
                assert b"Connection: close" in await reader.readuntil(b"\r\n\r\n")
                assert await reader.read() == b"a"
            writer.close()

    uvloop.run(run())


def test_a_new_connection_without_a_request_is_closed_while_draining() -> None:
    """A caller that connects and sends nothing does not delay the close for long."""

    async def run() -> None:
        async with HttpServer(ADDRESS, _small_response, CallerLimits()) as server:
            server.draining = True
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            async with asyncio.timeout(WAIT_S):
                while server.connections or not reader.at_eof():
                    server.close_idle()
                    await asyncio.sleep(0.02)
            assert not server.in_flight
            writer.close()

    uvloop.run(run())


def test_leaving_the_server_closes_new_connections() -> None:
    """A connection without a request ends with its server."""

    async def run() -> None:
        async with HttpServer(ADDRESS, _small_response, CallerLimits()) as server:
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            while not server.connections:
                await asyncio.sleep(0)
        async with asyncio.timeout(WAIT_S):
            assert await reader.read() == b""
        assert not server.connections
        writer.close()

    uvloop.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
