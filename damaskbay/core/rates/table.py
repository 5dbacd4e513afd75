"""Which daemon of the own failure domain holds a group's shares."""

from damaskbay.core.rates.const import AVOID_MAX_S, AVOID_MIN_S, TIMEOUTS_TO_AVOID
from damaskbay.core.rates.node import rank
from damaskbay.ports.fleet import MemberView


class HolderTable:
    """
    Picks the live daemons with the highest ranks for each group.

    Asks go round among the group's holders. Daemons may disagree about who is
    one for a while: each then holds a share of its own.
    """

    def __init__(self, instance: str, groups: int, holders: int) -> None:
        self._instance = instance
        self._groups = groups
        self._holders = holders
        self._members: tuple[MemberView, ...] = ()
        self._ranked_by_group: dict[int, tuple[MemberView, ...]] = {}
        self._avoided_by_instance: dict[str, float] = {}
        self._avoid_s_by_instance: dict[str, float] = {}
        self._timeouts_by_instance: dict[str, int] = {}

    def update(self, members: tuple[MemberView, ...]) -> bool:
        """Take the live daemons; tell whether they changed."""
        if members == self._members:
            return False
        self._members = members
        self._ranked_by_group = {}
        return True

    def answered(self, instance: str) -> None:
        """Take note of an answer."""
        self._timeouts_by_instance.pop(instance, None)
        self._avoid_s_by_instance.pop(instance, None)

    def timed_out(self, instance: str, now: float) -> None:
        """Take note that no answer came in time; once may be chance."""
        timeouts = self._timeouts_by_instance.get(instance, 0) + 1
        self._timeouts_by_instance[instance] = timeouts
        if timeouts >= TIMEOUTS_TO_AVOID:
            self.avoid(instance, now)

    def avoid(self, instance: str, now: float) -> None:
        """Ask others for a while, longer each time: it cannot be reached."""
        self._timeouts_by_instance.pop(instance, None)
        avoid_s = self._avoid_s_by_instance.get(instance, AVOID_MIN_S)
        self._avoid_s_by_instance[instance] = min(avoid_s * 2, AVOID_MAX_S)
        self._avoided_by_instance[instance] = now + avoid_s

    def holder(self, group: int, now: float, turn: int = 0) -> MemberView | None:
        """
        Return the daemon to ask, or None for this one.

        `turn` is which of the group's holders to ask if it can be reached.
        """
        for member in self._asked_in_order(group, turn):
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
        holders = ranked[: self._holders]
        return not ranked or any(item.instance == self._instance for item in holders)

    def _asked_in_order(self, group: int, turn: int) -> tuple[MemberView, ...]:
        """Return the holder whose turn it is, the other holders, then others."""
        ranked = self._ranked(group)
        holders = ranked[: self._holders]
        first = turn % max(1, len(holders))
        return (*holders[first:], *holders[:first], *ranked[self._holders :])

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
