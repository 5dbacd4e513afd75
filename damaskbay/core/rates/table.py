"""Which daemon of the own failure domain holds a group's shares."""

from damaskbay.core.rates.const import HOLDER_AVOID_S
from damaskbay.core.rates.node import rank
from damaskbay.ports.fleet import MemberView


class HolderTable:
    """
    Picks the live daemon with the highest rank for each group.

    Daemons may disagree for a while: each then holds a share of its own.
    """

    def __init__(self, instance: str, groups: int) -> None:
        self._instance = instance
        self._groups = groups
        self._members: tuple[MemberView, ...] = ()
        self._ranked_by_group: dict[int, tuple[MemberView, ...]] = {}
        self._avoided_by_instance: dict[str, float] = {}

    def update(self, members: tuple[MemberView, ...]) -> bool:
        """Take the live daemons; tell whether they changed."""
        if members == self._members:
            return False
        self._members = members
        self._ranked_by_group = {}
        return True

    def avoid(self, instance: str, now: float) -> None:
        """Ask others for a while: this daemon did not answer."""
        self._avoided_by_instance[instance] = now + HOLDER_AVOID_S

    def holder(self, group: int, now: float) -> MemberView | None:
        """Return the daemon to ask, or None for this one."""
        for member in self._ranked(group):
            if member.instance == self._instance:
                return None
            if self._avoided_by_instance.get(member.instance, now) <= now:
                return member
        return None

    def roles(self) -> frozenset[int]:
        """Return the groups that this daemon is to hold."""
        own = [group for group in range(self._groups) if self._is_own(group)]
        return frozenset(own)

    def _is_own(self, group: int) -> bool:
        ranked = self._ranked(group)
        return not ranked or ranked[0].instance == self._instance

    def _ranked(self, group: int) -> tuple[MemberView, ...]:
        ranked = self._ranked_by_group.get(group)
        if ranked is None:
            ordered = sorted(
                self._members,
                key=lambda member: rank(group, member.instance),
                reverse=True,
            )
            ranked = tuple(ordered)
            self._ranked_by_group[group] = ranked
        return ranked
