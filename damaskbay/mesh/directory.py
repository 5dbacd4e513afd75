"""The known daemons and backend servers, from the platform's store and from peers."""

import logging
from collections.abc import Callable, Iterable, Set as AbstractSet
from dataclasses import dataclass, replace

from damaskbay.core.routing.const import SLOW_START_S
from damaskbay.mesh.messages import Note, PeerStatus
from damaskbay.ports.fleet import ServerState, ServerView
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

NEVER = float("-inf")

NOTE_TIMEOUT_S = 7.0
"""Seconds without a note after which a daemon not listed in the store is removed."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A daemon's record in the platform's store; `born_ms` is its server's start."""

    instance: str
    incarnation: int
    failure_domain: str
    address: PeerAddress
    pool: str
    state: ServerState
    slots: int
    server: str = ""
    born_ms: int = 0


@dataclass(slots=True)
class _Member:
    """
    A known daemon.

    A note is fresher than a listed record for a while after `noted_at`. `heard_at` is
    when the daemon last showed that it lives, by a note or a status.
    """

    record: MemberRecord
    listed: bool
    ready_at: float
    load: float = 0.0
    noted_at: float = NEVER
    heard_at: float = NEVER


class Directory:
    """Holds the known daemons by instance; times are in monotonic seconds."""

    def __init__(self, instance: str, is_up: Callable[[PeerAddress], bool]) -> None:
        self._instance = instance
        self._is_up = is_up
        self._by_instance: dict[str, _Member] = {}
        self._instance_by_address: dict[PeerAddress, str] = {}
        self._views_by_pool: dict[str, list[ServerView]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._keep_until = NEVER

    def keep_unlisted(self, until: float) -> None:
        """Remove nobody until then, since the listing lacks daemons that live."""
        self._keep_until = max(self._keep_until, until)

    def replace_listing(self, records: Iterable[MemberRecord], now: float) -> None:
        """Replace the listing of the store; daemons missing there become unlisted."""
        present = set()
        for record in records:
            present.add(record.instance)
            self.put(record, now)
        for instance in self._by_instance.keys() - present - {self._instance}:
            self.mark_unlisted(instance, now)

    def put(self, record: MemberRecord, now: float) -> None:
        """Record a peer's record from the store; ignore this daemon's own."""
        if record.instance != self._instance:
            self._update(record, now, listed=True)

    def put_local(self, record: MemberRecord, now: float) -> None:
        """Record the state of this daemon and its server."""
        self._update(record, now, listed=True)

    def set_local_slots(self, slots: int) -> None:
        """Change the slots of the local server, if it is known."""
        member = self._by_instance.get(self._instance)
        if member is not None and member.record.slots != slots:
            member.record = replace(member.record, slots=slots)
            self._views_by_pool.pop(member.record.pool, None)

    def mark_unlisted(self, instance: str, now: float) -> None:
        """Record that the store no longer lists a daemon."""
        member = self._by_instance.get(instance)
        if member is not None:
            member.listed = False
        self.remove_expired(now)

    def put_note(self, note: Note, now: float) -> None:
        """Record a peer's note, which is fresher than its record in the store."""
        known = self._by_instance.get(note.instance)
        if known is not None and _note_agrees(note, known.record):
            known.noted_at = known.heard_at = now
            return
        record = MemberRecord(
            note.instance,
            note.incarnation,
            note.failure_domain,
            PeerAddress(note.host, note.port),
            note.pool,
            note.state,
            note.slots,
        )
        member = self._update(record, now, listed=False)
        if member is not None:
            member.noted_at = member.heard_at = now

    def put_status(self, address: PeerAddress, status: PeerStatus, now: float) -> None:
        """Record the load and the slow start that a peer's daemon reports."""
        member = self._member_at(address)
        if member is None:
            return
        load, cold_s = status.load_permille / 1000.0, status.cold_ms / 1000.0
        ready_at = now - SLOW_START_S + cold_s if cold_s else member.ready_at
        member.heard_at = now
        if load != member.load or ready_at != member.ready_at:
            member.load, member.ready_at = load, ready_at
            self._views_by_pool.pop(member.record.pool, None)

    def failure_domain_of(self, address: PeerAddress) -> str | None:
        """Return the failure domain of the daemon at an address, None if unknown."""
        member = self._member_at(address)
        return member.record.failure_domain if member is not None else None

    def _member_at(self, address: PeerAddress) -> _Member | None:
        instance = self._instance_by_address.get(address)
        member = self._by_instance.get(instance) if instance is not None else None
        if member is None or member.record.address != address:
            return None
        return member

    def remove_expired(self, now: float) -> None:
        """Remove daemons that are unlisted and have sent no note lately."""
        if now < self._keep_until:
            return
        for instance, member in tuple(self._by_instance.items()):
            if (
                instance != self._instance
                and not member.listed
                and now - member.heard_at > NOTE_TIMEOUT_S
            ):
                del self._by_instance[instance]
                if self._instance_by_address.get(member.record.address) == instance:
                    del self._instance_by_address[member.record.address]
                self._views_by_pool.clear()
                _LOGGER.info(
                    "fleet: daemon has been removed.", extra={"peer": instance}
                )

    def addresses(self, instances: AbstractSet[str]) -> frozenset[PeerAddress]:
        """Return the peer addresses of some daemons."""
        return frozenset(
            member.record.address
            for instance, member in self._by_instance.items()
            if instance in instances
        )

    def records(self) -> list[MemberRecord]:
        """Return the latest records of all daemons."""
        return [member.record for member in self._by_instance.values()]

    def instances_by_domain(self) -> dict[str, set[str]]:
        """Return the instances of all known daemons by failure domain."""
        found: dict[str, set[str]] = {}
        for instance, member in self._by_instance.items():
            found.setdefault(member.record.failure_domain, set()).add(instance)
        return found

    def instances(self) -> frozenset[str]:
        """Return the instances of all known daemons, also unreachable ones."""
        return frozenset(self._by_instance)

    def invalidate(self) -> None:
        """Discard the cached servers after links have changed."""
        self._views_by_pool.clear()

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Leave out the servers of these failure domains from now on."""
        self._evacuated = failure_domains
        self._views_by_pool.clear()

    def servers(self, pool: str) -> list[ServerView]:
        """Return the ready servers of a pool that are reachable, none evacuated."""
        views = self._views_by_pool.get(pool)
        if views is None:
            views = self._views_by_pool[pool] = self._servers(pool)
        return views

    def count_servers(self, pool: str) -> int:
        """Return the number of ready servers of a pool, linked or not."""
        return sum(
            member.record.pool == pool and member.record.state is ServerState.READY
            for member in self._by_instance.values()
        )

    def _servers(self, pool: str) -> list[ServerView]:
        return [
            self._view(member)
            for instance, member in self._by_instance.items()
            if member.record.pool == pool
            and member.record.state is ServerState.READY
            and member.record.failure_domain not in self._evacuated
            and (instance == self._instance or self._is_up(member.record.address))
        ]

    def _view(self, member: _Member) -> ServerView:
        record = member.record
        return ServerView(
            record.instance,
            record.incarnation,
            record.failure_domain,
            record.address,
            record.pool,
            record.state,
            record.slots,
            member.ready_at,
            member.load,
            record.instance == self._instance,
        )

    def _update(
        self, record: MemberRecord, now: float, *, listed: bool
    ) -> _Member | None:
        """Store a record; return its member, None if a fresher record is known."""
        self._views_by_pool.pop(record.pool, None)
        member = self._by_instance.get(record.instance)
        if member is None:
            member = _Member(record, listed, now - SLOW_START_S)
            self._by_instance[record.instance] = member
            self._instance_by_address[record.address] = record.instance
            _LOGGER.info(
                "fleet: daemon is known.",
                extra={"peer": record.instance, "pool": record.pool},
            )
            return member
        known = member.record
        if record.incarnation < known.incarnation:
            return None
        noted_lately = now - member.noted_at < NOTE_TIMEOUT_S
        stale = listed and noted_lately and record.incarnation == known.incarnation
        if listed:
            member.listed = True
        if stale:
            return None
        if record.state is not known.state or record.incarnation != known.incarnation:
            _LOGGER.info(
                "fleet: server's state has changed.",
                extra={"peer": record.instance, "state": record.state.value},
            )
        if record.pool != known.pool:
            self._views_by_pool.pop(known.pool, None)
        member.record = record
        self._instance_by_address[record.address] = record.instance
        return member


def _note_agrees(note: Note, record: MemberRecord) -> bool:
    """Return whether a note says nothing that differs from a record."""
    return (
        note.incarnation == record.incarnation
        and note.state is record.state
        and note.slots == record.slots
        and note.pool == record.pool
        and note.port == record.address.port
        and note.host == record.address.host
    )
