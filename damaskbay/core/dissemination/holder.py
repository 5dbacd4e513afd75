"""The set in force: only ever replaced by a whole, checked, higher version."""

from enum import Enum

from damaskbay.config.delta import Delta, apply_delta, make_delta
from damaskbay.config.document import Document, build
from damaskbay.config.exceptions import DeltaFailure, DeltaProblem
from damaskbay.config.objects import ConfigSet
from damaskbay.core.dissemination.messages import Parts, Push
from damaskbay.core.dissemination.parts import digests_of, join_parts, missing_parts


class Offer(Enum):
    """What became of an offered set."""

    TAKEN = "taken"
    OLD = "old"
    """The version is not above the one in force."""

    OTHER_BASE = "other_base"
    """The delta is for another set; the whole set has to be pulled."""

    INVALID = "invalid"
    """The set in force stays; `problem` says what is wrong."""


class Holder:
    """Holds one daemon's set. `previous` is the one before, for deltas."""

    def __init__(self) -> None:
        self.version = 0
        self.document: Document | None = None
        self.config: ConfigSet | None = None
        self.problem = ""
        self._previous: Document | None = None

    def offer(self, version: int, document: Document) -> Offer:
        """Take a whole set that was checked, if its version is higher."""
        if version <= self.version:
            return Offer.OLD
        self._previous = self.document
        self.version = version
        self.document = document
        self.config = build(document, version)
        self.problem = ""
        return Offer.TAKEN

    def offer_push(self, push: Push) -> Offer:
        """Take a set as what changed to it."""
        if push.version <= self.version:
            return Offer.OLD
        if self.document is None:
            return Offer.OTHER_BASE
        document = apply_delta(self.document, push.delta)
        if not isinstance(document, DeltaFailure):
            return self.offer(push.version, document)
        if document.problem is DeltaProblem.OTHER_BASE:
            return Offer.OTHER_BASE
        return self._refuse(push.version, document.detail)

    def offer_parts(self, parts: Parts) -> Offer:
        """Take a set as the parts that were asked for."""
        if parts.version <= self.version:
            return Offer.OLD
        document = join_parts(self.document, parts)
        if isinstance(document, str):
            return self._refuse(parts.version, document)
        return self.offer(parts.version, document)

    def delta(self) -> Delta | None:
        """Return what changed to the set in force from the one before."""
        if self.document is None or self._previous is None:
            return None
        return make_delta(self._previous, self.document)

    def part_digests(self) -> tuple[str, ...]:
        """Return the digests of the parts at hand."""
        return digests_of(self.document)

    def parts_for(self, known: tuple[str, ...]) -> Parts | None:
        """Return the parts of the set in force that an asking daemon lacks."""
        if self.document is None:
            return None
        return missing_parts(self.document, self.version, known)

    def _refuse(self, version: int, detail: str) -> Offer:
        self.problem = f"version {version} refused: {detail}"
        return Offer.INVALID
