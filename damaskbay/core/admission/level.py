"""The admission level: which part of the arriving calls a server can take."""

from damaskbay.core.admission.const import (
    LEVEL_FIRST_RAISE,
    LEVEL_HEADROOM,
    LEVEL_HOLD_S,
    LEVEL_LONGEST_WINDOW_S,
    LEVEL_LOWEST,
    LEVEL_STEPS_PER_RANK,
    LEVEL_WINDOW_CALLS,
    LEVEL_WINDOW_S,
)

OPEN_LEVEL = 1_000_000
"""Every call is welcome."""


def pass_share(level: int, rank: int) -> float:
    """
    Return the share of calls of a rank that a level lets pass, 0 to 1.

    A level of 2,300 takes all calls of ranks 0 and 1, three in ten of rank 2
    and none of the others.
    """
    return min(1.0, max(0.0, level / LEVEL_STEPS_PER_RANK - rank))


class LevelMeter:
    """
    Finds the level at which rather too many calls arrive than too few.

    The queue decides exactly who runs, so early refusal only sheds the bulk: the
    level is lowered where arrivals exceed starts by more than the headroom, left
    alone where some are refused, and raised, faster and faster, where none are.
    """

    def __init__(self, now: float, headroom: float = LEVEL_HEADROOM) -> None:
        self._headroom = headroom
        self._level = OPEN_LEVEL
        self._raise = LEVEL_FIRST_RAISE
        self._held_until = now
        self._highest_rank = 0
        self._begin(now)

    def value(self) -> int:
        """Return the level."""
        return self._level

    def offered(self, rank: int) -> None:
        """Count an arrival."""
        self._offered_by_rank[rank] = self._offered_by_rank.get(rank, 0) + 1
        self._highest_rank = max(self._highest_rank, rank)

    def started(self) -> None:
        """Count a start."""
        self._started += 1

    def refused(self) -> None:
        """Count a refusal for want of capacity."""
        self._refused += 1

    def update(self, now: float) -> None:
        """Move the level when a window is over; call at least a few times a second."""
        elapsed_s = now - self._since
        if elapsed_s < LEVEL_WINDOW_S:
            return
        few = sum(self._offered_by_rank.values()) < LEVEL_WINDOW_CALLS
        if self._refused and few and elapsed_s < LEVEL_LONGEST_WINDOW_S:
            return
        if self._refused:
            self._lower(now)
        elif self._level != OPEN_LEVEL:
            self._lift()
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._since = now
        self._offered_by_rank: dict[int, int] = {}
        self._started = 0
        self._refused = 0

    def _lower(self, now: float) -> None:
        self._raise = LEVEL_FIRST_RAISE
        if now < self._held_until:
            return
        cut = self._cut()
        if cut < self._level:
            self._held_until = now + LEVEL_HOLD_S
            self._level = max(LEVEL_LOWEST, cut)

    def _cut(self) -> int:
        """Return the level whose part of the arrivals is the starts and headroom."""
        wanted = self._started * self._headroom + 1.0
        for rank, count in sorted(self._offered_by_rank.items()):
            if count > wanted:
                share = pass_share(self._level, rank) * wanted / count
                return int((rank + share) * LEVEL_STEPS_PER_RANK)
            wanted -= count
        return self._level

    def _lift(self) -> None:
        self._level += self._raise
        self._raise = min(2 * self._raise, LEVEL_STEPS_PER_RANK)
        if self._level >= (self._highest_rank + 1) * LEVEL_STEPS_PER_RANK:
            self._level = OPEN_LEVEL
