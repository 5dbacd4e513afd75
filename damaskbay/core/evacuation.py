"""The failure domains that the operator has evacuated, as far as this daemon knows."""

from collections.abc import Iterable
from dataclasses import dataclass

ACTIVE_AFTER_END_S = 60.0
"""Time for which the end of the last evacuation is still told to others, in seconds."""


@dataclass(frozen=True, slots=True)
class EvacuationState:
    """The evacuated domains, and the store's revision at which they are known."""

    revision: int = 0
    domains: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class DomainChange:
    """A change of one domain in the store at a revision, in the order of the store."""

    domain: str
    revision: int
    evacuated: bool


class EvacuatedDomains:
    """
    Holds the newest known state; a state of a higher revision replaces it.

    A state from the store and one from a peer are treated alike, so it does not matter
    in which order they arrive. It holds a few domains of a deployment at any fleet
    size. Times are in seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self.state = EvacuationState()
        self._changed_at: float | None = None

    def replace(self, state: EvacuationState, now: float) -> bool:
        """Take a state if it is newer; return whether it has other domains."""
        if state.revision <= self.state.revision:
            return False
        changed = state.domains != self.state.domains
        self.state = state
        if changed:
            self._changed_at = now
        return changed

    def read_all(self, domains: Iterable[str], revision: int, now: float) -> bool:
        """Take all domains in the store; return whether they are others than before."""
        return self.replace(EvacuationState(revision, frozenset(domains)), now)

    def read_changes(self, changes: Iterable[DomainChange], now: float) -> bool:
        """
        Take changes of the store; return whether the domains are others than before.

        Changes that were written together have the same revision.
        """
        domains, revision = set(self.state.domains), self.state.revision
        for change in changes:
            if change.revision <= self.state.revision:
                continue
            revision = max(revision, change.revision)
            if change.evacuated:
                domains.add(change.domain)
            else:
                domains.discard(change.domain)
        return self.read_all(domains, revision, now)

    def is_active(self, now: float) -> bool:
        """Return whether peers are to be told: until a while after the last one."""
        if self.state.domains:
            return True
        changed_at = self._changed_at
        return changed_at is not None and now - changed_at < ACTIVE_AFTER_END_S
