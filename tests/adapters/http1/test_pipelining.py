"""
Pattern: requests that are pipelined while the server begins to drain.

A caller sends requests behind a response that closes the connection again, also
unsafe ones, so none of them may have been started.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

WAIT_S = 20.0


class _Service:
    """Responds with the path once the test releases it."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self._released_by_path: dict[str, asyncio.Event] = {}

    def release(self, *paths: str) -> None:
        """Let the requests of these paths end."""
        for path in paths:
            self._released(path).set()

    async def serve(self, arrival: ReceivedRequest) -> Response:
        path = arrival.request.target
        self.started.append(path)
        try:
            await self._released(path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        return Response(200, (), path.encode())

    async def until_started(self, count: int) -> None:
        """Wait until `count` requests have started."""
        while len(self.started) < count:
            await asyncio.sleep(0.005)

    def _released(self, path: str) -> asyncio.Event:
        return self._released_by_path.setdefault(path, asyncio.Event())


Check = Callable[
    [_Service, HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def _run(check: Check) -> _Service:
    service = _Service()

    async def run() -> None:
        address = PeerAddress("127.0.0.1", 0)
        server = HttpServer(address, service.serve, CallerLimits())
        async with server, asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            await check(service, server, reader, writer)
            writer.close()

    asyncio.run(run())
    return service


def _get(path: str, *headers: str) -> bytes:
    lines = [f"GET {path} HTTP/1.1", "Host: a", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def _read_response(reader: asyncio.StreamReader) -> tuple[str, bool]:
    """Return the path in a response and whether the response announces the close."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await reader.readexactly(length)
    return body.decode(), b"connection: close" in head.lower()


def test_draining_cuts_no_pipelined_request_that_has_started() -> None:
    """Guards against a request that is cut at its server and sent a second time."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(_get("/a") + _get("/b") + _get("/c"))
        await service.until_started(3)
        server.draining = True
        server.close_idle()
        service.release("/a", "/c")
        assert await _read_response(reader) == ("/a", False)
        service.release("/b")
        assert await _read_response(reader) == ("/b", False)
        assert await _read_response(reader) == ("/c", True)
        assert await reader.read() == b""

    assert not _run(check).cancelled


def test_a_request_read_before_the_close_is_announced_is_answered() -> None:
    """Guards against a request that is read while draining and then cut."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        server.draining = True
        writer.write(_get("/a"))
        await service.until_started(1)
        writer.write(_get("/b"))
        await service.until_started(2)
        service.release("/a", "/b")
        assert await _read_response(reader) == ("/a", False)
        assert await _read_response(reader) == ("/b", True)
        assert await reader.read() == b""

    assert not _run(check).cancelled


def test_what_follows_the_announced_close_is_not_started() -> None:
    """Guards against a request that runs although its caller sends it again."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        server.draining = True
        beginning, end = _get("/b")[:8], _get("/b")[8:]
        writer.write(_get("/a") + beginning)
        await service.until_started(1)
        service.release("/a")
        assert await _read_response(reader) == ("/a", True)
        writer.write(end + _get("/c"))
        await asyncio.sleep(0.1)

    assert _run(check).started == ["/a"]


def test_what_follows_a_request_that_closes_is_not_started() -> None:
    """Guards against a request that runs although its caller sends it again."""

    async def check(
        service: _Service,
        _server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(_get("/a", "Connection: close") + _get("/b"))
        await service.until_started(1)
        writer.write(_get("/c"))
        await asyncio.sleep(0.1)
        service.release("/a")
        assert await _read_response(reader) == ("/a", True)

    assert _run(check).started == ["/a"]


def test_a_malformed_request_behind_others_cuts_none_while_draining() -> None:
    """The responses to earlier requests come first, then the rejection closes."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(_get("/a") + _get("/b") + b"GE T / HTTP/1.1\r\n\r\n")
        await service.until_started(2)
        server.draining = True
        service.release("/a", "/b")
        assert await _read_response(reader) == ("/a", False)
        assert await _read_response(reader) == ("/b", False)
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 400")

    assert not _run(check).cancelled


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
