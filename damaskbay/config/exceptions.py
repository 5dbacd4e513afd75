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
