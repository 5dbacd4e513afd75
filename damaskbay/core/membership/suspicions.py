"""Suspected members, and conclusions made while no datagrams were received."""

from dataclasses import dataclass

from damaskbay.core.membership.entry import MemberEntry, Status

Precedence = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspected entry; the member is dead at `ends_at` unless it is superseded."""

    instance: str
    precedence: Precedence
    ends_at: float


class Suspicions:
    """
    Suspicions by instance, and the entries that provisional conclusions replaced.

    A conclusion is provisional if this member had received no datagram at all for a
    whole probe timeout, since the fault may then be its own. It is not sent to other
    members and is undone when the next datagram arrives.
    """

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._by_instance: dict[str, Suspicion] = {}
        self._replaced_by_instance: dict[str, MemberEntry] = {}

    def update(self, entry: MemberEntry, now: float) -> None:
        """Start or end the suspicion of an instance according to its newest entry."""
        self._by_instance.pop(entry.instance, None)
        if entry.status is Status.SUSPECT:
            suspicion = Suspicion(
                entry.instance, entry.precedence, now + self._suspicion_s
            )
            self._by_instance[entry.instance] = suspicion

    def end(self, instance: str) -> None:
        """End the suspicion of an instance."""
        self._by_instance.pop(instance, None)

    def take_due(self, now: float) -> list[Suspicion]:
        """Remove and return the suspicions that have timed out."""
        due = [item for item in self._by_instance.values() if now >= item.ends_at]
        for item in due:
            del self._by_instance[item.instance]
        return due

    def clear(self) -> None:
        """Remove all suspicions."""
        self._by_instance.clear()

    def record_provisional(self, replaced: MemberEntry) -> None:
        """Record the entry that a provisional conclusion replaces."""
        self._replaced_by_instance.setdefault(replaced.instance, replaced)

    def is_provisional(self, instance: str) -> bool:
        """Return whether an instance is suspect or dead only provisionally."""
        return instance in self._replaced_by_instance

    def take_provisional(self) -> list[MemberEntry]:
        """Remove and return the entries that provisional conclusions replaced."""
        entries = list(self._replaced_by_instance.values())
        self._replaced_by_instance.clear()
        return entries
