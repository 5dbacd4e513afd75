"""Failures of the configuration layer, as sentinel values."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Problem:
    """
    One fault of a set.

    `object_kind` and `name` are empty where the fault is of the whole document,
    `field` where it is of the whole object. `what` says what is wrong, `mend` how
    to put it right.
    """

    object_kind: str
    name: str
    field: str
    what: str
    mend: str

    def __str__(self) -> str:
        place = "/".join(part for part in (self.object_kind, self.name) if part)
        at = f"{place or 'document'}{f' {self.field}' if self.field else ''}"
        return f"{at}: {self.what}. {self.mend}"


Problems = tuple[Problem, ...]


class DeltaProblem(Enum):
    """Why a delta was not applied."""

    OTHER_BASE = "other_base"
    """It was made for another set than the one at hand."""

    INVALID = "invalid"
    DIGEST_MISMATCH = "digest_mismatch"


@dataclass(frozen=True, slots=True)
class DeltaFailure:
    """A delta that was not applied; the set at hand is unchanged."""

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
    A head or a set that could not be read; there is never half a set.

    `revision` is the platform's of a record that is damaged, else 0.
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
    """Nothing was published; what stood in force still does."""

    problem: PublishProblem
    detail: str = ""
    problems: Problems = ()


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """
    The answer was lost and could not be read back in time.

    The set may be published or not. Publishing again with the same publish id
    settles it and never publishes twice.
    """

    publish_id: str
    detail: str = ""
