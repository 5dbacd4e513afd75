"""Shares of a workspace's rate that a daemon may spend, by demand."""

import math
from dataclasses import dataclass

from damaskbay.config.objects import Workspace
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.quota.bucket import Bucket
from damaskbay.core.quota.const import (
    DEMAND_WINDOW_S,
    EVEN_SPLIT_FRACTION,
    INITIAL_BURST_FRACTION,
    INITIAL_SHARE,
    RATE_OVERAGE_FRACTION,
)
from damaskbay.core.quota.demand_pool import DemandTotals


@dataclass(slots=True)
class _DemandAverage:
    """Exponential moving average of requests per second."""

    per_s: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.per_s = self.value(now) + 1.0 / DEMAND_WINDOW_S
        self.updated_at = now

    def value(self, now: float) -> float:
        return self.per_s * math.exp(-max(0.0, now - self.updated_at) / DEMAND_WINDOW_S)


@dataclass(frozen=True, slots=True)
class QuotaOptions:
    """
    How far the fleet as a whole may exceed a rate within a window.

    `overage` is a fraction of rate and burst, `slack` a number of requests. Both
    allow for the outdated figures that daemons have of each other.
    """

    overage: float = 0.0
    slack: float = 0.0


class DemandShares:
    """
    Splits each workspace's rate over the daemons in proportion to demand.

    A daemon's share is its demand divided by the demand of the fleet, both as
    counted in the last round; it stays the same until the next round. Not
    thread-safe; times are seconds of one monotonic clock.
    """

    def __init__(self, options: QuotaOptions) -> None:
        self.options = options
        self._demand_by_workspace: dict[str, _DemandAverage] = {}
        self._buckets: dict[str, Bucket] = {}
        self._counted: DemandTotals | None = None

    def demand(self, now: float) -> dict[str, float]:
        """Return this daemon's demand in requests per second, for its next report."""
        values = {
            name: item.value(now) for name, item in self._demand_by_workspace.items()
        }
        rounded = {name: round(value, 1) for name, value in values.items()}
        return {name: value for name, value in rounded.items() if value > 0.0}

    def update_totals(self, counted: DemandTotals) -> None:
        """
        Set the result of the last round.

        Shares use only these counted figures. With newer local figures, each daemon
        would take the complete rate when demand starts on all of them at once.
        """
        self._counted = counted

    def spend(self, workspace: Workspace, now: float) -> Refusal | None:
        """Spend one token of this daemon's share, or return a refusal."""
        self._demand_by_workspace.setdefault(workspace.name, _DemandAverage()).add(now)
        if workspace.rate_per_s <= 0.0:
            return None
        share = self.share(workspace.name)
        rate = (
            workspace.rate_per_s
            * share
            * (1.0 + RATE_OVERAGE_FRACTION * self.options.overage)
        )
        burst = self._burst(workspace, share)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = Bucket(self._burst(workspace, share * INITIAL_BURST_FRACTION), now)
            self._buckets[workspace.name] = bucket
        next_s = bucket.spend(rate, burst, now)
        if next_s == 0.0:
            return None
        wait_s = bucket.retry_after_s(rate, next_s, now)
        detail = f"share {share:.3f} of {workspace.rate_per_s:g}/s"
        return not_run(Reason.RATE_EXCEEDED, retry_after_s=wait_s, detail=detail)

    def _burst(self, workspace: Workspace, share: float) -> float:
        """Return the depth of the bucket: the share of the burst, and some slack."""
        burst = workspace.burst * (1.0 + self.options.overage)
        counted = self._counted
        slack_share = INITIAL_SHARE if counted is None else 1.0 / counted.daemons
        return max(1.0, burst * share + self.options.slack * slack_share)

    def share(self, workspace: str) -> float:
        """
        Return this daemon's share of a workspace's rate, 0 to 1.

        The share is small until the first result arrives, since a daemon that has
        just started may be one of many.
        """
        counted = self._counted
        if counted is None:
            return INITIAL_SHARE
        demand = counted.own.get(workspace, 0.0)
        total = max(demand, counted.total.get(workspace, 0.0))
        if total <= 0.0:
            return 1.0 / counted.daemons
        return (
            EVEN_SPLIT_FRACTION / counted.daemons
            + (1.0 - EVEN_SPLIT_FRACTION) * demand / total
        )
