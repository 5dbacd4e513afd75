"""Recent demand of the workspaces towards a pool, and its fair part."""

from dataclasses import dataclass
from random import Random

from damaskbay.core.routing.const import DEMAND_HALF_LIFE_S, DEMAND_REFRESH_S

_FORGET_BELOW = 0.01
_LEAST_WEIGHT = 1e-6


@dataclass(slots=True)
class _Asked:
    """One workspace's calls; `known` is the count when last looked at."""

    count: float = 0.0
    known: float = 0.0
    weight: float = 1.0


class _Demand:
    """Demand of one rank towards one pool."""

    def __init__(self, now: float) -> None:
        self._looked_at = now
        self._share = 1.0
        self._fair = float("inf")
        self._by_workspace: dict[str, _Asked] = {}

    def add(self, workspace: str, weight: float) -> _Asked:
        """Count one call."""
        asked = self._by_workspace.setdefault(workspace, _Asked())
        asked.count += 1.0
        asked.weight = max(weight, _LEAST_WEIGHT)
        return asked

    def look(self, now: float) -> None:
        """Let old calls fade and take the counts as they are now."""
        elapsed_s = now - self._looked_at
        if elapsed_s < DEMAND_REFRESH_S:
            return
        self._looked_at = now
        self._share = -1.0
        factor = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        for name, asked in tuple(self._by_workspace.items()):
            asked.count *= factor
            asked.known = asked.count
            if asked.count < _FORGET_BELOW:
                del self._by_workspace[name]

    def pass_share(self, asked: _Asked, share: float) -> float:
        """Return the chance of a workspace's call, where `share` of all pass."""
        if not asked.known:
            return share
        if share != self._share:
            self._share = share
            self._fair = self._fair_part(share)
        return min(1.0, self._fair * asked.weight / asked.known)

    def _fair_part(self, share: float) -> float:
        """Return what each workspace may pass per weight, the rest passing less."""
        known = [asked for asked in self._by_workspace.values() if asked.known]
        left = share * sum(asked.known for asked in known)
        weight_left = sum(asked.weight for asked in known)
        for asked in sorted(known, key=lambda asked: asked.known / asked.weight):
            part = left / weight_left
            if asked.known > part * asked.weight:
                return part
            left -= asked.known
            weight_left -= asked.weight
        return float("inf")


class DemandMeter:
    """
    Counts calls by pool, priority rank and workspace, the recent ones more.

    Where only a part of a rank can pass, workspaces that ask for little pass
    whole and the others share the rest by weight.
    """

    def __init__(self) -> None:
        self._by_pool_and_rank: dict[tuple[str, int], _Demand] = {}

    def pass_share(
        self,
        pool: str,
        rank: int,
        workspace: str,
        *,
        weight: float,
        share: float,
        now: float,
    ) -> float:
        """Count one call; return the chance at which it should pass, 0 to 1."""
        demand = self._by_pool_and_rank.get((pool, rank))
        if demand is None:
            demand = self._by_pool_and_rank[pool, rank] = _Demand(now)
        demand.look(now)
        asked = demand.add(workspace, weight)
        if share in (0.0, 1.0):
            return share
        return demand.pass_share(asked, share)


def wait_by_share_s(
    share: float, shortest_s: float, longest_s: float, rng: Random
) -> float:
    """
    Return the time after which a refused call should come back, in seconds.

    Its middle is `shortest_s` where nearly all pass, and grows up to `longest_s` the
    smaller the share that passes is; callers are spread around it.
    """
    middle_s = longest_s if share <= 0.0 else min(longest_s, shortest_s / share)
    return rng.uniform(0.5, 1.5) * middle_s
