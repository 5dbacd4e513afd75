"""
Pattern: many daemons on one store; members come and go, and the store fails.

The records of the members reach all daemons, while only relays watch the store.
"""

import asyncio
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random
from typing import Any, cast

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.helpers.backoff import Backoff
from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.member_log import MAX_REMOVED, MemberLog, StoredRecord
from damaskbay.mesh.members import (
    MAX_AGE_S,
    RESTORED_KEEP_S,
    RETRY_DELAY_S,
    Members,
    MembersParts,
)
from damaskbay.mesh.messages import MembersRequest, PeerStatus
from damaskbay.mesh.records import encode_record
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from damaskbay.ports.store import (
    EPOCH_BITS,
    Store,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreSnapshot,
)
from tests.common import function_suite

PREFIX = "members/"
DOMAIN = "zone"
SETTLED_S = 0.15
"""Real seconds in which tasks without timers have certainly run."""


def _record(number: int) -> MemberRecord:
    address = PeerAddress("10.0.0.1", 7000 + number)
    return MemberRecord(
        f"d{number}", 1, DOMAIN, address, "p", ServerState.READY, 4, f"i{number}", 9
    )


class _Store:
    """Records by instance, with their revisions; counts calls by daemon."""

    def __init__(self, fleet: list[MemberRecord]) -> None:
        self.revision = 1
        self.events: list[StoreItem] = []
        self.values = {item.instance: encode_record(item) for item in fleet}
        self.problem: StoreProblem | None = None
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Event()

    def set(self, instance: str, value: bytes | None) -> None:
        self.revision += 1
        self.events.append(StoreItem(PREFIX + instance, value, self.revision))
        if value is None:
            del self.values[instance]
        else:
            self.values[instance] = value
        self.changed.set()
        self.changed = asyncio.Event()

    def fail(self, problem: StoreProblem) -> None:
        """Fail the waiting watches and all further requests."""
        self.problem = problem
        self.changed.set()
        self.changed = asyncio.Event()


class _StoreOfDaemon:
    epoch = 0

    def __init__(self, store: _Store, instance: str) -> None:
        self._store = store
        self._instance = instance

    async def read(self, prefix: str) -> StoreSnapshot | StoreFailure:
        store = self._store
        store.calls[self._instance] += 1
        if store.problem is not None:
            return StoreFailure(store.problem)
        items = [
            StoreItem(PREFIX + name, value, 1) for name, value in store.values.items()
        ]
        return StoreSnapshot(tuple(items), store.revision)

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> StoreSnapshot | StoreFailure:
        store = self._store
        store.calls[self._instance] += 1
        if store.revision <= after and store.problem is None:
            await store.changed.wait()
        if store.problem is not None:
            return StoreFailure(store.problem)
        events = [item for item in store.events if item.revision > after]
        return StoreSnapshot(tuple(events), store.revision)


class _Fleet:
    """Daemons of one domain, of which the first is the relay."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.records = [_record(number) for number in range(count)]
        self.store = _Store(self.records)
        self.relays = {"d0"}
        self.down: set[PeerAddress] = set()
        self.members_by_address: dict[PeerAddress, Members] = {}
        self.directories: list[Directory] = []
        self.requests = 0
        self.heard: list[int] = []
        for record in self.records:
            self._add(record)

    def _add(self, record: MemberRecord) -> None:
        directory = Directory(record.instance, lambda _address: True)
        directory.put_local(record, self.now)
        parts = MembersParts(
            instance=record.instance,
            failure_domain=DOMAIN,
            store=cast("Store", _StoreOfDaemon(self.store, record.instance)),
            prefix=PREFIX,
            directory=directory,
            links=cast("PeerLinks", self),
            backoff=Backoff(RETRY_DELAY_S, 8 * RETRY_DELAY_S, Random(1)),
            watches_store=lambda: record.instance in self.relays,
            on_change=lambda: None,
            on_local_record=lambda _record: None,
            on_listing=lambda _is_listed, revision: self.heard.append(revision),
            clock=lambda: self.now,
        )
        self.directories.append(directory)
        self.members_by_address[record.address] = Members(parts)

    async def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> Any:
        """Deliver a request for changes, as PeerLinks does."""
        assert isinstance(message, MembersRequest)
        self.requests += 1
        if peer in self.down:
            return PeerFailure(PeerProblem.LOST)
        return self.members_by_address[peer].handle_request(message)

    async def exchange_statuses(self) -> None:
        """Let every daemon hear the status of the first one that is up."""
        source = next(
            record.address for record in self.records if record.address not in self.down
        )
        members = self.members_by_address[source]
        age_ms = round(1000.0 * members.age_s(self.now))
        status = PeerStatus(0, 0, members.revision, age_ms)
        for address, receiver in self.members_by_address.items():
            if address != source:
                receiver.handle_status(source, status)
        await asyncio.sleep(SETTLED_S)


def _run(count: int, check: Callable[[_Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = _Fleet(count)
        tasks = [
            asyncio.create_task(members.run())
            for members in fleet.members_by_address.values()
        ]
        async with asyncio.timeout(20):
            await asyncio.sleep(SETTLED_S)
            await check(fleet)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def _known(directory: Directory) -> set[str]:
    return {view.instance for view in directory.servers("p")}


def test_store_calls_of_a_change_do_not_grow_with_the_fleet() -> None:
    """A change costs the relay's calls alone, with 30 daemons and with 195."""
    calls_by_count = {}

    for count in (30, 195):

        async def check(fleet: _Fleet) -> None:
            before = fleet.store.calls.total()
            draining = replace(fleet.records[5], state=ServerState.DRAINING)
            fleet.store.set("d5", encode_record(draining))
            await asyncio.sleep(SETTLED_S)
            await fleet.exchange_statuses()
            others = [item for item in fleet.directories if item._instance != "d5"]
            assert all("d5" not in _known(item) for item in others)
            calls_by_count[len(fleet.records)] = fleet.store.calls.total() - before
            assert before == len(fleet.records) + 1

        _run(count, check)
    assert calls_by_count[30] == calls_by_count[195]


def test_a_removed_member_is_removed_everywhere() -> None:
    """The removal reaches the others, and members that answer stay known."""

    async def check(fleet: _Fleet) -> None:
        fleet.store.set("d3", None)
        await asyncio.sleep(SETTLED_S)
        await fleet.exchange_statuses()
        fleet.now += 60.0
        for directory in fleet.directories:
            directory.remove_expired(fleet.now)
            expected = {record.instance for record in fleet.records} - {"d3"}
            assert _known(directory) - {"d3"} == expected
        assert "d3" not in _known(fleet.directories[0])

    _run(8, check)


def test_a_daemon_without_proofs_watches_the_store_itself() -> None:
    """A relay that is gone, or claims old records, delays no change beyond the age."""

    async def check(fleet: _Fleet) -> None:
        before = fleet.store.calls["d4"]
        fleet.down.add(fleet.records[0].address)
        fleet.now += MAX_AGE_S + 1.0
        await asyncio.sleep(2 * SETTLED_S)
        assert fleet.store.calls["d4"] > before

    _run(6, check)


def test_a_stale_status_is_no_proof() -> None:
    """The age of a proof is counted from the store, not from the status."""

    async def check(fleet: _Fleet) -> None:
        fleet.store.fail(StoreProblem.UNAVAILABLE)
        await asyncio.sleep(SETTLED_S)
        fleet.now += MAX_AGE_S + 1.0
        before = fleet.store.calls["d4"]
        await fleet.exchange_statuses()
        assert fleet.store.calls["d4"] > before

    _run(6, check)


def test_a_lost_reply_is_requested_again() -> None:
    """The next status leads to a new request."""

    async def check(fleet: _Fleet) -> None:
        fleet.store.set("d3", encode_record(replace(fleet.records[3], slots=9)))
        await asyncio.sleep(SETTLED_S)
        relay = fleet.records[0].address
        relayed = fleet.members_by_address[relay]
        status = PeerStatus(0, 0, relayed.revision, 0)
        receiver = fleet.members_by_address[fleet.records[1].address]
        fleet.down.add(relay)
        receiver.handle_status(relay, status)
        await asyncio.sleep(SETTLED_S)
        assert receiver.revision < relayed.revision
        fleet.down.clear()
        receiver.handle_status(relay, status)
        await asyncio.sleep(SETTLED_S)
        assert receiver.revision == relayed.revision

    _run(4, check)


def test_the_log_tells_changes_after_any_known_revision() -> None:
    """Changes read whole after a gap count like those that were watched."""
    log = MemberLog()
    log.replace({"a": StoredRecord(b"1", 8), "b": StoredRecord(b"1", 9)}, 10)
    assert log.record_change("a", b"2", 12)
    log.replace({"a": StoredRecord(b"2", 12), "c": StoredRecord(b"1", 17)}, 20)
    reply = log.changes_after(12)
    assert not reply.complete
    assert (reply.records_by_instance, reply.removed) == ({"c": b"1"}, ("b",))
    everything = log.changes_after(9)
    assert everything.complete
    assert set(everything.records_by_instance) == {"a", "c"}


def test_a_reading_and_a_watch_of_the_same_changes_agree() -> None:
    """Other writes to the store, or leases, do not make one of them look newer."""
    watched, read = MemberLog(), MemberLog()
    watched.replace({"a": StoredRecord(b"1", 3)}, 4)
    assert watched.record_change("b", b"1", 6)
    read.replace({"a": StoredRecord(b"1", 3), "b": StoredRecord(b"1", 6)}, 40)
    assert watched.revision == read.revision


def test_an_older_change_or_reading_is_ignored() -> None:
    """A reading that was overtaken does not undo newer changes."""
    log = MemberLog()
    log.replace({"a": StoredRecord(b"1", 10)}, 10)
    assert log.record_change("a", b"3", 15)
    assert not log.record_change("a", b"2", 12)
    assert not log.replace({"a": StoredRecord(b"1", 10)}, 11)
    assert log.changes_after(10).records_by_instance == {"a": b"3"}


def test_an_overtaken_reading_does_not_unlist_newer_members() -> None:
    """A reading from before the changes of a peer leaves the directory as it is."""

    async def check(fleet: _Fleet) -> None:
        receiver = fleet.members_by_address[fleet.records[1].address]
        reading = {
            name: StoredRecord(value, 1) for name, value in fleet.store.values.items()
        }
        fleet.store.set("d9", encode_record(_record(9)))
        await asyncio.sleep(SETTLED_S)
        await fleet.exchange_statuses()
        receiver._replace(reading, 1)
        fleet.now += 60.0
        fleet.directories[1].remove_expired(fleet.now)
        assert "d9" in _known(fleet.directories[1])

    _run(4, check)


def test_the_log_forgets_old_removals_safely() -> None:
    """A peer that needs a forgotten removal gets all records."""
    log = MemberLog()
    log.replace({f"d{n}": StoredRecord(b"1", 1) for n in range(MAX_REMOVED + 1)}, 1)
    for number in range(MAX_REMOVED + 1):
        log.record_change(f"d{number}", None, 2 + number)
    assert log.changes_after(1).complete
    assert not log.changes_after(2).complete


# Guards against a member that stays known for good: nobody can send its removal.
def test_a_peer_that_knew_more_of_an_earlier_epoch_gets_all_records() -> None:
    """The record that only the peer knows is lost in the new epoch."""
    log, peer = MemberLog(), MemberLog()
    log.replace({"a": StoredRecord(b"1", 8)}, 8)
    peer.replace({"a": StoredRecord(b"1", 8), "unseen": StoredRecord(b"1", 9)}, 9)
    start = 1 << EPOCH_BITS
    assert log.begin_epoch(start + 7)
    assert log.replace({"a": StoredRecord(b"1", start + 3)}, start + 7)
    reply = log.changes_after(peer.revision)
    assert (reply.complete, reply.revision) == (True, start + 3)
    assert set(reply.records_by_instance) == {"a"}
    assert log.begin_epoch(2 * start)
    assert log.changes_after(peer.revision).complete
    assert log.changes_after(8).complete


# Guards against all records of a large fleet in a message to each daemon.
def test_only_what_a_new_epoch_changes_is_told_to_a_peer() -> None:
    """Records that are the same, or are written again, are not sent."""
    log = MemberLog()
    log.replace({name: StoredRecord(b"1", 8) for name in "abc"}, 8)
    start = 1 << EPOCH_BITS
    assert log.begin_epoch(start + 7)
    older = {"a": StoredRecord(b"1", start + 3), "b": StoredRecord(b"0", start + 4)}
    assert log.replace(older, start + 7)
    assert log.record_change("a", b"1", start + 9)
    reply = log.changes_after(8)
    assert (reply.complete, reply.revision) == (False, start + 9)
    assert (reply.records_by_instance, reply.removed) == ({"b": b"0"}, ("c",))
    assert log.record_change("c", b"1", start + 11)
    assert log.changes_after(start + 9).records_by_instance == {"c": b"1"}


# Guards against peers that never hear of the loss, as no record has a revision.
def test_a_new_epoch_without_records_is_a_change() -> None:
    """All records were removed before, and the store has lost that."""
    log = MemberLog()
    log.replace({"a": StoredRecord(b"1", 7)}, 7)
    log.record_change("a", None, 8)
    start = 1 << EPOCH_BITS
    assert log.begin_epoch(start + 2)
    assert not log.begin_epoch(start + 3)
    assert log.replace({}, start + 2)
    assert log.revision >= start
    assert not log.changes_after(7).records_by_instance


# Guards against a wait for the relay, whose link may have no notes for 2 s.
def test_a_later_epoch_is_heard_of_from_any_peer() -> None:
    """The peer is in another domain, and no records are requested from it."""

    async def check(fleet: _Fleet) -> None:
        members = fleet.members_by_address[fleet.records[1].address]
        fleet.heard.clear()
        status = PeerStatus(0, 0, 1 << EPOCH_BITS, 0)
        members.handle_status(PeerAddress("10.0.0.9", 1), status)
        assert fleet.heard == [1 << EPOCH_BITS]
        assert not fleet.requests

    _run(2, check)


# Guards against rates that are exceeded: few daemons share what belongs to many.
def test_members_that_a_restored_store_lacks_are_kept_for_a_while() -> None:
    """Daemons without a link to this one are known by their records alone."""

    async def check(fleet: _Fleet) -> None:
        everyone = {record.instance for record in fleet.records}
        members = fleet.members_by_address[fleet.records[1].address]
        directory = fleet.directories[1]
        members._apply_reading(StoreSnapshot((), 1 << EPOCH_BITS), fleet.now)
        fleet.now += RESTORED_KEEP_S - 0.1
        directory.remove_expired(fleet.now)
        assert directory.instances() == everyone
        fleet.now += 1.0
        directory.remove_expired(fleet.now)
        assert directory.instances() == {"d1"}

    _run(4, check)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
