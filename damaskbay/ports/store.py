"""Port to the platform's store as the event-driven daemon uses it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class StoreProblem(Enum):
    """Why the store gave no usable answer."""

    UNAVAILABLE = "unavailable"
    """Nothing was done."""

    UNANSWERED = "unanswered"
    """The call may have been done, or may be done later."""

    BUSY = "busy"
    """The store refused for load; nothing was done."""

    COMPACTED = "compacted"
    """The history asked for is no longer there: read anew."""

    NO_LEASE = "no_lease"
    """The lease has ended."""


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call that brought no usable answer."""

    problem: StoreProblem
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One value with the revision of its last change; `value` None: removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoreReading:
    """Items or changes, and the store's revision that they are complete up to."""

    items: tuple[StoreItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """The precondition did not hold; the revision now there, 0 for none."""

    revision: int


class Store(Protocol):
    """Linearizable reads, watches, conditional writes and leases."""

    async def read(self, prefix: str) -> StoreReading | StoreFailure:
        """Return all items whose key starts with the prefix."""
        ...

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> StoreReading | StoreFailure:
        """Wait for changes after a revision; no items: time is up."""
        ...

    async def write(
        self, key: str, value: bytes, *, expected: int, lease: int
    ) -> int | StoreConflict | StoreFailure:
        """Write if the key's revision is the expected one; return the new one."""
        ...

    async def grant(self, ttl_s: float) -> int | StoreFailure:
        """Return a new lease."""
        ...

    async def keep(self, lease: int) -> StoreFailure | None:
        """Renew a lease."""
        ...
