"""Which new requests to refuse at the edge while something behind them is short."""

from dataclasses import dataclass
from random import Random

from damaskbay.core.admission.const import LEVEL_STEPS_PER_RANK
from damaskbay.core.admission.level import pass_share
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.routing.const import (
    LEVEL_FRESH_S,
    LEVEL_GONE_S,
    PASS_LOWEST,
)
from damaskbay.core.routing.demand import DemandMeter, wait_by_share_s

RETRY_AFTER_S = 0.4
"""Middle of the time to come back where nearly all pass, seconds."""

RETRY_AFTER_MOST_S = 2.0
"""Longest middle of that time, seconds: about as long as callers wait at all."""

HIGHEST_LEVEL = 16 * LEVEL_STEPS_PER_RANK
"""Level of a path without any shortage; averages need an end of the scale."""


LEVEL_GAIN = 0.3
"""Weight of the newest level in the average over the servers that calls meet."""


@dataclass(slots=True)
class _Level:
    value: float
    at: float


class PathLevels:
    """
    The recent admission level of each route, over all servers that its calls meet.

    Levels of several servers are averaged, since a call may go to any of them; an
    old one fades towards open. Times in seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self._levels: dict[str, _Level] = {}

    def heard(self, route: str, level: int | None, now: float) -> None:
        """Take the level that an answer on a route carried."""
        if level is None:
            return
        value = float(min(level, HIGHEST_LEVEL))
        known = self._levels.get(route)
        if known is not None and now - known.at < LEVEL_GONE_S:
            value = known.value + LEVEL_GAIN * (value - known.value)
        self._levels[route] = _Level(value, now)

    def level(self, route: str, now: float) -> int:
        """Return the level of a route."""
        known = self._levels.get(route)
        if known is None or now - known.at >= LEVEL_GONE_S:
            return HIGHEST_LEVEL
        age_s = now - known.at
        if age_s <= LEVEL_FRESH_S:
            return int(known.value)
        faded = (age_s - LEVEL_FRESH_S) / (LEVEL_GONE_S - LEVEL_FRESH_S)
        return int(known.value + (HIGHEST_LEVEL - known.value) * faded)


class EdgePressure:
    """
    Refuses root requests by the levels that answers on their route carried.

    A level is the lowest of all servers that the calls of a request met. Within a
    rank, workspaces get fair shares of what passes. Not safe for threads; times
    in seconds of one monotonic clock.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._levels = PathLevels()
        self._demand = DemandMeter()

    def heard(self, route: str, level: int | None, now: float) -> None:
        """Take the level that an answer on a route carried."""
        self._levels.heard(route, level, now)

    def refusal(
        self, route: str, rank: int, workspace: str, weight: float, now: float
    ) -> Refusal | None:
        """Return a refusal, or None where the request may go on."""
        share = self._share(route, rank, now)
        kept = self._demand.pass_share(
            route, rank, workspace, weight=weight, share=share, now=now
        )
        if kept >= 1.0 or self._rng.random() < kept:
            return None
        wait_s = wait_by_share_s(kept, RETRY_AFTER_S, RETRY_AFTER_MOST_S, self._rng)
        detail = f"{share:.2f} of rank {rank} may pass"
        return not_run(Reason.OVERLOADED, retry_after_s=wait_s, detail=detail)

    def _share(self, route: str, rank: int, now: float) -> float:
        level = self._levels.level(route, now)
        least = min(rank, HIGHEST_LEVEL // LEVEL_STEPS_PER_RANK - 1)
        return max(PASS_LOWEST, pass_share(level, least))
