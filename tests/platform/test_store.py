"""Tests of the store client against the stand-in of the store."""

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import uvloop

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.platform.const import WATCH_TIMEOUT_MARGIN_S
from damaskbay.platform.store import KvStore
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    StoreConflict,
    StoreFailure,
    StoreProblem,
    StoreSnapshot,
)
from tests.common import block_loop, function_suite
from tests.platform.kv_stand_in import KvStandIn

WAIT_S = 10.0
EMPTY_WATCH = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{"events": [], "StoreRevision": 5}'
)
Check = Callable[[KvStandIn, KvStore], Awaitable[None]]


def _run(check: Check) -> None:
    async def run() -> None:
        stand_in = KvStandIn()
        server = HttpServer(PeerAddress("127.0.0.1", 0), stand_in.serve, CallerLimits())
        async with server:
            store = KvStore(server.address)
            await check(stand_in, store)
            store.close()

    asyncio.run(run())


def test_a_reading_joins_all_pages() -> None:
    """A read requests pages until the last one and returns all items."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        stand_in.faults.page_size = 2
        for number in range(5):
            await stand_in.put(f"a/{number}", b"x")
        await stand_in.put("b/1", b"y")
        reading = await store.read("a/")
        assert isinstance(reading, StoreSnapshot)
        assert [item.key for item in reading.items] == [f"a/{n}" for n in range(5)]

    _run(check)


def test_a_change_between_two_pages_is_not_missed() -> None:
    """
    Pattern: a fleet whose records fill several pages, of which one changes meanwhile.

    The change lies on a page that was read already; the watch that follows reports it.
    """

    async def run() -> None:
        stand_in = KvStandIn()
        stand_in.faults.page_size = 2
        for number in range(4):
            await stand_in.put(f"a/{number}", b"x")
        requests = 0

        async def serve(arrival: ReceivedRequest) -> Response:
            nonlocal requests
            requests += 1
            if requests == 2:
                await stand_in.put("a/0", b"new")
            return await stand_in.serve(arrival)

        address = PeerAddress("127.0.0.1", 0)
        async with HttpServer(address, serve, CallerLimits()) as server:
            store = KvStore(server.address)
            reading = await store.read("a/")
            assert isinstance(reading, StoreSnapshot)
            changes = await store.watch("a/", after=reading.revision, wait_s=0.1)
            assert isinstance(changes, StoreSnapshot)
            assert [item.value for item in changes.items] == [b"new"]
            store.close()

    asyncio.run(run())


def test_a_write_needs_the_expected_revision() -> None:
    """A write with an old revision returns the conflict and changes nothing."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        first = await store.write("k", b"1", expected=0, lease=0)
        assert isinstance(first, int)
        second = await store.write("k", b"2", expected=0, lease=0)
        assert second == StoreConflict(first)
        reading = await store.read("k")
        assert isinstance(reading, StoreSnapshot)
        assert reading.items[0].value == b"1"

    _run(check)


def test_a_watch_returns_changes_and_removals() -> None:
    """A watch returns a removed key as an item without a value."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        lease = await store.create_lease(5.0)
        assert isinstance(lease, int)
        written = await store.write("k", b"1", expected=0, lease=lease)
        assert isinstance(written, int)
        await stand_in.expire_lease(lease)
        reading = await store.watch("k", after=written, wait_s=1.0)
        assert isinstance(reading, StoreSnapshot)
        assert [item.value for item in reading.items] == [None]
        kept = await store.renew_lease(lease)
        assert kept is not None
        assert kept.problem is StoreProblem.NO_LEASE

    _run(check)


def test_a_lost_history_is_told() -> None:
    """Status 410 becomes COMPACTED: the caller has to read again."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        await stand_in.put("k", b"1")
        stand_in.compact()
        reading = await store.watch("k", after=1, wait_s=0.1)
        assert isinstance(reading, StoreFailure)
        assert reading.problem is StoreProblem.COMPACTED

    _run(check)


def test_statuses_tell_whether_something_was_done() -> None:
    """Statuses 429 and 503 become BUSY and UNAVAILABLE: the write had no effect."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        cases = {
            HTTPStatus.SERVICE_UNAVAILABLE: StoreProblem.UNAVAILABLE,
            HTTPStatus.TOO_MANY_REQUESTS: StoreProblem.BUSY,
        }
        for status, problem in cases.items():
            stand_in.faults.status = int(status)
            outcome = await store.write("k", b"1", expected=0, lease=0)
            assert isinstance(outcome, StoreFailure)
            assert outcome.problem is problem
        assert not stand_in.items

    _run(check)


def test_a_closed_port_is_unavailable() -> None:
    """A refused connection becomes UNAVAILABLE: the request had no effect."""

    async def run() -> None:
        store = KvStore(PeerAddress("127.0.0.1", 1))
        outcome = await store.read("k")
        assert isinstance(outcome, StoreFailure)
        assert outcome.problem is StoreProblem.UNAVAILABLE

    asyncio.run(run())


# Guards against a lease, a version or a server's state that is known a retry later: a
# busy loop runs the timer before it reads the answer.
def test_an_answer_that_has_arrived_by_the_timeout_is_returned() -> None:
    """The loop is blocked until the timeout has passed, and the answer waits."""

    async def run() -> StoreSnapshot | StoreFailure:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.settimeout(WAIT_S)
            store = KvStore(PeerAddress(*listening.getsockname()))
            watching = asyncio.create_task(store.watch("k", after=0, wait_s=0.0))
            server, _address = await asyncio.to_thread(listening.accept)
            await asyncio.to_thread(server.recv, 1024)

            def answer_and_block() -> None:
                server.sendall(EMPTY_WATCH)
                time.sleep(1.2 * WATCH_TIMEOUT_MARGIN_S)

            with server:
                await block_loop(answer_and_block)
                return await watching

    assert uvloop.run(run()) == StoreSnapshot((), 5)


def load_tests(*_: object) -> unittest.TestSuite:
    """Return a suite of the test functions in this module."""
    return function_suite(globals())
