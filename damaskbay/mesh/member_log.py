"""The members' records with the store's revisions, to send peers what has changed."""

from collections.abc import Mapping
from dataclasses import dataclass

from damaskbay.mesh.messages import MembersReply
from damaskbay.ports.store import epoch_of

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

    A new epoch begins with all records: what a peer knows of an earlier one may be
    lost without a removal that could be sent to it.
    """

    def __init__(self) -> None:
        self._entries_by_instance: dict[str, StoredRecord] = {}
        self._removed_at: dict[str, int] = {}
        self._complete_after = 0
        self.revision = 0

    def __contains__(self, instance: str) -> bool:
        """Return whether there is a record of an instance."""
        return instance in self._entries_by_instance

    def begins_epoch(self, revision: int) -> bool:
        """Return whether a revision is of a later epoch than the known records."""
        return bool(self.revision) and epoch_of(revision) > epoch_of(self.revision)

    def replace(
        self, records_by_instance: Mapping[str, StoredRecord], revision: int
    ) -> bool:
        """Replace all records by those at a revision; return False if it is older."""
        if revision < self.revision:
            return False
        begins_epoch = self.begins_epoch(revision)
        if not self.revision:
            self._complete_after = revision
        for instance in self._entries_by_instance.keys() - records_by_instance.keys():
            self.record_change(instance, None, revision)
        for instance, record in records_by_instance.items():
            self._entries_by_instance[instance] = record
            self._removed_at.pop(instance, None)
            self.revision = max(self.revision, record.revision)
        if begins_epoch:
            # An empty listing has no revision of its own.
            if epoch_of(self.revision) < epoch_of(revision):
                self.revision = revision
            self._complete_after = self.revision
        return True

    def record_change(self, instance: str, value: bytes | None, revision: int) -> bool:
        """Record a change, None for a removal; return whether it is a newer one."""
        entry = self._entries_by_instance.get(instance)
        known = entry.revision if entry else self._removed_at.get(instance, 0)
        if revision < known:
            return False
        self._removed_at.pop(instance, None)
        if value is None:
            self._entries_by_instance.pop(instance, None)
            self._removed_at[instance] = revision
            self._drop_oldest_removed()
        else:
            self._entries_by_instance[instance] = StoredRecord(value, revision)
        self.revision = max(self.revision, revision)
        return True

    def changes_after(self, revision: int) -> MembersReply:
        """Return the changes after a revision, or all records if some are unknown."""
        complete = revision < self._complete_after
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
