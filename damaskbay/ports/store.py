"""Asynchronous port to the platform's store, for the event-driven daemon."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

EPOCH_BITS = 40
"""Bits of a revision below its epoch; a store never issues that many in one epoch."""


def epoch_of(revision: int) -> int:
    """Return the epoch of a revision: it rises when the store loses revisions."""
    return revision >> EPOCH_BITS


class StoreProblem(Enum):
    """Reason why a store request has no usable reply."""

    UNAVAILABLE = "unavailable"
    """The request certainly had no effect."""

    UNANSWERED = "unanswered"
    """The request may have taken effect, or may still take effect later."""

    BUSY = "busy"
    """The store refused the request because of overload; it had no effect."""

    COMPACTED = "compacted"
    """
    The requested history has been removed; read the current items again.

    The same if the requested revision is of an earlier epoch.
    """

    NO_LEASE = "no_lease"
    """The lease has ended, or is of an earlier epoch."""


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Result of a request without a usable reply."""

    problem: StoreProblem
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One value with the revision of its last change; None if it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Items or changes, complete up to and including a revision of the store."""

    items: tuple[StoreItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """Failed precondition; `revision` is the current one, 0 if the key is absent."""

    revision: int


class Store(Protocol):
    """
    Store with linearizable reads, watches, conditional writes and leases.

    It may be restored from a snapshot, which begins a new epoch: later writes and all
    leases are lost. Revisions still never go back, and leases of an earlier epoch are
    never mistaken for those of the current one.
    """

    @property
    def epoch(self) -> int:
        """Return the current epoch as far as it is known, at first 0."""
        ...

    async def read(self, prefix: str) -> StoreSnapshot | StoreFailure:
        """Return all items whose key starts with the prefix."""
        ...

    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> StoreSnapshot | StoreFailure:
        """Wait for changes after a revision; return no items after `wait_s` seconds."""
        ...

    async def write(
        self, key: str, value: bytes, *, expected: int, lease: int
    ) -> int | StoreConflict | StoreFailure:
        """Write if the key has the expected revision; return the new revision."""
        ...

    async def create_lease(self, ttl_s: float) -> int | StoreFailure:
        """Create a lease of `ttl_s` seconds and return its id."""
        ...

    async def renew_lease(self, lease: int) -> StoreFailure | None:
        """Renew a lease."""
        ...
