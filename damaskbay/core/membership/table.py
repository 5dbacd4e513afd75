"""Member entries of one failure domain, merged by precedence."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from damaskbay.core.membership.const import (
    DIGEST_BUCKETS,
    DIGEST_BYTES,
    MAX_MEMBERS,
)
from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress


@dataclass(frozen=True, slots=True)
class Record:
    """An entry, when it changed and when its server was first seen ready."""

    entry: MemberEntry
    changed_at: float
    ready_at: float


class MemberTable:
    """Entries by instance, and the instances that changed since the last read."""

    def __init__(self, failure_domain: str) -> None:
        self.by_instance: dict[str, Record] = {}
        self._changed: set[str] = set()
        self._failure_domain = failure_domain
        self._instance_by_address: dict[PeerAddress, str] = {}

    def apply(self, entry: MemberEntry, now: float) -> tuple[MemberEntry, ...]:
        """
        Merge one entry; return all changed entries, none if it is outdated.

        A daemon at the address of an older one displaces it. An older daemon that
        returns to an address in use by a newer one is ignored.
        """
        known = self.by_instance.get(entry.instance)
        if known is None and not self._can_add(entry):
            return ()
        if known is not None and entry.precedence <= known.entry.precedence:
            return ()
        displaced = self._displace_older(entry, now) if entry.live else ()
        if displaced is None:
            return ()
        self._store(entry, known, now)
        return (entry, *displaced)

    def update_load(self, entry: MemberEntry) -> None:
        """Update the load from an entry that the daemon itself sent."""
        known = self.by_instance.get(entry.instance)
        if known is None or known.entry.precedence != entry.precedence:
            return
        if known.entry.load != entry.load:
            self.by_instance[entry.instance] = replace(known, entry=entry)
            self._changed.add(entry.instance)

    def take_changed(self) -> set[str]:
        """Return the instances that changed since the last call, and reset them."""
        changed, self._changed = self._changed, set()
        return changed

    def mark_changed(self, instance: str) -> None:
        """Mark an instance whose view must be refreshed."""
        self._changed.add(instance)

    def restore(self, entry: MemberEntry, now: float) -> None:
        """Restore an earlier entry in place of a provisional conclusion."""
        self._store(entry, self.by_instance.get(entry.instance), now)

    def live(self) -> list[MemberEntry]:
        """Return the entries of daemons that are not dead."""
        return [item.entry for item in self.by_instance.values() if item.entry.live]

    def purge(self, now: float, *, tombstone_s: float) -> None:
        """Remove daemons that have been dead for `tombstone_s` seconds."""
        old = [
            item.entry
            for item in self.by_instance.values()
            if not item.entry.live and now - item.changed_at >= tombstone_s
        ]
        for entry in old:
            del self.by_instance[entry.instance]
            self._changed.add(entry.instance)
            if self._instance_by_address.get(entry.address) == entry.instance:
                del self._instance_by_address[entry.address]

    def digests(self) -> tuple[bytes, ...]:
        """Return one digest for each bucket of instances, over its live entries."""
        sums = [0] * DIGEST_BUCKETS
        for entry in self.live():
            text = f"{entry.instance}\0{entry.incarnation}\0{entry.version}"
            sums[bucket_of(entry.instance)] ^= _hash_number(text)
        return tuple(item.to_bytes(DIGEST_BYTES, "big") for item in sums)

    def in_buckets(self, buckets: Iterable[int]) -> tuple[MemberEntry, ...]:
        """Return the entries of some buckets, without those of crashed daemons."""
        wanted = frozenset(buckets)
        return tuple(
            item.entry
            for item in self.by_instance.values()
            if bucket_of(item.entry.instance) in wanted and _is_live_or_left(item.entry)
        )

    def _can_add(self, entry: MemberEntry) -> bool:
        is_local = entry.failure_domain == self._failure_domain
        return is_local and len(self.by_instance) < MAX_MEMBERS

    def _displace_older(
        self, entry: MemberEntry, now: float
    ) -> tuple[MemberEntry, ...] | None:
        """Mark an older daemon at the address as dead; None if a newer one is there."""
        instance = self._instance_by_address.get(entry.address, entry.instance)
        known = self.by_instance.get(instance)
        if instance == entry.instance or known is None:
            return ()
        if known.entry.incarnation > entry.incarnation:
            return None
        if not known.entry.live:
            return ()
        dead = replace(known.entry, status=Status.DEAD)
        self._store(dead, known, now)
        return (dead,)

    def _store(self, entry: MemberEntry, known: Record | None, now: float) -> None:
        ready_at = now
        if known is not None and _stayed_ready(known.entry, entry):
            ready_at = known.ready_at
        self.by_instance[entry.instance] = Record(entry, now, ready_at)
        if entry.live:
            self._instance_by_address[entry.address] = entry.instance
        self._changed.add(entry.instance)


def bucket_of(instance: str) -> int:
    """Return the digest bucket of an instance."""
    return _hash_number(instance) % DIGEST_BUCKETS


def _is_live_or_left(entry: MemberEntry) -> bool:
    return entry.live or entry.state is ServerState.GONE


def _hash_number(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def _stayed_ready(before: MemberEntry, after: MemberEntry) -> bool:
    same = before.incarnation == after.incarnation
    return same and before.state is ServerState.READY is after.state
