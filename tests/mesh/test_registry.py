"""The daemon's record in the store, against a store that misbehaves."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.records import decode_record, encode_record
from damaskbay.mesh.registry import RETRY_S, MemberWatch, Registration
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    StoreConflict,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreReading,
)
from tests.common import function_suite

KEY = "members/d1"
RECORD = MemberRecord(
    "d1", 5, "zone", PeerAddress("10.0.0.1", 7000), "p", ServerState.READY, 4, "i", 9
)
RETURN_S = 2.0
"""The users' bound: records are back about two seconds after the store."""


@dataclass
class _Store:
    """One key, one lease; `lose` does a write and answers nothing."""

    revision: int = 1
    item: StoreItem | None = None
    lease: int = 0
    problem: StoreProblem | None = None
    lose: bool = False
    writes: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def _failure(self) -> StoreFailure | None:
        return None if self.problem is None else StoreFailure(self.problem)

    def lapse(self) -> None:
        """Let the lease end, with its key."""
        self.lease += 1
        self.item = None
        self.revision += 1

    async def read(self, prefix: str) -> StoreReading | StoreFailure:
        items = () if self.item is None else (self.item,)
        return self._failure() or StoreReading(items, self.revision)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> StoreReading | StoreFailure:
        await self.changed.wait()
        self.changed.clear()
        return await self.read(prefix)

    async def write(
        self, key: str, value: bytes, *, expected: int, lease: int
    ) -> int | StoreConflict | StoreFailure:
        self.writes += 1
        if self.problem is not None:
            return StoreFailure(self.problem)
        found = 0 if self.item is None else self.item.revision
        if found != expected:
            return StoreConflict(found)
        if lease != self.lease:
            return StoreFailure(StoreProblem.NO_LEASE)
        self.revision += 1
        self.item = StoreItem(key, value, self.revision)
        if self.lose:
            return StoreFailure(StoreProblem.UNANSWERED)
        return self.revision

    async def grant(self, ttl_s: float) -> int | StoreFailure:
        if self.problem is not None:
            return StoreFailure(self.problem)
        self.lease += 1
        return self.lease

    async def keep(self, lease: int) -> StoreFailure | None:
        if self.problem is not None:
            return StoreFailure(self.problem)
        return None if lease == self.lease else StoreFailure(StoreProblem.NO_LEASE)

    def record(self) -> MemberRecord | None:
        """Return the record that stands there."""
        return None if self.item is None else decode_record(self.item.value or b"")


class _Own:
    """The record to write; tests change it."""

    def __init__(self) -> None:
        self.record = RECORD


def _run(check: Callable[[_Store, _Own, Registration], Awaitable[None]]) -> None:
    async def run() -> None:
        store, own = _Store(), _Own()
        registration = Registration(store, KEY, lambda: own.record)
        task = asyncio.create_task(registration.run())
        async with asyncio.timeout(10):
            await _until(lambda: store.record() == RECORD)
            await check(store, own, registration)
        task.cancel()

    asyncio.run(run())


async def _until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.01)


def test_a_record_that_lapsed_in_an_outage_is_back_in_time() -> None:
    """The store forgot it while it was away; it returns within the users' bound."""

    async def check(store: _Store, _own: _Own, registration: Registration) -> None:
        store.problem = StoreProblem.UNAVAILABLE
        registration.changed()
        await asyncio.sleep(2 * RETRY_S)
        store.lapse()
        store.problem = None
        async with asyncio.timeout(RETURN_S):
            await _until(lambda: store.record() == RECORD)

    _run(check)


def test_a_lost_answer_does_not_lock_the_record() -> None:
    """The write was done: the next one finds the revision and goes on."""

    async def check(store: _Store, own: _Own, registration: Registration) -> None:
        store.lose = True
        own.record = replace(RECORD, state=ServerState.DRAINING)
        assert not await registration.write_now(1.0)
        store.lose = False
        own.record = replace(RECORD, state=ServerState.GONE)
        assert await registration.write_now(1.0)
        found = store.record()
        assert found is not None
        assert found.state is ServerState.GONE

    _run(check)


def test_a_write_done_late_does_not_undo_a_newer_one() -> None:
    """It was sent on condition of a revision that is gone by then."""

    async def check(store: _Store, own: _Own, registration: Registration) -> None:
        assert store.item is not None
        before = store.item.revision
        own.record = replace(RECORD, state=ServerState.DRAINING)
        assert await registration.write_now(1.0)
        late = await store.write(
            KEY, encode_record(RECORD), expected=before, lease=store.lease
        )
        assert isinstance(late, StoreConflict)
        assert store.record() == own.record

    _run(check)


def test_a_leaving_server_is_told_even_without_the_store() -> None:
    """The write gives up after its time, and is made up for later."""

    async def check(store: _Store, own: _Own, registration: Registration) -> None:
        store.problem = StoreProblem.UNAVAILABLE
        own.record = replace(RECORD, state=ServerState.DRAINING)
        assert not await registration.write_now(0.2)
        store.problem = None
        registration.changed()
        await _until(lambda: store.record() == own.record)

    _run(check)


def test_the_watch_tells_the_directory_and_the_daemon_itself() -> None:
    """The own record of an earlier start goes to the daemon, others' to the list."""

    async def run() -> None:
        store = _Store()
        store.item = StoreItem(KEY, encode_record(RECORD), 1)
        directory = Directory("me", lambda _address: True)
        found: list[MemberRecord] = []
        watches = [
            MemberWatch(
                store,
                "members/",
                directory,
                on_change=lambda: None,
                own=own,
                on_own=found.append,
                clock=lambda: 1.0,
            )
            for own in ("me", "d1")
        ]
        tasks = [asyncio.create_task(watch.run()) for watch in watches]
        async with asyncio.timeout(5):
            await _until(lambda: found == [RECORD] and bool(directory.servers("p")))
        assert all(watch.has_read for watch in watches)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
