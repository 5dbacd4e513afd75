"""
Pattern: callers that request large responses and read them slowly, or not at all.

What the daemon holds for them is bounded and counted, and the count returns to 0.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest.mock import patch

from damaskbay.adapters.http1.const import (
    MAX_PIPELINED_REQUESTS,
    MAX_UNREAD_BYTES,
    USER_TIMEOUT_MS,
)
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.core.memory_account import MemoryAccount
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

BODY = bytes(512 * 1024)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
REQUESTS = 24
"""More responses than the socket buffers of a loopback connection hold."""

WAIT_S = 20.0
STALL_TIMEOUT_S = 1.0
PAUSE_S = 2.0 + USER_TIMEOUT_MS / 1000.0


class _Served:
    """Counts the requests that were started."""

    def __init__(self) -> None:
        self.count = 0
        self.body = BODY
        self.memory = MemoryAccount(100 * len(BODY))

    async def serve(self, _arrival: ReceivedRequest) -> Response:
        self.count += 1
        return Response(200, (), self.body)


Check = Callable[[_Served, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def _run(check: Check) -> None:
    async def run() -> None:
        served = _Served()
        address = PeerAddress("127.0.0.1", 0)
        server = HttpServer(address, served.serve, CallerLimits(), served.memory)
        async with server, asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port, limit=1024
            )
            await check(served, reader, writer)
            writer.close()

    asyncio.run(run())


async def _until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.01)


def test_a_caller_that_does_not_read_gets_no_further_requests_served() -> None:
    """Beyond the limit the connection is not read, however many requests it sends."""

    async def check(
        served: _Served, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(2 * MAX_PIPELINED_REQUESTS):
            writer.write(REQUEST)
            await asyncio.sleep(0.005)
        await _until(lambda: served.memory.held_bytes > MAX_UNREAD_BYTES)
        await asyncio.sleep(0.1)
        assert served.count < MAX_PIPELINED_REQUESTS
        writer.transport.abort()
        await _until(lambda: served.memory.held_bytes == 0)

    _run(check)


def test_a_slow_caller_gets_every_response_in_the_end() -> None:
    """Responses that are ready are delivered, also late."""

    async def check(
        served: _Served, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(REQUESTS * REQUEST)
        await _until(lambda: served.memory.held_bytes > 0)
        await asyncio.sleep(0.2)
        for _ in range(REQUESTS):
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(len(BODY)) == BODY
        await _until(lambda: served.memory.held_bytes == 0)
        assert served.count == REQUESTS

    _run(check)


# Guards against LOST: a daemon whose slow callers count too little exceeds its memory.
def test_a_response_counts_as_a_whole_until_all_of_it_is_sent() -> None:
    """The kernel has taken a part, but the buffer keeps all of its bytes."""

    async def check(
        served: _Served, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        served.body = bytes(8 * 1024 * 1024)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(BODY))
        assert served.memory.held_bytes >= len(served.body)
        await reader.readexactly(len(served.body) - len(BODY))
        await _until(lambda: served.memory.held_bytes == 0)

    _run(check)


# A caller that paused for four seconds lost a response that was ready for it.
def test_a_caller_that_pauses_gets_its_response() -> None:
    """It may read nothing for longer than a peer may leave data unacknowledged."""

    async def check(
        served: _Served, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        served.body = bytes(16 * 1024 * 1024)
        writer.write(REQUEST)
        await asyncio.sleep(PAUSE_S)
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(len(served.body)) == served.body

    _run(check)


# A caller that read steadily, but slowly, lost its response after 15 s.
def test_a_caller_that_reads_on_is_no_stalled_one() -> None:
    """Only a caller that reads nothing at all is given up."""

    async def check(
        served: _Served, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        served.body = bytes(40 * 1024 * 1024)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        ends_at = asyncio.get_running_loop().time() + 4.0 * STALL_TIMEOUT_S
        left = len(served.body)
        while asyncio.get_running_loop().time() < ends_at:
            left -= len(await reader.readexactly(len(BODY) // 2))
            await asyncio.sleep(0.1)
        assert served.memory.held_bytes, "the response is sent already"
        await reader.readexactly(left)

    with patch(
        "damaskbay.adapters.http1.server_connection.WRITE_STALL_TIMEOUT_S",
        STALL_TIMEOUT_S,
    ):
        _run(check)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
