"""The daemon's record in a store that fails."""

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import uvloop

from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.records import decode_record, encode_record
from damaskbay.mesh.registry import RETRY_DELAY_S, Registration
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from damaskbay.ports.store import (
    EPOCH_BITS,
    StoreConflict,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreSnapshot,
    epoch_of,
)
from tests.common import block_loop, function_suite

KEY = "members/d1"
RECORD = MemberRecord(
    "d1", 5, "zone", PeerAddress("10.0.0.1", 7000), "p", ServerState.READY, 4, "i", 9
)
WRITE_TIMEOUT_S = 1.0
FLEET = 300
STORE_WRITES_PER_S = 400
"""Writes a second that the smallest store takes."""

RETURN_S = 2.0
"""Required time, seconds: records return this soon after the store."""


@dataclass
class _Store:
    """
    A store of one key and one lease.

    `lose_reply` loses the reply to a write; with `answered` it waits for that.
    """

    revision: int = 1
    item: StoreItem | None = None
    lease: int = 0
    problem: StoreProblem | None = None
    lose_reply: bool = False
    writes: int = 0
    answered: asyncio.Future[None] | None = None
    epoch: int = 0

    def _failure(self) -> StoreFailure | None:
        return None if self.problem is None else StoreFailure(self.problem)

    def expire_lease(self) -> None:
        """Expire the lease and its key."""
        self.lease += 1
        self.item = None
        self.revision += 1

    async def read(self, prefix: str) -> StoreSnapshot | StoreFailure:
        items = () if self.item is None else (self.item,)
        return self._failure() or StoreSnapshot(items, self.revision)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> StoreSnapshot | StoreFailure:
        raise AssertionError("the record is not watched")

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
        if self.lose_reply:
            return StoreFailure(StoreProblem.UNANSWERED)
        if self.answered is not None:
            await self.answered
        return self.revision

    async def create_lease(self, ttl_s: float) -> int | StoreFailure:
        if self.problem is not None:
            return StoreFailure(self.problem)
        self.lease += 1
        return self.lease

    async def renew_lease(self, lease: int) -> StoreFailure | None:
        if self.problem is not None:
            return StoreFailure(self.problem)
        return None if lease == self.lease else StoreFailure(StoreProblem.NO_LEASE)

    def record(self) -> MemberRecord | None:
        """Return the stored record."""
        return None if self.item is None else decode_record(self.item.value or b"")


class _Daemon:
    """The daemon's current record; tests change it."""

    def __init__(self) -> None:
        self.record = RECORD


def _run(check: Callable[[_Store, _Daemon, Registration], Awaitable[None]]) -> None:
    async def run() -> None:
        store, daemon = _Store(), _Daemon()
        registration = Registration(store, KEY, lambda: daemon.record)
        task = asyncio.create_task(registration.run())
        async with asyncio.timeout(10):
            await _until(lambda: store.record() == RECORD)
            await check(store, daemon, registration)
        task.cancel()

    asyncio.run(run())


async def _until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.01)


def test_a_record_that_lapsed_in_an_outage_is_back_in_time() -> None:
    """A record that expired in an outage returns within the required time."""

    async def check(
        store: _Store, _daemon: _Daemon, registration: Registration
    ) -> None:
        store.problem = StoreProblem.UNAVAILABLE
        registration.schedule_write()
        await asyncio.sleep(2 * RETRY_DELAY_S)
        store.expire_lease()
        store.problem = None
        async with asyncio.timeout(RETURN_S):
            await _until(lambda: store.record() == RECORD)

    _run(check)


def test_a_lost_answer_does_not_lock_the_record() -> None:
    """A write without a reply has changed the revision; the next write succeeds."""

    async def check(store: _Store, daemon: _Daemon, registration: Registration) -> None:
        store.lose_reply = True
        daemon.record = replace(RECORD, state=ServerState.DRAINING)
        assert not await registration.write_now(1.0)
        store.lose_reply = False
        daemon.record = replace(RECORD, state=ServerState.GONE)
        assert await registration.write_now(1.0)
        found = store.record()
        assert found is not None
        assert found.state is ServerState.GONE

    _run(check)


def test_a_write_done_late_does_not_undo_a_newer_one() -> None:
    """A delayed write expects an older revision and is rejected."""

    async def check(store: _Store, daemon: _Daemon, registration: Registration) -> None:
        assert store.item is not None
        before = store.item.revision
        daemon.record = replace(RECORD, state=ServerState.DRAINING)
        assert await registration.write_now(1.0)
        late = await store.write(
            KEY, encode_record(RECORD), expected=before, lease=store.lease
        )
        assert isinstance(late, StoreConflict)
        assert store.record() == daemon.record

    _run(check)


def test_a_leaving_server_is_told_even_without_the_store() -> None:
    """The write times out, and is repeated once the store is back."""

    async def check(store: _Store, daemon: _Daemon, registration: Registration) -> None:
        store.problem = StoreProblem.UNAVAILABLE
        daemon.record = replace(RECORD, state=ServerState.DRAINING)
        assert not await registration.write_now(0.2)
        store.problem = None
        registration.schedule_write()
        await _until(lambda: store.record() == daemon.record)

    _run(check)


# Guards against a report of a leaving server that gets no confirmation though its state
# is stored: a busy loop runs the timer before it reads the store's answer.
def test_a_write_that_is_answered_by_the_timeout_is_stored() -> None:
    """The loop is blocked until the timeout has passed, and the answer waits."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        answered: asyncio.Future[None] = loop.create_future()
        store, daemon = _Store(answered=answered), _Daemon()
        registration = Registration(store, KEY, lambda: daemon.record)
        writing = asyncio.create_task(registration.write_now(WRITE_TIMEOUT_S))
        answer, server = socket.socketpair()

        def read_answer() -> None:
            loop.remove_reader(answer)
            answered.set_result(None)

        def answer_and_block() -> None:
            server.send(b"x")
            time.sleep(1.2 * WRITE_TIMEOUT_S)

        with answer, server:
            loop.add_reader(answer, read_answer)
            await block_loop(answer_and_block)
            assert await writing

    uvloop.run(run())


# Guards against a record that is missing until the next renewal, up to 2.5 s.
def test_a_record_that_the_listing_lacks_is_written_again() -> None:
    """An older listing, or one that has the record, changes nothing."""

    async def check(
        store: _Store, _daemon: _Daemon, registration: Registration
    ) -> None:
        writes = store.writes
        registration.record_listing(False, store.revision - 1)
        registration.record_listing(True, store.revision + 1)
        await asyncio.sleep(0.1)
        assert store.writes == writes
        store.expire_lease()
        registration.record_listing(False, store.revision)
        async with asyncio.timeout(RETRY_DELAY_S):
            await _until(lambda: store.record() == RECORD)

    _run(check)


@dataclass
class _RestoredStore(_Store):
    """A store for one daemon that is restored; `written_at` is shared by all."""

    written_at: list[float] = field(default_factory=list)

    def restore(self) -> None:
        """Lose record and lease."""
        self.epoch += 1
        self.item = None
        self.lease = self.revision = self.epoch << EPOCH_BITS

    async def create_lease(self, ttl_s: float) -> int | StoreFailure:
        self.written_at.append(time.monotonic())
        return await super().create_lease(ttl_s)

    async def write(
        self, key: str, value: bytes, *, expected: int, lease: int
    ) -> int | StoreConflict | StoreFailure:
        if expected and epoch_of(expected) != self.epoch:
            return StoreConflict(self.item.revision if self.item else 0)
        self.written_at.append(time.monotonic())
        return await super().write(key, value, expected=expected, lease=lease)


# Guards against a store that refuses the writes of a whole fleet at once, and against
# records that are back too late.
def test_records_of_a_restored_store_are_written_over_time() -> None:
    """300 daemons hear at once that the store was restored, and it may be busy."""
    for busy_s in (0.0, 1.0):
        asyncio.run(_restore_fleet(busy_s))


async def _restore_fleet(busy_s: float) -> None:
    """Check the writes of a fleet, none of which succeeds in the first time."""
    written_at: list[float] = []
    stores = [_RestoredStore(written_at=written_at) for _ in range(FLEET)]
    registrations = [
        Registration(
            store, KEY, lambda: RECORD, fleet_size=lambda: FLEET, rng=Random(number)
        )
        for number, store in enumerate(stores)
    ]
    tasks = [asyncio.create_task(each.run()) for each in registrations]
    await _until(lambda: all(store.item for store in stores))
    written_at.clear()
    restored_at = time.monotonic()
    for store, registration in zip(stores, registrations, strict=True):
        store.restore()
        store.problem = StoreProblem.BUSY if busy_s else None
        registration.record_listing(False, store.revision + 1)
        # Each further change in the listing must not end the wait.
        registration.record_listing(False, store.revision + 2)
    await asyncio.sleep(busy_s)
    for store in stores:
        store.problem = None
    async with asyncio.timeout(10.0):
        await _until(lambda: all(store.item for store in stores))
    took_s = time.monotonic() - restored_at
    for task in tasks:
        task.cancel()
    assert busy_s or len(written_at) == 2 * FLEET
    busiest = max(_count_from(written_at, at) for at in written_at)
    assert busiest < STORE_WRITES_PER_S
    assert took_s < busy_s + RETURN_S + 0.5


def _count_from(times: list[float], start: float) -> int:
    return sum(start <= at < start + 1.0 for at in times)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
