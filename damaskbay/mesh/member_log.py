"""The members' records with the store's revisions, to send peers what has changed."""

from collections.abc import Mapping
from dataclasses import dataclass

from damaskbay.mesh.messages import MembersReply
from damaskbay.ports.store import EPOCH_BITS, epoch_of

MAX_REMOVED = 1024
"""Removed members that are remembered; a peer that is further behind gets all."""


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A stored record and the revision of its last known change."""

    value: bytes
    revision: int


class MemberLog:
    """
    Stored records by instance, as of the change at `revision`; 0 if none was read.

    The revisions are the store's, so that a daemon can continue with the changes from
    any other one. Daemons that know the same changes have the same `revision`, also if
    one of them read the records and the other one watched them.

    A record that is the same in a new epoch keeps its revision, so that only what the
    store has lost is sent. A peer that knew more of the earlier epoch gets all records.
    """

    def __init__(self) -> None:
        self._entries_by_instance: dict[str, StoredRecord] = {}
        self._removed_at: dict[str, int] = {}
        self._complete_after = 0
        self._last_before_epoch = 0
        self.revision = 0

    def __contains__(self, instance: str) -> bool:
        """Return whether there is a record of an instance."""
        return instance in self._entries_by_instance

    def begin_epoch(self, revision: int) -> bool:
        """Begin the epoch of a revision that is to follow; return False if it is on."""
        last = self.revision
        if not last or epoch_of(revision) <= epoch_of(last):
            return False
        # What peers of still earlier epochs know can't be told any more.
        self._complete_after = max(self._complete_after, epoch_of(last) << EPOCH_BITS)
        self._last_before_epoch = last
        self.revision = epoch_of(revision) << EPOCH_BITS
        return True

    def replace(
        self, records_by_instance: Mapping[str, StoredRecord], revision: int
    ) -> bool:
        """Replace all records by those at a revision; return False if it is older."""
        if revision < self.revision:
            return False
        if not self.revision:
            self._complete_after = revision
        for instance in self._entries_by_instance.keys() - records_by_instance.keys():
            self.record_change(instance, None, revision)
        for instance, record in records_by_instance.items():
            self._store(instance, record)
        return True

    def record_change(self, instance: str, value: bytes | None, revision: int) -> bool:
        """Record a change, None for a removal; return whether it is a newer one."""
        entry = self._entries_by_instance.get(instance)
        known = entry.revision if entry else self._removed_at.get(instance, 0)
        if revision < known:
            return False
        if value is not None:
            self._store(instance, StoredRecord(value, revision))
            return True
        self._removed_at.pop(instance, None)
        self._entries_by_instance.pop(instance, None)
        self._removed_at[instance] = revision
        self._drop_oldest_removed()
        self.revision = max(self.revision, revision)
        return True

    def _store(self, instance: str, record: StoredRecord) -> None:
        known = self._entries_by_instance.get(instance)
        is_kept = (
            known is not None
            and known.value == record.value
            and epoch_of(known.revision) < epoch_of(record.revision)
        )
        if not is_kept:
            self._entries_by_instance[instance] = record
        self._removed_at.pop(instance, None)
        self.revision = max(self.revision, record.revision)

    def changes_after(self, revision: int) -> MembersReply:
        """Return the changes after a revision, or all records if some are unknown."""
        is_earlier = epoch_of(revision) < epoch_of(self.revision)
        complete = revision < self._complete_after or (
            is_earlier and revision > self._last_before_epoch
        )
        records = {
            instance: entry.value
            for instance, entry in self._entries_by_instance.items()
            if complete or entry.revision > revision
        }
        removed = (
            ()
            if complete
            else tuple(name for name, at in self._removed_at.items() if at > revision)
        )
        return MembersReply(self.revision, complete, records, removed)

    def _drop_oldest_removed(self) -> None:
        if len(self._removed_at) > MAX_REMOVED:
            oldest = next(iter(self._removed_at))
            self._complete_after = self._removed_at.pop(oldest)
