"""Leaders and dissemination trees, computed from the live members alone."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from damaskbay.helpers.hashing import stable_digest
from damaskbay.ports.fleet import MemberView

LEADER_PURPOSE = "leaders"
"""Purpose shared by relays and delegates, so that the same few members are both."""


class Ranked(Protocol):
    """Item that can be ranked by rendezvous hash."""

    @property
    def instance(self) -> str:
        """Return the instance name."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the incarnation number, which is new on each start."""
        ...


T = TypeVar("T", bound=Ranked)


def rank_by_rendezvous_hash(members: Iterable[T], purpose: str) -> tuple[T, ...]:
    """Return the members by rendezvous hash for this purpose, highest first."""
    return tuple(
        sorted(members, key=lambda item: _hash_weight(item, purpose), reverse=True)
    )


class MemberOrder:
    """Leaders and tree positions of a tuple of members sorted by instance."""

    def __init__(self, own: str, purpose: str, leaders: int) -> None:
        self._local_instance = own
        self._purpose = purpose
        self._leader_count = leaders
        self._members: tuple[MemberView, ...] = ()
        self._index_by_instance: dict[str, int] = {}
        self.leaders: tuple[MemberView, ...] = ()

    def update(self, members: tuple[MemberView, ...]) -> None:
        """Update the live members; do nothing if the tuple object is the same."""
        if members is self._members:
            return
        self._members = members
        self.leaders = rank_by_rendezvous_hash(members, self._purpose)[
            : self._leader_count
        ]
        names = enumerate(member.instance for member in members)
        self._index_by_instance = {name: index for index, name in names}

    @property
    def members(self) -> tuple[MemberView, ...]:
        """Return the live members, sorted by instance."""
        return self._members

    @property
    def is_leader(self) -> bool:
        """Return whether this daemon is one of the leaders."""
        return any(member.instance == self._local_instance for member in self.leaders)

    def by_instance(self, instance: str) -> MemberView | None:
        """Return a live member by instance, None if it isn't live."""
        index = self._index_by_instance.get(instance)
        return None if index is None else self._members[index]

    def children(self, root: str, fanout: int) -> tuple[MemberView, ...]:
        """Return the children of this daemon in the tree rooted at `root`."""
        position = self._position(root)
        if position is None:
            return ()
        first = position * fanout + 1
        positions = range(first, min(first + fanout, len(self._members)))
        return tuple(self._member_at(position, root) for position in positions)

    def parent(self, root: str, fanout: int) -> MemberView | None:
        """Return the parent of this daemon in the tree rooted at `root`, or None."""
        position = self._position(root)
        if not position:
            return None
        return self._member_at((position - 1) // fanout, root)

    def _position(self, root: str) -> int | None:
        """Return the heap index of this daemon in the tree, None for a non-member."""
        root_index = self._index_by_instance.get(root)
        local_index = self._index_by_instance.get(self._local_instance)
        if root_index is None or local_index is None:
            return None
        return (local_index - root_index) % len(self._members)

    def _member_at(self, position: int, root: str) -> MemberView:
        root_index = self._index_by_instance[root]
        return self._members[(position + root_index) % len(self._members)]


def _hash_weight(member: Ranked, purpose: str) -> bytes:
    return stable_digest(purpose, member.instance, member.incarnation)
