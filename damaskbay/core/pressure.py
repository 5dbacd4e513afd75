"""Refusal of new requests at the edge while a server on their path is overloaded."""

from dataclasses import dataclass
from random import Random

from damaskbay.core.admission.const import LEVEL_STEPS_PER_RANK
from damaskbay.core.admission.level import pass_share
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.routing.const import (
    LEVEL_EXPIRY_S,
    LEVEL_FULL_WEIGHT_S,
    MIN_PASS_SHARE,
)
from damaskbay.core.routing.demand import DemandMeter, random_retry_delay_s

RETRY_AFTER_S = 0.4
"""Mean retry delay while nearly all requests pass, in seconds."""

MAX_RETRY_AFTER_S = 2.0
"""Upper limit of the mean retry delay, in seconds; callers hardly wait longer."""

HIGHEST_LEVEL = 16 * LEVEL_STEPS_PER_RANK
"""Level of a route without overload; it is finite so that levels can be averaged."""

LEVEL_GAIN = 0.3
"""Weight of the newest level in the moving average over servers."""


@dataclass(slots=True)
class _Level:
    value: float
    updated_at: float


class RouteLevels:
    """
    Recent admission level of each route, over all servers that its calls reach.

    Levels of several servers are averaged, since a call may go to any of them. An
    old level rises linearly to `HIGHEST_LEVEL`, where nothing is refused. Times are
    in seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self._levels: dict[str, _Level] = {}

    def record_level(self, route: str, level: int | None, now: float) -> None:
        """Record the admission level that a response on a route reported."""
        if level is None:
            return
        value = float(min(level, HIGHEST_LEVEL))
        known = self._levels.get(route)
        if known is not None and now - known.updated_at < LEVEL_EXPIRY_S:
            value = known.value + LEVEL_GAIN * (value - known.value)
        self._levels[route] = _Level(value, now)

    def level(self, route: str, now: float) -> int:
        """Return the current level of a route."""
        known = self._levels.get(route)
        if known is None or now - known.updated_at >= LEVEL_EXPIRY_S:
            return HIGHEST_LEVEL
        age_s = now - known.updated_at
        if age_s <= LEVEL_FULL_WEIGHT_S:
            return int(known.value)
        decay = (age_s - LEVEL_FULL_WEIGHT_S) / (LEVEL_EXPIRY_S - LEVEL_FULL_WEIGHT_S)
        return int(known.value + (HIGHEST_LEVEL - known.value) * decay)


class EdgeLoadShedder:
    """
    Load shedding of root requests by the admission level of their route.

    Each response reports the lowest level of all servers that the request's calls
    reached. Within a priority rank, the admitted requests are shared fairly between
    workspaces. Not thread-safe; times are in seconds of one monotonic clock.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._levels = RouteLevels()
        self._demand = DemandMeter()

    def record_level(self, route: str, level: int | None, now: float) -> None:
        """Record the admission level that a response on a route reported."""
        self._levels.record_level(route, level, now)

    def refusal(
        self, route: str, rank: int, workspace: str, weight: float, now: float
    ) -> Refusal | None:
        """Return a refusal, or None if the request is admitted."""
        share = self._share_of_rank(route, rank, now)
        admitted_share = self._demand.record_call(
            route, rank, workspace, weight=weight, share=share, now=now
        )
        if admitted_share >= 1.0 or self._rng.random() < admitted_share:
            return None
        wait_s = random_retry_delay_s(
            admitted_share, RETRY_AFTER_S, MAX_RETRY_AFTER_S, self._rng
        )
        detail = f"{share:.2f} of rank {rank} may pass"
        return not_run(Reason.OVERLOADED, retry_after_s=wait_s, detail=detail)

    def _share_of_rank(self, route: str, rank: int, now: float) -> float:
        level = self._levels.level(route, now)
        capped_rank = min(rank, HIGHEST_LEVEL // LEVEL_STEPS_PER_RANK - 1)
        return max(MIN_PASS_SHARE, pass_share(level, capped_rank))
