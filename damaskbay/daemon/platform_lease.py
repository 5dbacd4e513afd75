"""A lease on one of a few keys in the platform."""

import itertools
from collections.abc import Callable

from damaskbay.core.dissemination.lease import HeldLease
from damaskbay.ports.platform import Conflict, Entry, Platform, PlatformFailure


class PlatformLease:
    """
    Lease on the first free key of `keys`. Only `holds` is thread-safe.

    Every write has a unique value, so that a write whose reply was lost can be
    recognised by reading the key.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        keys: tuple[str, ...],
        holder: str,
        held_lease: HeldLease,
        lease_s: float,
        timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._keys = keys
        self._holder = holder
        self._held_lease = held_lease
        self._lease_s = lease_s
        self._timeout_s = timeout_s
        self._clock = clock
        self._write_numbers = itertools.count(1)
        self._entry: Entry | None = None

    def holds(self) -> bool:
        """Return whether the lease is held now, by the local clock."""
        return self._held_lease.is_held(self._clock())

    def renew(self) -> bool:
        """Renew the key, or acquire a free one; return whether a lease was granted."""
        entry = self._entry
        if entry is not None and self._write(entry.key, entry.revision):
            return True
        return any(self._acquire(key) for key in self._keys)

    def release(self) -> None:
        """Drop the lease and delete its key; ignore a failure of the platform."""
        entry, self._entry = self._entry, None
        self._held_lease.drop()
        if entry is not None:
            self._platform.delete(
                entry.key, expected_revision=entry.revision, timeout_s=self._timeout_s
            )

    def _acquire(self, key: str) -> bool:
        found = self._platform.get(key, timeout_s=self._timeout_s)
        if isinstance(found, PlatformFailure):
            return False
        if found is None:
            return self._write(key, 0)
        if self._has_own_value(found):
            return self._write(key, found.revision)
        return False

    def _write(self, key: str, revision: int) -> bool:
        requested_at = self._clock()
        value = f"{self._holder}/{next(self._write_numbers)}".encode()
        result: Entry | Conflict | PlatformFailure | None
        result = self._platform.compare_and_swap(
            key,
            value,
            expected_revision=revision,
            lease_s=self._lease_s,
            timeout_s=self._timeout_s,
        )
        if isinstance(result, PlatformFailure):
            result = self._platform.get(key, timeout_s=self._timeout_s)
        if isinstance(result, Entry) and result.value == value:
            self._entry = result
            self._held_lease.record_grant(requested_at)
            return True
        if isinstance(result, Conflict | None):
            self._entry = None
        return False

    def _has_own_value(self, entry: Entry) -> bool:
        return entry.value.decode(errors="replace").startswith(f"{self._holder}/")
