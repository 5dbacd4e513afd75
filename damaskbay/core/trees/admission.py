"""Which root calls begin, by the room in every pool of their call trees."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import prod
from random import Random
from typing import NamedTuple

from damaskbay.core.admission.level import pass_share
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.pressure import HIGHEST_RANK
from damaskbay.core.routing.const import MIN_PASS_SHARE
from damaskbay.core.routing.demand import DemandMeter
from damaskbay.core.trees.const import (
    DEMAND_HALF_LIFE_S,
    DIVISION_REFRESH_S,
    MAX_RETRY_AFTER_S,
    MAX_ROUTES,
    MIN_DEMAND,
    MIN_ROUTE_SHARE,
    MIN_TREE_CHANCE,
    REFUSED_WINDOW_S,
    RETRY_AFTER_S,
)
from damaskbay.core.trees.reports import TreeReports
from damaskbay.core.trees.work import PoolWork

ATTEMPTS = 1
"""Servers that a call may be sent to if nothing is known of its route."""


class RouteDemand(NamedTuple):
    """Recent root calls of a route, and what each of them needs at a pool."""

    calls: float
    work: float


def divide_by_work(share: float, routes: Mapping[str, RouteDemand]) -> dict[str, float]:
    """
    Return the share of each route's calls that begins if `share` of all work can.

    Capacity is divided equally by work (max-min), so that a call of a small tree has a
    better chance than one of a large tree. No route gets less than MIN_ROUTE_SHARE of
    the share of all calls that begins.
    """
    calls = sum(item.calls for item in routes.values())
    if share >= 1.0 or not calls:
        return dict.fromkeys(routes, share)
    shares = _fill(share, 0.0, routes)
    mean = sum(shares[name] * item.calls for name, item in routes.items()) / calls
    return _fill(share, min(share, MIN_ROUTE_SHARE * mean), routes)


def _fill(
    share: float, least: float, routes: Mapping[str, RouteDemand]
) -> dict[str, float]:
    """Return the max-min shares by work of which none is below `least`."""
    wanted = {name: item.calls * item.work for name, item in routes.items()}
    capacity = share * sum(wanted.values())
    low, high = 0.0, max(wanted.values())
    for _ in range(20):
        middle = (low + high) / 2.0
        used = sum(min(item, max(middle, least * item)) for item in wanted.values())
        low, high = (middle, high) if used < capacity else (low, middle)
    return {
        name: min(1.0, max(low, least * item) / item) if item else 1.0
        for name, item in wanted.items()
    }


@dataclass(slots=True)
class _Count:
    value: float
    updated_at: float

    def at(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.updated_at)
        decayed: float = self.value * 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        return decayed


@dataclass(frozen=True, slots=True)
class _Division:
    shares: dict[str, float]
    at: float


@dataclass(frozen=True, slots=True)
class TreeRefusal:
    """Refusal of a root call, and the pool without room, empty if it is unknown."""

    refusal: Refusal
    pool: str


class _Tightest(NamedTuple):
    """The least share of a tree's pools that begins, and why."""

    share: float
    pool: str
    why: str


class TreeAdmission:
    """
    Admission of root calls at their ingress.

    A root call begins only where every pool of its tree has room for its rank. Within a
    rank, room is divided among routes by work, then fairly among workspaces. Where
    servers reject so many calls that a tree would hardly complete, it isn't begun. A
    small share always begins, so that recovery is noticed. A route of which no work is
    known is judged by the levels in its own results. Made for some thousand root calls
    per second; not thread-safe. Times are in seconds of one monotonic clock.
    """

    def __init__(
        self,
        reports: TreeReports,
        rng: Random,
        attempts_of: Callable[[str], int] = lambda _pool: ATTEMPTS,
    ) -> None:
        self._reports = reports
        self._rng = rng
        self._attempts_of = attempts_of
        self._workspaces = DemandMeter()
        self._routes_by_rank: dict[int, dict[str, _Count]] = {}
        self._divisions: dict[tuple[str, int], _Division] = {}

    def refusal(
        self, route: str, rank: int, workspace: str, weight: float, now: float
    ) -> TreeRefusal | None:
        """Return a refusal, or None if the root call may begin."""
        rank = min(rank, HIGHEST_RANK)
        self._reports.room.record_rank(rank, now)
        self._reports.levels.record_rank(rank, now)
        self._count(route, rank, now)
        found = self._tightest(route, rank, now)
        share = max(MIN_PASS_SHARE, found.share)
        begins = self._workspaces.record_call(
            route, rank, workspace, weight=weight, share=share, now=now
        )
        if begins >= 1.0 or self._rng.random() < begins:
            return None
        wait_s = self._retry_after_s(begins)
        refusal = not_run(Reason.OVERLOADED, retry_after_s=wait_s, detail=found.why)
        return TreeRefusal(refusal, found.pool)

    def _tightest(self, route: str, rank: int, now: float) -> _Tightest:
        level = self._reports.levels.level(route, now)
        share = pass_share(level, rank)
        found = _Tightest(share, "", "")
        if share < 1.0:
            found = _Tightest(share, "", f"{share:.2f} of rank {rank} may begin")
        if self._reports.room.is_ample(now):
            return found
        work = self._reports.work.by_pool(route, now)
        accepted_by_pool: dict[str, float] = {}
        for pool, item in work.items():
            accepted = self._reports.room.accepted(pool, now)
            if accepted < 1.0:
                accepted_by_pool[pool] = accepted
            share = pass_share(self._reports.room.level(pool, now), rank)
            if share >= 1.0:
                continue
            share = self._share_of_route(route, rank, pool, share, now)
            if share < found.share:
                why = f"{_cost(pool, item)}, {share:.2f} of rank {rank} may begin"
                found = _Tightest(share, pool, why)
        if accepted_by_pool:
            return self._limit_by_chance(found, work, accepted_by_pool)
        return found

    def _limit_by_chance(
        self,
        found: _Tightest,
        work: Mapping[str, PoolWork],
        accepted_by_pool: Mapping[str, float],
    ) -> _Tightest:
        """Return that nothing begins if the tree would hardly complete."""
        chances = {
            pool: (1.0 - (1.0 - accepted) ** self._attempts_of(pool))
            ** work[pool].calls
            for pool, accepted in accepted_by_pool.items()
        }
        chance = prod(chances.values())
        if chance >= MIN_TREE_CHANCE:
            return found
        pool = min(chances, key=chances.__getitem__)
        accepted = accepted_by_pool[pool]
        why = (
            f"{_cost(pool, work[pool])}, its servers accept {accepted:.2f}, "
            f"chance to complete {chance:.2f}"
        )
        return _Tightest(0.0, pool, why)

    def _share_of_route(
        self, route: str, rank: int, pool: str, share: float, now: float
    ) -> float:
        """Return a route's share of the room that a rank has in a pool."""
        if share <= 0.0:
            return share
        division = self._divisions.get((pool, rank))
        if division is None or now - division.at >= DIVISION_REFRESH_S:
            if len(self._divisions) >= MAX_ROUTES:
                self._divisions.clear()
            shares = divide_by_work(share, self._demand(pool, rank, now))
            division = self._divisions[pool, rank] = _Division(shares, now)
        return division.shares.get(route, share)

    def _demand(self, pool: str, rank: int, now: float) -> dict[str, RouteDemand]:
        """Return the recent demand for a pool by route; forget routes without calls."""
        counts = self._routes_by_rank.get(rank, {})
        demand = {}
        for route, count in tuple(counts.items()):
            calls = count.at(now)
            if calls < MIN_DEMAND:
                del counts[route]
                continue
            work = self._reports.work.by_pool(route, now).get(pool)
            if work is not None and work.slot_s > 0.0:
                demand[route] = RouteDemand(calls, work.slot_s)
        return demand

    def _count(self, route: str, rank: int, now: float) -> None:
        counts = self._routes_by_rank.setdefault(rank, {})
        count = counts.get(route)
        if count is None:
            if len(counts) >= MAX_ROUTES:
                counts.clear()
            counts[route] = _Count(1.0, now)
            return
        count.value = count.at(now) + 1.0
        count.updated_at = now

    def _retry_after_s(self, share: float) -> float:
        """
        Return a random delay until room for what was refused is expected, in seconds.

        What begins in a second takes the room of share / (1 - share) of what was
        refused in a second. The delays are spread, so that callers don't return at
        once.
        """
        mean_s = REFUSED_WINDOW_S * (1.0 - share) / max(share, MIN_PASS_SHARE)
        mean_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, mean_s))
        return self._rng.uniform(
            max(RETRY_AFTER_S, 0.5 * mean_s), min(MAX_RETRY_AFTER_S, 1.5 * mean_s)
        )


def _cost(pool: str, work: PoolWork) -> str:
    """Return what a tree needs at a pool, as text."""
    return (
        f"pool {pool}: the tree needs {work.calls:.1f} calls and "
        f"{work.slot_s:.3f} slot seconds"
    )
