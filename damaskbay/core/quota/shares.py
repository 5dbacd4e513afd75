"""Which part of a workspace's rate one daemon may spend, by demand."""

import math
from dataclasses import dataclass

from damaskbay.config.objects import Workspace
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.quota.bucket import Bucket
from damaskbay.core.quota.const import (
    DEMAND_WINDOW_S,
    FLOOR_SHARE,
    RATE_USE,
    START_BURST_SHARE,
    UNKNOWN_SHARE,
)
from damaskbay.core.quota.demand_pool import Counted


@dataclass(slots=True)
class _Demand:
    """Requests per second, as an exponential average."""

    per_s: float = 0.0
    at: float = 0.0

    def add(self, now: float) -> None:
        self.per_s = self.value(now) + 1.0 / DEMAND_WINDOW_S
        self.at = now

    def value(self, now: float) -> float:
        return self.per_s * math.exp(-max(0.0, now - self.at) / DEMAND_WINDOW_S)


@dataclass(frozen=True, slots=True)
class QuotaOptions:
    """
    How far the fleet's sum may exceed a rate within a window.

    `overage` is the part of rate and burst that may come on top, `slack` is in
    requests. Both are spent on what daemons can't know of each other in time.
    """

    overage: float = 0.0
    slack: float = 0.0


class DemandShares:
    """
    Splits each workspace's rate over the daemons in proportion to demand.

    The own share is the own demand over that on the whole fleet, as counted in the
    last round; without a newer one it stays as it is. Not safe for threads; times
    in seconds of one monotonic clock.
    """

    def __init__(self, options: QuotaOptions) -> None:
        self.options = options
        self._own: dict[str, _Demand] = {}
        self._buckets: dict[str, Bucket] = {}
        self._counted: Counted | None = None

    def demand(self, now: float) -> dict[str, float]:
        """Return the own demand in requests per second, to be told."""
        values = {name: item.value(now) for name, item in self._own.items()}
        rounded = {name: round(value, 1) for name, value in values.items()}
        return {name: value for name, value in rounded.items() if value > 0.0}

    def counted(self, counted: Counted) -> None:
        """
        Take what a round of counting gave.

        Shares go by what was counted, not by fresher figures: with those, each of
        many daemons would take the whole rate when demand sets in everywhere.
        """
        self._counted = counted

    def spend(self, workspace: Workspace, now: float) -> Refusal | None:
        """Spend one token of the own share, or refuse."""
        self._own.setdefault(workspace.name, _Demand()).add(now)
        if workspace.rate_per_s <= 0.0:
            return None
        share = self.share(workspace.name)
        rate = workspace.rate_per_s * share * (1.0 + RATE_USE * self.options.overage)
        burst = self._burst(workspace, share)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = Bucket(self._burst(workspace, share * START_BURST_SHARE), now)
            self._buckets[workspace.name] = bucket
        next_s = bucket.take(rate, burst, now)
        if next_s == 0.0:
            return None
        wait_s = bucket.come_back_s(rate, next_s, now)
        detail = f"share {share:.3f} of {workspace.rate_per_s:g}/s"
        return not_run(Reason.RATE_EXCEEDED, retry_after_s=wait_s, detail=detail)

    def _burst(self, workspace: Workspace, share: float) -> float:
        """Return the depth of the own bucket: its share, and a part of the slack."""
        whole = workspace.burst * (1.0 + self.options.overage)
        counted = self._counted
        part = UNKNOWN_SHARE if counted is None else 1.0 / counted.daemons
        return max(1.0, whole * share + self.options.slack * part)

    def share(self, workspace: str) -> float:
        """
        Return the own part of a workspace's rate, 0 to 1.

        A daemon that has just started may be one of many, and has a small one until
        it is told of the whole demand.
        """
        counted = self._counted
        if counted is None:
            return UNKNOWN_SHARE
        own = counted.own.get(workspace, 0.0)
        total = max(own, counted.total.get(workspace, 0.0))
        if total <= 0.0:
            return 1.0 / counted.daemons
        return FLOOR_SHARE / counted.daemons + (1.0 - FLOOR_SHARE) * own / total
