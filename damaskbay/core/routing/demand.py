"""Recent demand per workspace for a pool, and fair shares of its capacity."""

from dataclasses import dataclass
from random import Random

from damaskbay.core.routing.const import DEMAND_HALF_LIFE_S, DEMAND_REFRESH_S

_MIN_COUNT = 0.01
_MIN_WEIGHT = 1e-6


@dataclass(slots=True)
class _WorkspaceDemand:
    """Decaying call count of a workspace, and its value at the last refresh."""

    count: float = 0.0
    sampled_count: float = 0.0
    weight: float = 1.0


class _RankDemand:
    """Demand for one pool at one priority rank."""

    def __init__(self, now: float) -> None:
        self._refreshed_at = now
        self._fair_count_share = 1.0
        self._fair_count = float("inf")
        self._by_workspace: dict[str, _WorkspaceDemand] = {}

    def record_call(self, workspace: str, weight: float) -> _WorkspaceDemand:
        """Count one call; return the demand of its workspace."""
        entry = self._by_workspace.setdefault(workspace, _WorkspaceDemand())
        entry.count += 1.0
        entry.weight = max(weight, _MIN_WEIGHT)
        return entry

    def refresh(self, now: float) -> None:
        """Decay the counts and sample them, at most once per DEMAND_REFRESH_S."""
        elapsed_s = now - self._refreshed_at
        if elapsed_s < DEMAND_REFRESH_S:
            return
        self._refreshed_at = now
        self._fair_count_share = -1.0
        factor = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        for name, entry in tuple(self._by_workspace.items()):
            entry.count *= factor
            entry.sampled_count = entry.count
            if entry.count < _MIN_COUNT:
                del self._by_workspace[name]

    def pass_share(self, entry: _WorkspaceDemand, share: float) -> float:
        """Return the pass probability for a workspace if `share` of all calls pass."""
        if not entry.sampled_count:
            return share
        if share != self._fair_count_share:
            self._fair_count_share = share
            self._fair_count = self._fair_count_per_weight(share)
        return min(1.0, self._fair_count * entry.weight / entry.sampled_count)

    def _fair_count_per_weight(self, share: float) -> float:
        """Return the max-min fair call count per unit of workspace weight."""
        active = [entry for entry in self._by_workspace.values() if entry.sampled_count]
        remaining = share * sum(entry.sampled_count for entry in active)
        remaining_weight = sum(entry.weight for entry in active)
        for entry in sorted(
            active, key=lambda entry: entry.sampled_count / entry.weight
        ):
            fair_count = remaining / remaining_weight
            if entry.sampled_count > fair_count * entry.weight:
                return fair_count
            remaining -= entry.sampled_count
            remaining_weight -= entry.weight
        return float("inf")


class DemandMeter:
    """
    Counts calls by pool, priority rank and workspace, with exponential decay.

    If only a share of a rank can pass, all calls of workspaces with low demand pass
    and the other workspaces divide the rest by weight.
    """

    def __init__(self) -> None:
        self._by_pool_and_rank: dict[tuple[str, int], _RankDemand] = {}

    def record_call(
        self,
        pool: str,
        rank: int,
        workspace: str,
        *,
        weight: float,
        share: float,
        now: float,
    ) -> float:
        """
        Count one call; return the probability at which it should pass, 0 to 1.

        `share` is the share of all calls of the rank that can pass.
        """
        demand = self._by_pool_and_rank.get((pool, rank))
        if demand is None:
            demand = self._by_pool_and_rank[pool, rank] = _RankDemand(now)
        demand.refresh(now)
        entry = demand.record_call(workspace, weight)
        if share in (0.0, 1.0):
            return share
        return demand.pass_share(entry, share)


def random_retry_delay_s(
    share: float, shortest_s: float, longest_s: float, rng: Random
) -> float:
    """
    Return a random retry delay for a refused call, in seconds.

    Its mean grows from `shortest_s` to `longest_s` as `share`, the share of calls
    that pass, shrinks. Jitter spreads the retries of the callers.
    """
    mean_s = longest_s if share <= 0.0 else min(longest_s, shortest_s / share)
    return rng.uniform(0.5, 1.5) * mean_s
