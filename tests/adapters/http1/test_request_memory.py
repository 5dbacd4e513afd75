"""
Pattern: callers send bodies that the daemon has no memory for, or never finish them.

What a request occupies is counted from its first byte until it is answered, and one
that does not fit is refused as not run while others are served.
"""

import asyncio
import http
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from damaskbay.adapters.http1.exceptions import BadRequestError
from damaskbay.adapters.http1.request_parser import RequestParser
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.core.memory_account import (
    ADMISSION_SHARE,
    BODY_COPIES,
    SMALL_BYTES,
    Holding,
    MemoryAccount,
)
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

LIMIT_BYTES = 1024 * 1024
PIECE = bytes(64 * 1024)
SMALL = b"GET /small HTTP/1.1\r\nHost: a\r\n\r\n"
IDLE_TIMEOUT_S = 1.0
WAIT_S = 20.0


def _not_started() -> None:
    raise AssertionError("the server is not started")


class _Served:
    """Serves requests and records what they hold while they run."""

    def __init__(self) -> None:
        self.memory = MemoryAccount(LIMIT_BYTES)
        self.update_accepting: Callable[[], None] = _not_started
        self.targets: list[str] = []
        self.held_bytes = 0

    async def serve(self, arrival: ReceivedRequest) -> Response:
        self.targets.append(arrival.request.target)
        self.held_bytes = self.memory.held_bytes
        return Response(200)


class _Caller:
    """Connection of one caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    async def read_head(self) -> bytes:
        return await self._reader.readuntil(b"\r\n\r\n")


Connect = Callable[[], Awaitable[_Caller]]
Check = Callable[[_Served, Connect], Awaitable[None]]


def _run(check: Check) -> None:
    async def run() -> None:
        served = _Served()
        limits = CallerLimits(idle_timeout_s=IDLE_TIMEOUT_S)
        address = PeerAddress("127.0.0.1", 0)
        server = HttpServer(address, served.serve, limits, served.memory)
        served.update_accepting = server.update_accepting
        callers: list[_Caller] = []

        async def connect() -> _Caller:
            callers.append(
                _Caller(
                    *await asyncio.open_connection(
                        server.address.host, server.address.port
                    )
                )
            )
            return callers[-1]

        async with server, asyncio.timeout(WAIT_S):
            await check(served, connect)
            for caller in callers:
                caller.writer.close()
            while served.memory.held_bytes:
                await asyncio.sleep(0.01)

    asyncio.run(run())


def _head(framing: str) -> bytes:
    return f"POST /body HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n".encode()


# Two request bodies made a daemon exceed its memory: nothing counted them.
def test_a_body_that_does_not_fit_is_refused_before_it_is_sent() -> None:
    """The caller learns from the head alone that it can try again later."""

    async def check(served: _Served, connect: Connect) -> None:
        caller = await connect()
        caller.writer.write(_head(f"Content-Length: {LIMIT_BYTES}"))
        head = await caller.read_head()
        assert head.startswith(b"HTTP/1.1 503 "), head
        assert b"\r\nRetry-After: 1\r\n" in head
        assert not served.targets

    _run(check)


def test_bodies_that_do_not_fit_together_leave_room_for_other_requests() -> None:
    """One of two bodies without a length is refused midway; small requests run."""

    async def check(served: _Served, connect: Connect) -> None:
        one, two, other = await connect(), await connect(), await connect()
        for caller in (one, two):
            caller.writer.write(_head("Transfer-Encoding: chunked"))
        chunk = f"{len(PIECE):x}\r\n".encode() + PIECE + b"\r\n"
        heads = {asyncio.create_task(item.read_head()): item for item in (one, two)}
        while not any(task.done() for task in heads):
            one.writer.write(chunk)
            two.writer.write(chunk)
            await asyncio.sleep(0.01)
        refused, taken = sorted(heads, key=lambda task: not task.done())
        assert (await refused).startswith(b"HTTP/1.1 503 ")
        other.writer.write(SMALL)
        assert (await other.read_head()).startswith(b"HTTP/1.1 200 ")
        heads[taken].writer.write(b"0\r\n\r\n")
        assert (await taken).startswith(b"HTTP/1.1 200 ")
        assert served.targets == ["/small", "/body"]

    _run(check)


def test_a_request_is_counted_while_it_runs() -> None:
    """Its body counts with the copy that is sent on."""

    async def check(served: _Served, connect: Connect) -> None:
        caller = await connect()
        caller.writer.write(_head(f"Content-Length: {len(PIECE)}") + PIECE)
        await caller.read_head()
        assert served.held_bytes >= BODY_COPIES * len(PIECE)

    _run(check)


def test_a_body_that_never_ends_frees_its_memory() -> None:
    """A caller that stops in the middle of a body gets 408 after the idle timeout."""

    async def check(served: _Served, connect: Connect) -> None:
        caller = await connect()
        caller.writer.write(_head(f"Content-Length: {2 * len(PIECE)}") + PIECE)
        head = await caller.read_head()
        assert head.startswith(b"HTTP/1.1 408 "), head
        assert served.memory.held_bytes <= len(head) + BODY_COPIES

    _run(check)


# Bodies took all of the memory, so that responses to running requests found none.
def test_large_bodies_leave_memory_for_what_runs() -> None:
    """Small ones, as of nested calls, do not have to."""

    async def check(served: _Served, connect: Connect) -> None:
        served.memory.limit_bytes = 4 * LIMIT_BYTES
        with Holding(served.memory) as other:
            other.set(int(ADMISSION_SHARE * served.memory.limit_bytes))
            caller = await connect()
            caller.writer.write(_head("Content-Length: 9") + b"some text")
            assert (await caller.read_head()).startswith(b"HTTP/1.1 200 ")
            caller.writer.write(_head(f"Content-Length: {SMALL_BYTES + 1}"))
            assert (await caller.read_head()).startswith(b"HTTP/1.1 503 ")

    _run(check)


# A daemon that was short of memory went on to accept callers until it had none.
def test_callers_wait_to_be_accepted_while_memory_is_missing() -> None:
    """Those that are connected are served, and the others later."""

    async def check(served: _Served, connect: Connect) -> None:
        earlier = await connect()
        earlier.writer.write(SMALL)
        await earlier.read_head()
        served.memory.is_short = True
        served.update_accepting()
        later = await connect()
        later.writer.write(SMALL)
        earlier.writer.write(SMALL)
        await earlier.read_head()
        await asyncio.sleep(0.1)
        assert len(served.targets) == 2
        served.memory.is_short = False
        served.update_accepting()
        assert (await later.read_head()).startswith(b"HTTP/1.1 200 ")

    _run(check)


# A caller for whose request there was no memory was told that it is malformed.
def test_a_request_that_finds_no_memory_is_refused_as_not_run() -> None:
    """It may be sent again."""
    receiver = mock.Mock()
    receiver.handle_request.side_effect = MemoryError
    parser = RequestParser(receiver, MemoryAccount(), 0.0)
    try:
        parser.feed(SMALL, CallerLimits(), 0.0)
    except BadRequestError as error:
        status = error.status
    assert status is http.HTTPStatus.SERVICE_UNAVAILABLE


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
