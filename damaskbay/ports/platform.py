"""Port to the platform's key-value service: compare-and-swap, leases, watches."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class PlatformProblem(Enum):
    """Why the platform gave no usable answer."""

    UNAVAILABLE = "unavailable"
    """The call surely had no effect."""

    ANSWER_LOST = "answer_lost"
    """The call may have taken effect: read before trying again."""

    VALUE_TOO_LARGE = "value_too_large"
    BUSY = "busy"
    """The service refused for load; the call had no effect."""


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """A call that brought no answer."""

    problem: PlatformProblem
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Entry:
    """One value with the revision of its last change (revisions only grow)."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The compare-and-swap lost; `current` is what stands there (None: nothing)."""

    current: Entry | None


class Platform(Protocol):
    """The platform's key-value service. Every method blocks up to `timeout_s`."""

    def get(self, key: str, *, timeout_s: float) -> Entry | PlatformFailure | None:
        """Return the entry, or None where there is none."""
        ...

    def list(
        self, prefix: str, *, timeout_s: float
    ) -> tuple[Entry, ...] | PlatformFailure:
        """Return all entries whose key starts with the prefix, in key order."""
        ...

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None = None,
        timeout_s: float,
    ) -> Entry | Conflict | PlatformFailure:
        """
        Write if the entry's revision is the expected one; 0 means absent.

        With `lease_s` the entry is deleted when not written again in that time.
        """
        ...

    def delete(
        self, key: str, *, expected_revision: int, timeout_s: float
    ) -> Entry | Conflict | PlatformFailure | None:
        """Delete if the entry's revision is the expected one."""
        ...

    def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> Entry | PlatformFailure | None:
        """Wait until the entry's revision exceeds the given one; None: time is up."""
        ...
