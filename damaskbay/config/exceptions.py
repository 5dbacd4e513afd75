"""Failures of the configuration layer; they are returned, not raised."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Problem:
    """
    One problem of a set.

    `object_kind` and `name` are empty if the problem concerns the complete
    document, `field` if it concerns a complete object. `what` describes the
    problem, `mend` the remedy.
    """

    object_kind: str
    name: str
    field: str
    what: str
    mend: str

    def __str__(self) -> str:
        object_path = "/".join(part for part in (self.object_kind, self.name) if part)
        location = (
            f"{object_path or 'document'}{f' {self.field}' if self.field else ''}"
        )
        return f"{location}: {self.what}. {self.mend}"


Problems = tuple[Problem, ...]


class DeltaProblem(Enum):
    """Why a delta was not applied."""

    OTHER_BASE = "other_base"
    """The delta was made for a set other than the local one."""

    INVALID = "invalid"
    DIGEST_MISMATCH = "digest_mismatch"


@dataclass(frozen=True, slots=True)
class DeltaFailure:
    """A delta that was not applied; the local set is unchanged."""

    problem: DeltaProblem
    detail: str = ""
    problems: Problems = ()


class LoadProblem(Enum):
    """Why a set could not be read from the platform."""

    UNAVAILABLE = "unavailable"
    DAMAGED_HEAD = "damaged_head"
    MISSING_PART = "missing_part"
    DAMAGED_PART = "damaged_part"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class LoadFailure:
    """
    A head or set that could not be read; partial sets are never returned.

    `revision` is the platform's revision of a damaged record, else 0.
    """

    problem: LoadProblem
    detail: str = ""
    problems: Problems = ()
    revision: int = 0


class PublishProblem(Enum):
    """Why nothing was published."""

    UNAVAILABLE = "unavailable"
    INVALID = "invalid"
    TOO_LARGE = "too_large"
    UNREADABLE_HEAD = "unreadable_head"


@dataclass(frozen=True, slots=True)
class PublishFailure:
    """Nothing was published; the active version is unchanged."""

    problem: PublishProblem
    detail: str = ""
    problems: Problems = ()


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """
    The platform's reply was lost and the outcome could not be read in time.

    The set may or may not be published. Publishing again with the same publish id
    finds out and never publishes twice.
    """

    publish_id: str
    detail: str = ""
