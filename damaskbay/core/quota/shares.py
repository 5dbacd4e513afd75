"""Which part of a workspace's rate one daemon may spend, by demand."""

import math
from collections.abc import Mapping, Set as AbstractSet
from dataclasses import dataclass, field

from damaskbay.config.objects import Workspace
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.quota.const import (
    DEMAND_WINDOW_S,
    FLOOR_SHARE,
    RATE_USE,
    RETRY_AFTER_MOST_S,
    START_BURST_SHARE,
    UNKNOWN_SHARE,
)


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


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float


@dataclass(slots=True)
class _PeerDemand:
    per_s_by_workspace: Mapping[str, float] = field(default_factory=dict)


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

    Daemons tell each other their demand. The share of a daemon that can't be
    reached stays reserved for it for as long as the owner counts it among
    `members`, since it may go on serving. Not safe for threads; times in
    seconds of one monotonic clock.
    """

    def __init__(self, instance: str, options: QuotaOptions) -> None:
        self._instance = instance
        self.options = options
        self._own: dict[str, _Demand] = {}
        self._peers: dict[str, _PeerDemand] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._members: AbstractSet[str] = frozenset({instance})
        self._told: dict[str, float] = {}
        self._known = False

    def set_members(self, members: AbstractSet[str]) -> None:
        """Take the daemons that may be spending; the own one is always counted."""
        self._members = members | {self._instance}
        self._known = True
        for gone in self._peers.keys() - self._members:
            del self._peers[gone]

    def heard(self, instance: str, per_s_by_workspace: Mapping[str, float]) -> None:
        """Take what another daemon says of its demand, in requests per second."""
        self._peers[instance] = _PeerDemand(per_s_by_workspace)

    def demand(self, now: float) -> dict[str, float]:
        """
        Return the own demand in requests per second, to tell the others.

        The own share goes by what was told last, as the others' views of it do: by
        fresher figures of its own, each of many daemons would take the whole rate
        when demand sets in everywhere at once.
        """
        values = {name: item.value(now) for name, item in self._own.items()}
        told = {name: round(value, 1) for name, value in values.items()}
        self._told = {name: value for name, value in told.items() if value > 0.0}
        return self._told

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
            bucket = _Bucket(self._burst(workspace, share * START_BURST_SHARE), now)
            self._buckets[workspace.name] = bucket
        gained = max(0.0, now - bucket.at) * rate
        bucket.tokens = min(burst, bucket.tokens + gained)
        bucket.at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        wait_s = min(RETRY_AFTER_MOST_S, (1.0 - bucket.tokens) / max(rate, 1e-6))
        detail = f"share {share:.3f} of {workspace.rate_per_s:g}/s"
        return not_run(Reason.RATE_EXCEEDED, retry_after_s=wait_s, detail=detail)

    def _burst(self, workspace: Workspace, share: float) -> float:
        """Return the depth of the own bucket: its share, and a part of the slack."""
        whole = workspace.burst * (1.0 + self.options.overage)
        part = 1.0 / len(self._members) if self._known else UNKNOWN_SHARE
        return max(1.0, whole * share + self.options.slack * part)

    def share(self, workspace: str) -> float:
        """
        Return the own part of a workspace's rate, 0 to 1.

        A daemon that has just started may be one of many, and has a small one until
        it is told of the members.
        """
        if not self._known:
            return UNKNOWN_SHARE
        count = len(self._members)
        own = self._told.get(workspace, 0.0)
        total = own
        for instance in self._members:
            if instance == self._instance:
                continue
            peer = self._peers.get(instance)
            total += (
                own if peer is None else peer.per_s_by_workspace.get(workspace, 0.0)
            )
        if total <= 0.0:
            return 1.0 / count
        return FLOOR_SHARE / count + (1.0 - FLOOR_SHARE) * own / total
