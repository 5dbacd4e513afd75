"""The store client while the store is restored from a snapshot."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.platform.store import KvStore
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    StoreConflict,
    StoreFailure,
    StoreProblem,
    StoreSnapshot,
)
from tests.common import function_suite
from tests.platform.kv_stand_in import KvStandIn

WAIT_S = 10.0
Gate = Callable[[ReceivedRequest, Response], Awaitable[Response]]
Check = Callable[[KvStandIn, KvStore], Awaitable[None]]


async def _pass(_arrival: ReceivedRequest, response: Response) -> Response:
    return response


def _run(check: Check, gate: Gate = _pass) -> None:
    """Run a check; `gate` may delay or change the responses of the store."""

    async def run() -> None:
        stand_in = KvStandIn(era=1)

        async def serve(arrival: ReceivedRequest) -> Response:
            return await gate(arrival, await stand_in.serve(arrival))

        address = PeerAddress("127.0.0.1", 0)
        async with (
            asyncio.timeout(WAIT_S),
            HttpServer(address, serve, CallerLimits()) as server,
        ):
            store = KvStore(server.address)
            await check(stand_in, store)
            store.close()

    asyncio.run(run())


async def _read(store: KvStore, prefix: str = "k") -> StoreSnapshot:
    reading = await store.read(prefix)
    assert isinstance(reading, StoreSnapshot), reading
    return reading


def _assert_failed(outcome: object, problem: StoreProblem) -> None:
    assert isinstance(outcome, StoreFailure), outcome
    assert outcome.problem is problem


# Guards against a daemon that takes what was written after a restore for older.
def test_revisions_that_are_issued_again_are_higher() -> None:
    """The same item under the same number of the store is newer after a restore."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        await stand_in.put("k", b"1")
        before = await _read(store)
        await stand_in.restore()
        await stand_in.put("k", b"2")
        after = await _read(store)
        assert after.revision > before.revision
        assert after.items[0].revision > before.items[0].revision

    _run(check)


# Guards against changes that are missed: the number is issued again, so no status 410.
def test_a_watch_from_a_revision_before_the_restore_has_no_history() -> None:
    """The client has not heard of the restore before it watches, or it has."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        await stand_in.put("k", b"1")
        before = await _read(store)
        await stand_in.restore()
        await stand_in.put("k", b"2")
        await stand_in.put("k", b"3")
        for _ in range(2):
            outcome = await store.watch("k", after=before.revision, wait_s=0.1)
            _assert_failed(outcome, StoreProblem.COMPACTED)

    _run(check)


# Guards against changes of a new numbering that are applied to the records of before.
def test_a_watch_that_waits_during_a_restore_ends_without_changes() -> None:
    """The store continues the watch by its number alone."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        first = await _read(store)
        watch = asyncio.create_task(store.watch("k", after=first.revision, wait_s=5.0))
        await asyncio.sleep(0.1)
        await stand_in.restore()
        await stand_in.put("k", b"2")
        _assert_failed(await watch, StoreProblem.COMPACTED)

    _run(check)


# Guards against records that stay unknown until the end of a watch of two seconds.
def test_a_watch_ends_as_another_request_meets_the_restore() -> None:
    """The restored store holds the watch, whose revision it has."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        first = await _read(store)
        watch = asyncio.create_task(store.watch("k", after=first.revision, wait_s=60.0))
        await asyncio.sleep(0.1)
        await stand_in.restore()
        await _read(store)
        _assert_failed(await watch, StoreProblem.COMPACTED)

    _run(check)


# Guards against a write over what it never saw: its expected number is issued again.
def test_a_write_that_expects_a_revision_before_the_restore_conflicts() -> None:
    """A client that knows of the restore writes nothing, and learns the revision."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        written = await store.write("k", b"1", expected=0, lease=0)
        assert isinstance(written, int)
        await stand_in.restore()
        await stand_in.put("k", b"2")
        current = (await _read(store)).items[0].revision
        outcome = await store.write("k", b"3", expected=written, lease=0)
        assert outcome == StoreConflict(current)
        assert (await _read(store)).items[0].value == b"2"
        assert isinstance(await store.write("k", b"3", expected=current, lease=0), int)

    _run(check)


# Guards against a record that is taken for stored with its lease, which is gone.
def test_a_write_that_meets_the_restore_is_no_success() -> None:
    """The number is right by accident, and the client has not heard of the restore."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        written = await store.write("k", b"1", expected=0, lease=0)
        assert isinstance(written, int)
        await stand_in.restore()
        await stand_in.put("k", b"2")
        outcome = await store.write("k", b"3", expected=written, lease=0)
        assert outcome == StoreConflict((await _read(store)).items[0].revision)

    _run(check)


# Guards against a daemon that renews the lease of another one.
def test_a_lease_from_before_the_restore_is_lost() -> None:
    """The store has issued its number again."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        lease = await store.create_lease(8.0)
        assert isinstance(lease, int)
        await stand_in.restore()
        other = await store.create_lease(8.0)
        assert isinstance(other, int)
        assert other != lease
        _assert_failed(await store.renew_lease(lease), StoreProblem.NO_LEASE)
        outcome = await store.write("k", b"1", expected=0, lease=lease)
        _assert_failed(outcome, StoreProblem.NO_LEASE)
        assert await store.renew_lease(other) is None
        assert isinstance(await store.write("k", b"1", expected=0, lease=other), int)

    _run(check)


# Guards against a set or record from before the restore that is taken as current.
def test_a_response_from_before_the_restore_that_comes_late_is_not_taken() -> None:
    """Another connection delivers the response of the new era first."""
    late = asyncio.Event()

    async def gate(arrival: ReceivedRequest, response: Response) -> Response:
        if "Prefix=late" in arrival.request.target:
            await late.wait()
        return response

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        await stand_in.put("late", b"1")
        reading = asyncio.create_task(store.read("late"))
        while not stand_in.requests:
            await asyncio.sleep(0.01)
        await stand_in.restore()
        current = await _read(store)
        late.set()
        _assert_failed(await reading, StoreProblem.UNANSWERED)
        assert (await _read(store)).revision == current.revision

    _run(check, gate)


# Guards against a listing of which one half was read before the restore.
def test_a_reading_of_several_pages_is_of_one_era() -> None:
    """The store is restored between two pages."""

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        stand_in.faults.page_size = 2
        stand_in.snapshot()
        for key in ("k1", "k2", "k3"):
            await stand_in.put(key, b"before")
        pages = 0

        async def gate(_arrival: ReceivedRequest, response: Response) -> Response:
            nonlocal pages
            pages += 1
            if pages == 1:
                await stand_in.restore()
                for key in ("k2", "k3", "k4"):
                    await stand_in.put(key, b"after")
            return response

        gates.append(gate)
        found = [(item.key, item.value) for item in (await _read(store)).items]
        assert found == [("k2", b"after"), ("k3", b"after"), ("k4", b"after")]

    gates: list[Gate] = []

    async def any_gate(arrival: ReceivedRequest, response: Response) -> Response:
        return await gates[0](arrival, response)

    _run(check, any_gate)


# Guards against a daemon that loses the store over a header that it can't use.
def test_an_era_that_is_invalid_or_goes_back_changes_nothing() -> None:
    """One log line names the header, also for many responses."""
    era = "3"

    async def gate(_arrival: ReceivedRequest, response: Response) -> Response:
        return Response(200, (("Store-Era", era),), response.body)

    async def check(stand_in: KvStandIn, store: KvStore) -> None:
        nonlocal era
        await stand_in.put("k", b"1")
        known = await _read(store)
        for invalid in ("x", "-1", "", "2", "9" * 30):
            era = invalid
            with unittest.TestCase().assertLogs("damaskbay.platform") as logs:
                for _ in range(3):
                    assert await _read(store) == known
            assert [vars(line).get("field") for line in logs.records] == ["Store-Era"]
            outcome = await store.watch("k", after=known.revision, wait_s=0.0)
            assert isinstance(outcome, StoreSnapshot)

    _run(check, gate)


def load_tests(*_: object) -> unittest.TestSuite:
    """Return a suite of the test functions in this module."""
    return function_suite(globals())
