"""Admission levels of pools and routes, averaged over servers."""

from dataclasses import dataclass
from math import exp

from damaskbay.core.admission.const import LEVEL_STEPS_PER_RANK
from damaskbay.core.admission.level import OPEN_LEVEL
from damaskbay.core.call import CallResult, Response
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.core.routing.const import LEVEL_EXPIRY_S, LEVEL_FULL_WEIGHT_S

HIGHEST_RANK = 15
"""Least important rank that levels tell apart; less important ones are treated so."""

LEVEL_GAIN = 0.3
"""Largest weight of the newest result in the averages over servers."""

MIN_LEVEL_GAIN = 0.1
"""Least weight of a result: an average over some ten, of as many servers."""

MIN_OVERLOADED_SHARE = 1.0 / 3.0
"""
Share of results that report overload from which the edge sheds.

Below it, one server of several is full: what it refuses is sent to another one.
"""

FORGOTTEN_SHARE = 0.01
"""Share of results that report overload that counts as none."""

MAX_NAMES = 1000
"""Pools or routes with a level; beyond, all are learned again."""

RANK_MEMORY_S = 5.0
"""Least time for which a rank counts as in use after its last call, in seconds."""

CAPACITY_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.OVERLOADED, Reason.RETRY_BUDGET_SPENT}
)
"""Reasons for which a call finds no server with capacity, whatever its time limit."""


def lacks_capacity(outcome: Response | Refusal) -> bool:
    """Return whether a call was refused since no server had capacity for it."""
    return isinstance(outcome, Refusal) and outcome.reason in CAPACITY_REASONS


class RanksInUse:
    """The least important rank of recent calls; times in seconds."""

    def __init__(self) -> None:
        self._current = 0
        self._previous = 0
        self._since = float("-inf")

    def record(self, rank: int, now: float) -> None:
        """Record a call of this rank."""
        if now - self._since >= RANK_MEMORY_S:
            self._previous, self._current = self._current, 0
            self._since = now
        self._current = max(self._current, min(rank, HIGHEST_RANK))

    @property
    def highest_level(self) -> float:
        """Return the lowest level at which calls of all ranks in use pass."""
        highest_rank = max(self._current, self._previous)
        return (highest_rank + 1.0) * LEVEL_STEPS_PER_RANK


@dataclass(slots=True)
class _Level:
    """Mean level of the results that report overload, and their share of all."""

    value: float
    overloaded: float
    updated_at: float


class AverageLevels:
    """
    Recent admission level of each pool or route, over all servers behind it.

    Levels of several servers are averaged, since a call may go to any of them. A server
    without overload counts as one step above the least important rank in use: with a
    higher value, an idle server would hide the overload of another one. While only few
    of the results report overload, nothing is refused. A call that
    finds no capacity counts like a level that admits none of its rank. An old level
    rises linearly until nothing is refused. Times are in seconds of one monotonic
    clock. Made for tens of thousands of results per second.
    """

    def __init__(self) -> None:
        self._levels: dict[str, _Level] = {}
        self._ranks = RanksInUse()

    def record_rank(self, rank: int, now: float) -> None:
        """Record that calls of a rank are in use."""
        self._ranks.record(rank, now)

    def record_result(
        self, route: str, rank: int, result: CallResult, now: float
    ) -> None:
        """Record the result of a call of a route and rank."""
        self._ranks.record(rank, now)
        refused_rank = rank if lacks_capacity(result.result) else None
        self.record_level(route, result.admission_level, now, refused_rank)

    def record_level(
        self, name: str, level: int | None, now: float, refused_rank: int | None = None
    ) -> None:
        """
        Record the admission level of a pool or route that a response reported.

        `refused_rank` is the rank of the call if it found no capacity.
        """
        if level is None and refused_rank is None:
            return
        known = self._levels.get(name)
        is_fresh = known is not None and now - known.updated_at < LEVEL_EXPIRY_S
        if level == OPEN_LEVEL and refused_rank is None:
            # By far the most common result.
            if known is not None and is_fresh and not known.overloaded:
                known.updated_at = now
                return
        elif level is not None and level < OPEN_LEVEL:
            # A server reports no level above the ranks of its own calls.
            self._ranks.record((level - 1) // LEVEL_STEPS_PER_RANK, now)
        open_level = self._ranks.highest_level
        newest = open_level if level is None else min(float(level), open_level)
        if refused_rank is not None:
            newest = min(newest, float(refused_rank * LEVEL_STEPS_PER_RANK))
        is_low = newest < open_level
        if known is None or not is_fresh:
            if len(self._levels) >= MAX_NAMES:
                self._levels.clear()
            # A refused call alone is less certain than a level.
            first_share = LEVEL_GAIN if level is None or level >= open_level else 1.0
            self._levels[name] = _Level(newest, first_share if is_low else 0.0, now)
            return
        if not is_low and not known.overloaded:
            known.updated_at = now
            return
        elapsed_s = now - known.updated_at
        gain = max(MIN_LEVEL_GAIN, 1.0 - exp(-elapsed_s / LEVEL_EXPIRY_S))
        known.overloaded += min(LEVEL_GAIN, gain) * (is_low - known.overloaded)
        if is_low:
            known.value += LEVEL_GAIN * (newest - known.value)
        elif known.overloaded < FORGOTTEN_SHARE:
            known.overloaded = 0.0
        known.updated_at = now

    def is_known(self, name: str, now: float) -> bool:
        """Return whether a level was recorded recently."""
        known = self._levels.get(name)
        return known is not None and now - known.updated_at < LEVEL_EXPIRY_S

    def level(self, name: str, now: float) -> int:
        """Return the current level of a pool or route."""
        known = self._levels.get(name)
        if known is None or known.overloaded < MIN_OVERLOADED_SHARE:
            return OPEN_LEVEL
        age_s = now - known.updated_at
        if age_s >= LEVEL_EXPIRY_S:
            return OPEN_LEVEL
        missing = max(0.0, self._ranks.highest_level - known.value) * known.overloaded
        if age_s > LEVEL_FULL_WEIGHT_S:
            missing *= (LEVEL_EXPIRY_S - age_s) / (LEVEL_EXPIRY_S - LEVEL_FULL_WEIGHT_S)
        if missing < 1.0:
            return OPEN_LEVEL
        return int(self._ranks.highest_level - missing)
