"""Port to the platform's key-value service: compare-and-swap, leases, watches."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class PlatformProblem(Enum):
    """Reason why a platform request has no usable reply."""

    UNAVAILABLE = "unavailable"
    """The request certainly had no effect."""

    ANSWER_LOST = "answer_lost"
    """The request may have taken effect; read the entry before a retry."""

    VALUE_TOO_LARGE = "value_too_large"
    BUSY = "busy"
    """The service refused the request because of overload; it had no effect."""


@dataclass(frozen=True, slots=True)
class PlatformFailure:
    """Result of a request without a usable reply."""

    problem: PlatformProblem
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Entry:
    """One value with the revision of its last change; revisions only increase."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Failed compare-and-swap; `current` is the stored entry, None if absent."""

    current: Entry | None


class Platform(Protocol):
    """The platform's key-value service. Every method blocks up to `timeout_s`."""

    def get(self, key: str, *, timeout_s: float) -> Entry | PlatformFailure | None:
        """Return the entry, or None if it does not exist."""
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
        Write if the entry has the expected revision; 0 means that it is absent.

        With `lease_s`, the entry is deleted unless it is written again within that
        number of seconds.
        """
        ...

    def delete(
        self, key: str, *, expected_revision: int, timeout_s: float
    ) -> Entry | Conflict | PlatformFailure | None:
        """Delete the entry if it has the expected revision."""
        ...

    def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> Entry | PlatformFailure | None:
        """Wait for a revision above `after_revision`; return None after `timeout_s`."""
        ...
