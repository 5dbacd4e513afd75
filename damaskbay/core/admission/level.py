"""The admission level: the share of arriving calls that a server can handle."""

from damaskbay.core.admission.const import (
    LEVEL_DECREASE_INTERVAL_S,
    LEVEL_DRAIN_SHARE,
    LEVEL_FIRST_INCREASE,
    LEVEL_HEADROOM,
    LEVEL_MAX_WINDOW_S,
    LEVEL_MIN,
    LEVEL_MIN_WINDOW_CALLS,
    LEVEL_MIN_WINDOW_S,
    LEVEL_STEPS_PER_RANK,
)

DECREASE_SHARE = 0.5
"""Share of nested calls with a long wait from which the level decreases: the median."""

HOLD_SHARE = 0.2
"""Share of nested calls with a long wait from which the level does not increase."""

SLOW_SHARE = 0.05
"""Share of nested calls with a long wait from which it increases in small steps."""

BUSY_SHARE = 0.7
"""Part of the starts of a full server from which it increases in small steps."""

OPEN_LEVEL = 1_000_000
"""The level that admits every call."""


def pass_share(level: int, rank: int) -> float:
    """
    Return the share of calls of a rank that a level admits, 0 to 1.

    A level of 2,300 admits all calls of ranks 0 and 1, 30% of rank 2 and none of
    the lower ranks.
    """
    return min(1.0, max(0.0, level / LEVEL_STEPS_PER_RANK - rank))


class LevelController:
    """
    Adjusts the admission level so that slightly more calls arrive than can start.

    The queue makes the exact choice, so callers need to shed only the bulk of the
    excess. The level decreases when arrivals exceed starts by more than the
    headroom, stays when a few calls are refused, and increases in growing steps
    when none are.

    With `wait_share`, the level also decreases, below what starts, while the median
    wait of nested calls is more than this part of the time that they usually take.
    """

    def __init__(
        self,
        now: float,
        headroom: float = LEVEL_HEADROOM,
        wait_share: float | None = None,
    ) -> None:
        self._headroom = headroom
        self._wait_share = wait_share
        self._full_starts_per_s = 0.0
        self._level = OPEN_LEVEL
        self._increase_step = LEVEL_FIRST_INCREASE
        self._decrease_not_before = now
        self._highest_rank = 0
        self._start_window(now)

    def value(self) -> int:
        """Return the current admission level."""
        return self._level

    def record_arrival(self, rank: int) -> None:
        """Count an arriving call of this rank."""
        self._arrivals_by_rank[rank] = self._arrivals_by_rank.get(rank, 0) + 1
        self._highest_rank = max(self._highest_rank, rank)

    def record_start(self) -> None:
        """Count a started call."""
        self._started += 1

    def record_wait(self, waited_s: float, usual_s: float) -> None:
        """Count the wait of a nested call that starts; it usually takes `usual_s`."""
        if self._wait_share is None:
            return
        self._waits += 1
        self._long_waits += waited_s > self._wait_share * usual_s

    def record_refusal(self) -> None:
        """Count a refusal for lack of capacity."""
        self._refused += 1

    def update(self, now: float) -> None:
        """Adjust the level at the end of a window; call it a few times per second."""
        elapsed_s = now - self._window_start
        if elapsed_s < LEVEL_MIN_WINDOW_S:
            return
        few_arrivals = sum(self._arrivals_by_rank.values()) < LEVEL_MIN_WINDOW_CALLS
        has_long_waits = self._long_waits > DECREASE_SHARE * self._waits
        lacks_room = bool(self._refused) or has_long_waits
        if lacks_room and few_arrivals and elapsed_s < LEVEL_MAX_WINDOW_S:
            return
        # A burst of a few calls that wait for each other is no overload.
        has_long_waits &= self._waits >= LEVEL_MIN_WINDOW_CALLS
        if has_long_waits:
            self._full_starts_per_s = self._started / elapsed_s
        if self._refused or has_long_waits:
            self._decrease(now, LEVEL_DRAIN_SHARE if has_long_waits else 1.0)
        elif self._level != OPEN_LEVEL:
            self._increase_by_waits(elapsed_s)
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._arrivals_by_rank: dict[int, int] = {}
        self._started = 0
        self._refused = 0
        self._waits = 0
        self._long_waits = 0

    def _decrease(self, now: float, share: float) -> None:
        self._increase_step = LEVEL_FIRST_INCREASE
        if now < self._decrease_not_before:
            return
        lowered = self._level_for_starts(share)
        if lowered < self._level:
            self._decrease_not_before = now + LEVEL_DECREASE_INTERVAL_S
            self._level = max(LEVEL_MIN, lowered)

    def _level_for_starts(self, share: float) -> int:
        """Return the level that would admit a share of the starts plus headroom."""
        target_count = share * self._started * self._headroom
        if share >= 1.0:
            target_count += 1.0
        for rank, count in sorted(self._arrivals_by_rank.items()):
            if count > target_count:
                share = pass_share(self._level, rank) * target_count / count
                return int((rank + share) * LEVEL_STEPS_PER_RANK)
            target_count -= count
        return self._level

    def _increase_by_waits(self, elapsed_s: float) -> None:
        """
        Increase the level, unless many calls wait although the median doesn't.

        Calls follow the level only after the time of a whole tree, so that fast steps
        would fill the queue of a busy server again.
        """
        if self._long_waits > HOLD_SHARE * self._waits:
            self._increase_step = LEVEL_FIRST_INCREASE
            return
        full = self._full_starts_per_s * elapsed_s
        is_busy = bool(full) and self._started > BUSY_SHARE * full
        if is_busy or self._long_waits > SLOW_SHARE * self._waits:
            self._increase_step = LEVEL_FIRST_INCREASE
        self._increase()

    def _increase(self) -> None:
        self._level += self._increase_step
        self._increase_step = min(2 * self._increase_step, LEVEL_STEPS_PER_RANK)
        if self._level >= (self._highest_rank + 1) * LEVEL_STEPS_PER_RANK:
            self._level = OPEN_LEVEL
