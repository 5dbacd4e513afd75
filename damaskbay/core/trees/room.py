"""The room of pools: the level of each, and how many sends its servers accept."""

from collections import OrderedDict
from dataclasses import dataclass
from math import exp

from damaskbay.core.admission.level import OPEN_LEVEL
from damaskbay.core.pressure import AverageLevels
from damaskbay.core.routing.const import LEVEL_EXPIRY_S
from damaskbay.core.trees.const import (
    ACCEPTED_AVERAGE_S,
    ACCEPTED_GAIN,
    ACCEPTED_MARGIN,
    ACCEPTED_MIN_SENDS,
    ACCEPTED_TIME_CONSTANT_S,
    MAX_ROUTES,
    MIN_ACCEPTED_GAIN,
)


class AcceptedShare:
    """
    The share of recent sends that one server accepted, over about a second.

    Made for some thousand sends per second. Times are in seconds of one monotonic
    clock.
    """

    def __init__(self) -> None:
        self._sends = 0.0
        self._rejected = 0.0
        self._updated_at = 0.0

    def record(self, now: float, *, accepted: bool) -> None:
        """Record the outcome of a send."""
        self._decay(now)
        self._sends += 1.0
        self._rejected += not accepted

    def value(self, now: float) -> float:
        """Return the share, 0 to 1."""
        if not self._rejected:
            return 1.0
        self._decay(now)
        return 1.0 - self._rejected / max(self._sends, ACCEPTED_MIN_SENDS)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        factor = exp(-elapsed_s / ACCEPTED_TIME_CONSTANT_S)
        self._sends *= factor
        self._rejected *= factor
        if self._rejected < 0.001:
            self._rejected = 0.0
        self._updated_at = now


@dataclass(slots=True)
class _Accepted:
    share: float
    updated_at: float


class PoolRoom:
    """
    The room of each pool, from the results of its servers, whichever route had them.

    Reports expire within a second, so that recovered capacity shows. Holds at most
    MAX_ROUTES pools. Made for tens of thousands of results per second. Times are in
    seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self._levels = AverageLevels()
        self._accepted: OrderedDict[str, _Accepted] = OrderedDict()
        self._short_until = float("-inf")

    def record_rank(self, rank: int, now: float) -> None:
        """Record that calls of a rank are in use."""
        self._levels.record_rank(rank, now)

    def record(
        self,
        pool: str,
        level: int | None,
        accepted: float | None,
        now: float,
        refused_rank: int | None = None,
    ) -> None:
        """
        Record the report in a result: a level and an accepted share, None if unknown.

        `refused_rank` is the rank of a call that found no capacity in the pool.
        """
        self._levels.record_level(pool, level, now, refused_rank)
        is_low = level is not None and level < OPEN_LEVEL
        is_rejecting = accepted is not None and accepted < 1.0
        if is_low or is_rejecting or refused_rank is not None:
            self._short_until = now + LEVEL_EXPIRY_S
        if accepted is None:
            return
        known = self._accepted.get(pool)
        if known is None or now - known.updated_at >= LEVEL_EXPIRY_S:
            # One report may be that of a single faulty server.
            first = 1.0 + ACCEPTED_GAIN * (accepted - 1.0)
            self._accepted[pool] = _Accepted(first, now)
            if len(self._accepted) > MAX_ROUTES:
                self._accepted.popitem(last=False)
            return
        if accepted >= 1.0 and known.share > 1.0 - ACCEPTED_MARGIN:
            known.share, known.updated_at = 1.0, now
            return
        gain = 1.0 - exp(-(now - known.updated_at) / ACCEPTED_AVERAGE_S)
        gain = min(ACCEPTED_GAIN, max(MIN_ACCEPTED_GAIN, gain))
        known.share += gain * (accepted - known.share)
        known.updated_at = now

    def is_ample(self, now: float) -> bool:
        """Return whether no pool was reported to lack room recently."""
        return now >= self._short_until

    def level(self, pool: str, now: float) -> int:
        """Return the admission level of a pool."""
        return self._levels.level(pool, now)

    def accepted(self, pool: str, now: float) -> float:
        """Return the share of sends that the servers of a pool accept."""
        known = self._accepted.get(pool)
        if known is None or now - known.updated_at >= LEVEL_EXPIRY_S:
            return 1.0
        return known.share

    def report(self, pool: str, now: float) -> tuple[int | None, float | None]:
        """Return the level and the accepted share to report, None if unknown."""
        level = accepted = None
        if self._levels.is_known(pool, now):
            level = self._levels.level(pool, now)
        known = self._accepted.get(pool)
        if known is not None and now - known.updated_at < LEVEL_EXPIRY_S:
            accepted = known.share
        return level, accepted
