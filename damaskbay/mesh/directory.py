"""Which daemons and backend servers there are, from the platform and from peers."""

import logging
from collections.abc import Callable, Iterable, Set as AbstractSet
from dataclasses import dataclass

from damaskbay.core.routing.const import SLOW_START_S
from damaskbay.mesh.messages import Note
from damaskbay.ports.fleet import ServerState, ServerView
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

UNHEARD_S = 7.0
"""Seconds after which a daemon that is neither listed nor heard of is forgotten."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What a daemon writes of itself into the platform."""

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
    record: MemberRecord
    listed: bool
    ready_at: float
    load: float = 0.0
    heard_at: float = 0.0


class Directory:
    """Holds the known daemons by instance. Times in monotonic seconds."""

    def __init__(self, instance: str, is_up: Callable[[PeerAddress], bool]) -> None:
        self._instance = instance
        self._is_up = is_up
        self._by_instance: dict[str, _Member] = {}
        self._views_by_pool: dict[str, list[ServerView]] = {}

    def listed(self, records: Iterable[MemberRecord], now: float) -> None:
        """Take a whole listing: what is missing there is no longer listed."""
        present = set()
        for record in records:
            present.add(record.instance)
            self.put(record, now)
        for instance in self._by_instance.keys() - present - {self._instance}:
            self.unlisted(instance, now)

    def put(self, record: MemberRecord, now: float) -> None:
        """Take one record of the platform; the own one is known better here."""
        if record.instance != self._instance:
            self._take(record, now, listed=True)

    def put_own(self, record: MemberRecord, now: float) -> None:
        """Take the state of this daemon and its server."""
        self._take(record, now, listed=True)

    def unlisted(self, instance: str, now: float) -> None:
        """Take note that the platform lists a daemon no more."""
        member = self._by_instance.get(instance)
        if member is not None:
            member.listed = False
        self.forget(now)

    def heard(self, note: Note, now: float) -> None:
        """Take what a daemon says of itself; fresher than the platform's record."""
        record = MemberRecord(
            note.instance,
            note.incarnation,
            note.failure_domain,
            PeerAddress(note.host, note.port),
            note.pool,
            note.state,
            note.slots,
        )
        member = self._take(record, now, listed=False)
        if member is not None:
            if note.cold_s > 0.0:
                member.ready_at = now - SLOW_START_S + note.cold_s
            member.load = note.load
            member.heard_at = now

    def forget(self, now: float) -> None:
        """Drop daemons that are neither listed nor heard of."""
        for instance, member in tuple(self._by_instance.items()):
            if (
                instance != self._instance
                and not member.listed
                and now - member.heard_at > UNHEARD_S
            ):
                del self._by_instance[instance]
                self._views_by_pool.clear()
                _LOGGER.info("fleet: daemon is gone.", extra={"peer": instance})

    def addresses(self, instances: AbstractSet[str]) -> frozenset[PeerAddress]:
        """Return where some daemons listen."""
        return frozenset(
            member.record.address
            for instance, member in self._by_instance.items()
            if instance in instances
        )

    def records(self) -> list[MemberRecord]:
        """Return what is known of all daemons."""
        return [member.record for member in self._by_instance.values()]

    def instances_by_domain(self) -> dict[str, set[str]]:
        """Return the daemons that may be serving, by failure domain."""
        found: dict[str, set[str]] = {}
        for instance, member in self._by_instance.items():
            found.setdefault(member.record.failure_domain, set()).add(instance)
        return found

    def instances(self) -> frozenset[str]:
        """Return the daemons that may be serving."""
        return frozenset(self._by_instance)

    def invalidate(self) -> None:
        """Take note that links have come or gone."""
        self._views_by_pool.clear()

    def servers(self, pool: str) -> list[ServerView]:
        """Return the servers of a pool that can be reached."""
        views = self._views_by_pool.get(pool)
        if views is None:
            views = self._views_by_pool[pool] = self._servers(pool)
        return views

    def _servers(self, pool: str) -> list[ServerView]:
        return [
            self._view(member)
            for instance, member in self._by_instance.items()
            if member.record.pool == pool
            and member.record.state is ServerState.READY
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

    def _take(
        self, record: MemberRecord, now: float, *, listed: bool
    ) -> _Member | None:
        self._views_by_pool.pop(record.pool, None)
        member = self._by_instance.get(record.instance)
        if member is None:
            member = _Member(record, listed, now - SLOW_START_S)
            self._by_instance[record.instance] = member
            _LOGGER.info(
                "fleet: daemon is known.",
                extra={"peer": record.instance, "pool": record.pool},
            )
            return member
        known = member.record
        if record.incarnation < known.incarnation:
            return None
        heard_lately = now - member.heard_at < UNHEARD_S
        stale = listed and heard_lately and record.incarnation == known.incarnation
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
        return member
