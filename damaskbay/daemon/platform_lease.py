"""One of a few keys in the platform, held by a lease."""

import itertools
from collections.abc import Callable

from damaskbay.core.dissemination.lease import HeldLease
from damaskbay.ports.platform import Conflict, Entry, Platform, PlatformFailure


class PlatformLease:
    """
    Tries to hold one of `keys`; belongs to one thread but for `holds`.

    Every write carries a value of its own, so that a write whose answer was lost
    is known again by reading.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        keys: tuple[str, ...],
        holder: str,
        held: HeldLease,
        lease_s: float,
        timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._keys = keys
        self._holder = holder
        self._held = held
        self._lease_s = lease_s
        self._timeout_s = timeout_s
        self._clock = clock
        self._writes = itertools.count(1)
        self._entry: Entry | None = None

    def holds(self) -> bool:
        """Tell whether the lease is held now, by the own clock."""
        return self._held.holds(self._clock())

    def renew(self) -> bool:
        """Hold on to the key, or take a free one; True where that was granted."""
        entry = self._entry
        if entry is not None and self._write(entry.key, entry.revision):
            return True
        return any(self._take(key) for key in self._keys)

    def release(self) -> None:
        """Give the key back, best effort."""
        entry, self._entry = self._entry, None
        self._held.drop()
        if entry is not None:
            self._platform.delete(
                entry.key, expected_revision=entry.revision, timeout_s=self._timeout_s
            )

    def _take(self, key: str) -> bool:
        found = self._platform.get(key, timeout_s=self._timeout_s)
        if isinstance(found, PlatformFailure):
            return False
        if found is None:
            return self._write(key, 0)
        if self._is_own(found):
            return self._write(key, found.revision)
        return False

    def _write(self, key: str, revision: int) -> bool:
        asked_at = self._clock()
        value = f"{self._holder}/{next(self._writes)}".encode()
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
            self._held.granted(asked_at)
            return True
        if isinstance(result, Conflict | None):
            self._entry = None
        return False

    def _is_own(self, entry: Entry) -> bool:
        return entry.value.decode(errors="replace").startswith(f"{self._holder}/")
