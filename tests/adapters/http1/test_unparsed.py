"""Pattern: one read holds more requests than a connection has in flight at once."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.adapters.http1.const import MAX_PIPELINED_REQUESTS, PARSES_IN_A_ROW
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.adapters.http1.unparsed import UnparsedBytes
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.core.memory_account import MemoryAccount
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

WAIT_S = 10.0
REQUESTS = 300
MEMORY_BYTES = 1024 * 1024


class _Service:
    """Answers with the body, or the path, of a request once it is `released`."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.started: list[str] = []
        self.running = self.most_running = 0

    async def serve(self, arrival: ReceivedRequest) -> Response:
        request = arrival.request
        self.started.append(request.target)
        self.running += 1
        self.most_running = max(self.running, self.most_running)
        try:
            await self.released.wait()
        finally:
            self.running -= 1
        return Response(200, (), request.body or request.target.encode())


Check = Callable[
    [_Service, HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def _run(check: Check) -> None:
    async def run() -> None:
        service, memory = _Service(), MemoryAccount(MEMORY_BYTES)
        address = PeerAddress("127.0.0.1", 0)
        server = HttpServer(address, service.serve, CallerLimits(), memory)
        async with server, asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            await check(service, server, reader, writer)
            writer.close()

    asyncio.run(run())


def _get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


async def _read_body(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return await reader.readexactly(length)


async def _until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.005)


def test_each_request_of_a_read_is_answered_in_order() -> None:
    """No more are in flight than the limit allows, and what waits is counted."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(b"".join(_get(f"/{number}") for number in range(REQUESTS)))
        await _until(lambda: service.running == MAX_PIPELINED_REQUESTS)
        assert server.memory.held_bytes >= REQUESTS * len(_get("/")) // 2
        assert server.in_flight == 1
        service.released.set()
        for number in range(REQUESTS):
            assert await _read_body(reader) == f"/{number}".encode()
        assert service.most_running == MAX_PIPELINED_REQUESTS
        await _until(lambda: not server.memory.held_bytes)

    _run(check)


def test_bodies_that_look_like_requests_are_kept_whole() -> None:
    """Guards against a body that is cut where it contains the end of a head."""
    body = _get("/x") * (2 * PARSES_IN_A_ROW)
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    whole = b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    chunked = b"%bTransfer-Encoding: chunked\r\n\r\n%b" % (head, chunk)

    async def check(
        service: _Service,
        _server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        service.released.set()
        writer.write(whole + chunked + _get("/a") + chunked + whole)
        for expected in (body, body, b"/a", body, body):
            assert await _read_body(reader) == expected
        assert service.started == ["/", "/", "/a", "/", "/"]

    _run(check)


def test_draining_answers_what_was_read() -> None:
    """The close is announced with the last response, not before one that waits."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(b"".join(_get(f"/{number}") for number in range(REQUESTS)))
        await _until(lambda: service.running == MAX_PIPELINED_REQUESTS)
        server.draining = True
        server.close_idle()
        server.reject_incomplete()
        service.released.set()
        received = await reader.read()
        assert received.count(b"HTTP/1.1 200") == REQUESTS
        assert received.lower().count(b"connection: close") == 1

    _run(check)


def test_a_close_starts_nothing_that_was_not_begun() -> None:
    """What waits is refused as not run, behind the responses to what was begun."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(b"".join(_get(f"/{number}") for number in range(REQUESTS)))
        await _until(lambda: service.running == MAX_PIPELINED_REQUESTS)
        await server.close()
        received = await reader.read()
        assert len(service.started) == MAX_PIPELINED_REQUESTS
        assert received.count(b"HTTP/1.1 502") == MAX_PIPELINED_REQUESTS
        assert received.count(b"HTTP/1.1 503") == 1
        assert not server.memory.held_bytes

    _run(check)


def test_what_waits_is_refused_while_memory_is_scarce() -> None:
    """Those that were begun are answered first; the refusal closes."""

    async def check(
        service: _Service,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        server.memory.held_bytes = held_bytes = MEMORY_BYTES * 3 // 4
        writer.write(b"".join(_get(f"/{number}") for number in range(REQUESTS)))
        await _until(lambda: service.running == 2)
        service.released.set()
        received = await reader.read()
        assert service.started == ["/0", "/1"]
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.count(b"HTTP/1.1 503") == 1
        assert server.memory.held_bytes == held_bytes

    _run(check)


def test_a_piece_holds_one_head() -> None:
    """Guards against pieces with many requests, and a body that is cut."""
    account = MemoryAccount()
    unparsed = UnparsedBytes(account)
    unparsed.add(b"a\r\n\r\nbodyb\r\n\r\n")
    assert unparsed.take(0) == b"a\r\n\r\n"
    unparsed.count()
    assert account.held_bytes
    unparsed.add(b"c\r\n\r\nd")
    assert unparsed.take(4) == b"body"
    assert unparsed.take(0) == b"b\r\n\r\n"
    assert unparsed.take(0) == b"c\r\n\r\nd"
    assert not len(unparsed)
    assert not account.held_bytes


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
