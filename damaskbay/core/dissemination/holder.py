"""The active configuration set, replaced only by a complete, valid, newer one."""

from enum import Enum

from damaskbay.config.delta import Delta, apply_delta, make_delta
from damaskbay.config.document import Document, build
from damaskbay.config.exceptions import DeltaFailure, DeltaProblem
from damaskbay.config.objects import ConfigSet
from damaskbay.core.dissemination.messages import Parts, Push
from damaskbay.core.dissemination.parts import (
    join_parts,
    missing_parts,
    part_digests_of,
)


class OfferResult(Enum):
    """Result of offering a configuration set."""

    ACTIVATED = "taken"
    OLD = "old"
    """The version is not above the active one."""

    OTHER_BASE = "other_base"
    """The delta applies to another set; the complete set must be pulled."""

    INVALID = "invalid"
    """The set is rejected and the active one stays; `problem` gives the reason."""


class ActiveConfig:
    """Active configuration set of a daemon, and the previous one for deltas."""

    def __init__(self) -> None:
        self.version = 0
        self.document: Document | None = None
        self.config: ConfigSet | None = None
        self.problem = ""
        self._previous: Document | None = None

    def offer(self, version: int, document: Document) -> OfferResult:
        """Activate a complete set that is already checked, if its version is higher."""
        if version <= self.version:
            return OfferResult.OLD
        self._previous = self.document
        self.version = version
        self.document = document
        self.config = build(document, version)
        self.problem = ""
        return OfferResult.ACTIVATED

    def offer_push(self, push: Push) -> OfferResult:
        """Activate the set that results from a pushed delta."""
        if push.version <= self.version:
            return OfferResult.OLD
        if self.document is None:
            return OfferResult.OTHER_BASE
        document = apply_delta(self.document, push.delta)
        if not isinstance(document, DeltaFailure):
            return self.offer(push.version, document)
        if document.problem is DeltaProblem.OTHER_BASE:
            return OfferResult.OTHER_BASE
        return self._reject(push.version, document.detail)

    def offer_parts(self, parts: Parts) -> OfferResult:
        """Activate the set that results from pulled parts."""
        if parts.version <= self.version:
            return OfferResult.OLD
        document = join_parts(self.document, parts)
        if isinstance(document, str):
            return self._reject(parts.version, document)
        return self.offer(parts.version, document)

    def delta(self) -> Delta | None:
        """Return the delta from the previous to the active set, None without both."""
        if self.document is None or self._previous is None:
            return None
        return make_delta(self._previous, self.document)

    def part_digests(self) -> tuple[str, ...]:
        """Return the digests of the parts of the active set."""
        return part_digests_of(self.document)

    def parts_for(self, known: tuple[str, ...]) -> Parts | None:
        """Return the parts of the active set whose digests aren't in `known`."""
        if self.document is None:
            return None
        return missing_parts(self.document, self.version, known)

    def _reject(self, version: int, detail: str) -> OfferResult:
        self.problem = f"version {version} refused: {detail}"
        return OfferResult.INVALID
