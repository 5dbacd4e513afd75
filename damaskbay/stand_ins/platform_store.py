"""An in-memory key-value store with revisions, compare-and-swap and leases."""

from dataclasses import dataclass

from damaskbay.const import MAX_PLATFORM_VALUE_BYTES
from damaskbay.ports.platform import Conflict, Entry, PlatformFailure, PlatformProblem


@dataclass(frozen=True, slots=True)
class _StoredEntry:
    entry: Entry
    expires_at: float | None


class PlatformStore:
    """
    Entries by key; all entries share one increasing revision counter.

    `now` is in seconds of any monotonic clock, the same for all methods.
    """

    def __init__(self) -> None:
        self._stored_by_key: dict[str, _StoredEntry] = {}
        self._revision = 0

    def get(self, key: str, now: float) -> Entry | None:
        """Return the entry, or None if it is absent or its lease has expired."""
        stored = self._stored_by_key.get(key)
        if stored is None:
            return None
        if stored.expires_at is not None and stored.expires_at <= now:
            del self._stored_by_key[key]
            return None
        return stored.entry

    def list(self, prefix: str, now: float) -> tuple[Entry, ...]:
        """Return the entries whose key starts with the prefix, in key order."""
        keys = sorted(key for key in self._stored_by_key if key.startswith(prefix))
        found = (self.get(key, now) for key in keys)
        return tuple(entry for entry in found if entry is not None)

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None,
        now: float,
    ) -> Entry | Conflict | PlatformFailure:
        """Write if the entry has the expected revision (0: absent)."""
        if len(value) > MAX_PLATFORM_VALUE_BYTES:
            detail = f"{len(value)} bytes exceed {MAX_PLATFORM_VALUE_BYTES}"
            return PlatformFailure(PlatformProblem.VALUE_TOO_LARGE, detail)
        current = self.get(key, now)
        if _revision_of(current) != expected_revision:
            return Conflict(current)
        self._revision += 1
        entry = Entry(key, value, self._revision)
        expires_at = None if lease_s is None else now + lease_s
        self._stored_by_key[key] = _StoredEntry(entry, expires_at)
        return entry

    def delete(
        self, key: str, *, expected_revision: int, now: float
    ) -> Entry | Conflict | None:
        """Delete if the entry has the expected revision; return None if absent."""
        current = self.get(key, now)
        if current is None:
            return None
        if current.revision != expected_revision:
            return Conflict(current)
        self._revision += 1
        del self._stored_by_key[key]
        return current


def _revision_of(entry: Entry | None) -> int:
    return 0 if entry is None else entry.revision
