"""Who relays and who is whose neighbour, from the live members alone."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from damaskbay.helpers.hashing import stable_digest
from damaskbay.ports.fleet import MemberView

LEADER_PURPOSE = "leaders"
"""Relays and delegates are the first of one order, so that they are the same few."""


class Ranked(Protocol):
    """What a member is ranked by."""

    @property
    def instance(self) -> str:
        """Return its name."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the number of its start."""
        ...


T = TypeVar("T", bound=Ranked)


def rank(members: Iterable[T], purpose: str) -> tuple[T, ...]:
    """Return the members by rendezvous hash, the highest first."""
    return tuple(sorted(members, key=lambda item: _weight(item, purpose), reverse=True))


class FleetOrder:
    """Caches what follows from one tuple of members, given sorted by instance."""

    def __init__(self, own: str, purpose: str, leaders: int) -> None:
        self._own = own
        self._purpose = purpose
        self._leaders = leaders
        self._members: tuple[MemberView, ...] = ()
        self._index_by_instance: dict[str, int] = {}
        self.leaders: tuple[MemberView, ...] = ()

    def update(self, members: tuple[MemberView, ...]) -> None:
        """Take the live members; cheap where they are the same tuple as before."""
        if members is self._members:
            return
        self._members = members
        self.leaders = rank(members, self._purpose)[: self._leaders]
        names = enumerate(member.instance for member in members)
        self._index_by_instance = {name: index for index, name in names}

    @property
    def members(self) -> tuple[MemberView, ...]:
        """Return the live members."""
        return self._members

    @property
    def leads(self) -> bool:
        """Tell whether this daemon is one of the leaders."""
        return any(member.instance == self._own for member in self.leaders)

    def by_instance(self, instance: str) -> MemberView | None:
        """Return a live member."""
        index = self._index_by_instance.get(instance)
        return None if index is None else self._members[index]

    def children(self, root: str, fanout: int) -> tuple[MemberView, ...]:
        """Return to whom this daemon hands on what came from `root`."""
        place = self._place(root)
        if place is None:
            return ()
        first = place * fanout + 1
        places = range(first, min(first + fanout, len(self._members)))
        return tuple(self._at(place, root) for place in places)

    def parent(self, root: str, fanout: int) -> MemberView | None:
        """Return whom this daemon asks for what `root` knows; None for the root."""
        place = self._place(root)
        if not place:
            return None
        return self._at((place - 1) // fanout, root)

    def _place(self, root: str) -> int | None:
        """Return the own place in the heap that starts at the root."""
        start = self._index_by_instance.get(root)
        own = self._index_by_instance.get(self._own)
        if start is None or own is None:
            return None
        return (own - start) % len(self._members)

    def _at(self, place: int, root: str) -> MemberView:
        start = self._index_by_instance[root]
        return self._members[(place + start) % len(self._members)]


def _weight(member: Ranked, purpose: str) -> bytes:
    return stable_digest(purpose, member.instance, member.incarnation)
