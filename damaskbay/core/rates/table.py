"""Selection of the daemons of the local failure domain that hold a group."""

from damaskbay.core.rates.const import AVOID_AFTER_TIMEOUTS, AVOID_MAX_S, AVOID_MIN_S
from damaskbay.core.rates.node import rank
from damaskbay.ports.fleet import MemberView


class HolderTable:
    """
    Table of each group's holders: the live daemons with the highest ranks.

    Requests rotate over the holders of a group. Daemons may disagree about the
    holders for a while; each holder then has a share of its own.
    """

    def __init__(self, instance: str, groups: int, holders: int) -> None:
        self._instance = instance
        self._groups = groups
        self._holders = holders
        self._members: tuple[MemberView, ...] = ()
        self._ranked_by_group: dict[int, tuple[MemberView, ...]] = {}
        self._avoided_until_by_instance: dict[str, float] = {}
        self._backoff_s_by_instance: dict[str, float] = {}
        self._timeouts_by_instance: dict[str, int] = {}

    def update(self, members: tuple[MemberView, ...]) -> bool:
        """Set the live daemons; return whether they changed."""
        if members == self._members:
            return False
        self._members = members
        self._ranked_by_group = {}
        return True

    def answered(self, instance: str) -> None:
        """Record a reply, which ends any avoidance backoff."""
        self._timeouts_by_instance.pop(instance, None)
        self._backoff_s_by_instance.pop(instance, None)

    def timed_out(self, instance: str, now: float) -> None:
        """Record a request timeout; avoid the daemon after several in a row."""
        timeouts = self._timeouts_by_instance.get(instance, 0) + 1
        self._timeouts_by_instance[instance] = timeouts
        if timeouts >= AVOID_AFTER_TIMEOUTS:
            self.avoid(instance, now)

    def avoid(self, instance: str, now: float) -> None:
        """Avoid an unreachable daemon, with exponential backoff."""
        self._timeouts_by_instance.pop(instance, None)
        backoff_s = self._backoff_s_by_instance.get(instance, AVOID_MIN_S)
        self._backoff_s_by_instance[instance] = min(backoff_s * 2, AVOID_MAX_S)
        self._avoided_until_by_instance[instance] = now + backoff_s

    def holder(self, group: int, now: float, turn: int = 0) -> MemberView | None:
        """
        Return the daemon to send requests to, or None for this one.

        `turn` is the index of the preferred holder in the group.
        """
        for member in self._by_preference(group, turn):
            if member.instance == self._instance:
                return None
            if self._avoided_until_by_instance.get(member.instance, now) <= now:
                return member
        return None

    def roles(self) -> frozenset[int]:
        """Return the groups that this daemon is a holder of."""
        held_groups = [group for group in range(self._groups) if self._is_holder(group)]
        return frozenset(held_groups)

    def _is_holder(self, group: int) -> bool:
        """Return whether this daemon is a holder; true while no member is known."""
        ranked = self._ranked(group)
        holders = ranked[: self._holders]
        return not ranked or any(item.instance == self._instance for item in holders)

    def _by_preference(self, group: int, turn: int) -> tuple[MemberView, ...]:
        """Return the daemons by preference: holders from `turn` on, then all others."""
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
