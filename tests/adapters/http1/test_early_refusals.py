"""Requests that the server refuses as soon as it has read them."""

import asyncio
import contextlib
import unittest
from unittest.mock import Mock, patch

from damaskbay.adapters.http1.exchange import EarlyRefusal
from damaskbay.adapters.http1.reading import ReadingControl
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

WAIT_S = 20.0
NO_RESPONSE_S = 3.0
RETRY_AFTER_S = 0.4


class _Service:
    """Refuses all paths that contain `no`; the others wait until `release` is set."""

    def __init__(self) -> None:
        self.read: list[str] = []
        self.arrived_at: list[float] = []
        self.release = asyncio.Event()

    def refuse(self, arrival: ReceivedRequest) -> EarlyRefusal | None:
        self.read.append(arrival.request.target)
        if "no" not in arrival.request.target:
            return None
        return EarlyRefusal(Response(503), RETRY_AFTER_S, timeout_s=60.0)

    async def serve(self, arrival: ReceivedRequest) -> Response:
        self.arrived_at.append(arrival.arrived_at)
        await self.release.wait()
        return Response(200, (), arrival.request.target.encode())


class _Caller:
    """One connection to a server with the service."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader, self._writer = reader, writer

    def send(self, *paths: str) -> None:
        """Send requests together."""
        heads = [f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n" for path in paths]
        self._writer.write("".join(heads).encode())

    async def status(self) -> int:
        """Return the status of the next response."""
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        await self._reader.readexactly(length)
        return int(head.split()[1])


async def _connect(service: _Service, server: HttpServer) -> _Caller:
    server.refuse_early = service.refuse
    address = server.address
    return _Caller(*await asyncio.open_connection(address.host, address.port))


def _server(service: _Service) -> HttpServer:
    return HttpServer(PeerAddress("127.0.0.1", 0), service.serve, CallerLimits())


def test_a_refusal_keeps_its_place_among_pipelined_requests() -> None:
    """Responses come in the order of the requests, and none is lost."""

    async def run() -> None:
        service = _Service()
        async with _server(service) as server, asyncio.timeout(WAIT_S):
            caller = await _connect(service, server)
            caller.send("/yes", "/no", "/yes")
            await asyncio.sleep(0.05)
            service.release.set()
            statuses = [await caller.status() for _ in range(3)]
            assert statuses == [200, 503, 200]
            assert server.memory.held_bytes == 0

    asyncio.run(run())


# Callers that sent again at once took the processor from the requests that were begun.
def test_a_caller_that_returns_too_early_is_read_later() -> None:
    """Its request waits, which counts for its time limit, but not to the time told."""

    async def run() -> None:
        service = _Service()
        service.release.set()
        async with _server(service) as server, asyncio.timeout(WAIT_S):
            caller = await _connect(service, server)
            caller.send("/no/1")
            assert await caller.status() == 503
            caller.send("/no/2")
            assert await caller.status() == 503
            caller.send("/yes")
            sent_at = monotonic_s()
            await asyncio.sleep(RETRY_AFTER_S / 4)
            assert service.read == ["/no/1", "/no/2"]
            assert await caller.status() == 200
            assert service.arrived_at[0] <= sent_at

    asyncio.run(run())


# A request had no response if memory was missing as its early refusal was made.
def test_a_request_whose_early_refusal_finds_no_memory_has_a_response() -> None:
    """It has not run, and nothing of it is kept."""

    def refuse(_arrival: ReceivedRequest) -> EarlyRefusal | None:
        raise MemoryError

    async def run() -> None:
        service = _Service()
        service.release.set()
        async with _server(service) as server, asyncio.timeout(NO_RESPONSE_S):
            caller = await _connect(service, server)
            server.refuse_early = refuse
            caller.send("/no")
            assert await caller.status() == 503
            assert server.memory.held_bytes == 0

    asyncio.run(run())


# A caller was read no more if the timer of its pause found no memory.
def test_reading_is_not_paused_without_a_timer_to_resume_it() -> None:
    """The pause fails as a whole."""

    async def run() -> None:
        reading = ReadingControl()
        transport = Mock(is_closing=lambda: False)
        reading.start(transport)
        refusal = EarlyRefusal(Response(503), RETRY_AFTER_S, timeout_s=60.0)
        reading.record_refusal(refusal, 0.0)
        loop = asyncio.get_running_loop()
        for pause, timer in (
            (reading.let_others_read, "call_soon"),
            (lambda: reading.record_refusal(refusal, 0.0), "call_later"),
        ):
            with (
                patch.object(loop, timer, side_effect=MemoryError),
                contextlib.suppress(MemoryError),
            ):
                pause()
            reading.set_congested(False)
            assert not reading.is_paused, timer

    asyncio.run(run())


# A stop closed connections over requests that it had not read yet.
def test_a_caller_that_is_read_later_has_its_response_before_the_close() -> None:
    """The close of the server ends the pause."""

    async def run() -> None:
        service = _Service()
        async with _server(service) as server, asyncio.timeout(WAIT_S):
            caller = await _connect(service, server)
            for path in ("/no/1", "/no/2"):
                caller.send(path)
                assert await caller.status() == 503
            caller.send("/yes")
            await asyncio.sleep(RETRY_AFTER_S / 8)
            assert service.read == ["/no/1", "/no/2"]
            await server.close()
            assert await caller.status() == 503

    asyncio.run(run())


def test_a_caller_that_waits_is_read_at_once() -> None:
    """It came back when it was told."""

    async def run() -> None:
        service = _Service()
        service.release.set()
        async with _server(service) as server, asyncio.timeout(WAIT_S):
            caller = await _connect(service, server)
            for path in ("/no/1", "/no/2", "/yes"):
                caller.send(path)
                await caller.status()
                reading = next(iter(server.connections)).reading
                assert not reading.is_paused
                await asyncio.sleep(1.5 * RETRY_AFTER_S)

    asyncio.run(run())


def test_a_server_that_drains_refuses_nothing_early() -> None:
    """Its responses announce the close, for which it has to know what was sent."""

    async def run() -> None:
        service = _Service()
        service.release.set()
        async with _server(service) as server, asyncio.timeout(WAIT_S):
            caller = await _connect(service, server)
            server.draining = True
            caller.send("/no")
            assert await caller.status() == 200
            assert service.read == []

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
