"""Demand of the daemons of all failure domains, kept by the relay of one domain."""

from collections.abc import Iterable, Mapping, Set as AbstractSet
from dataclasses import dataclass

from damaskbay.core.quota.const import EVEN_SPLIT_FRACTION
from damaskbay.helpers.messages import message

Demand = Mapping[str, float]
"""Requests per second by workspace."""

_NO_DEMAND: Demand = {}


@message("mesh.domain_demand")
@dataclass(frozen=True, slots=True)
class DomainTotal:
    """
    The demand of a failure domain, summed over the daemons that reported.

    `reporting_daemons` is the number of daemons that reported, out of `daemons` that
    may spend tokens there.
    """

    demand: Demand
    reporting_daemons: int
    daemons: int

    def extrapolated(self) -> Demand:
        """Return the demand with the average added for each daemon not reporting."""
        if not self.reporting_daemons or self.reporting_daemons >= self.daemons:
            return self.demand
        factor = self.daemons / self.reporting_daemons
        return {name: value * factor for name, value in self.demand.items()}


@dataclass(frozen=True, slots=True)
class _RemoteTotal:
    """The total of a remote domain, and the local one at the time of its arrival."""

    total: DomainTotal
    local_total: DomainTotal

    def demand_beside(self, local: Demand) -> Demand:
        """
        Return the remote demand while the local one is `local`.

        A remote demand is taken to have grown since as the local one has, so that
        domains that can't reach each other keep their shares when demand grows.
        """
        demand = dict(self.total.extrapolated())
        local_before = self.local_total.extrapolated()
        for name, value in local.items():
            before = local_before.get(name, 0.0)
            if value <= before:
                continue
            if before > 0.0:
                demand[name] = demand.get(name, 0.0) * value / before
                continue
            average = value / self.local_total.daemons
            demand[name] = max(demand.get(name, 0.0), average * self.total.daemons)
        return demand


@dataclass(frozen=True, slots=True)
class DemandTotals:
    """
    The result of a round of demand for one daemon.

    `own` is its counted demand, `total` the demand of the whole fleet of `daemons`
    daemons. Within a round, the quotients `own / total` add up to 1 at most.
    """

    own: Demand
    total: Demand
    daemons: int


class DemandPool:
    """
    Counts, round by round, the demand that daemons of the local domain report.

    The rate is split over domains by the totals that they exchanged in the previous
    round, and within the local domain by the reports of the current round. All
    daemons thus use the same figures at each level, also when demand starts
    everywhere at once. An unreachable domain keeps its last total while it has
    members, since it may still serve calls, and is taken to grow as the local one
    does; a domain without any total counts with the average demand.
    """

    def __init__(self, failure_domain: str) -> None:
        self._local_domain = failure_domain
        self._members: dict[str, AbstractSet[str]] = {}
        self._reports: dict[str, Demand] = {}
        self._remote_totals: dict[str, _RemoteTotal] = {}
        self._round_reports: dict[str, Demand] = {}
        self._local_total = self._previous_local_total = DomainTotal(_NO_DEMAND, 0, 1)
        self._fleet_demand: Demand = _NO_DEMAND

    @property
    def daemons(self) -> int:
        """Return the number of daemons that may spend tokens."""
        return max(1, sum(len(members) for members in self._members.values()))

    def set_members(self, instances_by_domain: Mapping[str, AbstractSet[str]]) -> None:
        """Set the daemons that may spend tokens; drop the data of all others."""
        self._members = dict(instances_by_domain)
        local = self._members.get(self._local_domain, frozenset())
        for removed in self._reports.keys() - local:
            del self._reports[removed]
        for removed in self._remote_totals.keys() - self._members.keys():
            del self._remote_totals[removed]

    def record_report(self, instance: str, demand: Demand) -> None:
        """Record the report of a daemon of the local domain for the next round."""
        self._reports[instance] = demand

    def record_remote_total(self, domain: str, total: DomainTotal) -> None:
        """Record the total of a remote domain, unless no daemon reported there."""
        if total.reporting_daemons > 0:
            self._remote_totals[domain] = _RemoteTotal(total, self._local_total)

    def close_round(self) -> None:
        """Count the recorded reports; results stay the same until the next round."""
        self._previous_local_total = self._local_total
        self._round_reports = dict(self._reports)
        size = len(self._members.get(self._local_domain, ()))
        heard = len(self._round_reports)
        total = _sum(self._round_reports.values())
        self._local_total = DomainTotal(total, heard, max(heard, size, 1))
        self._fleet_demand = self._estimate_fleet_demand()

    def local_total(self) -> DomainTotal:
        """Return the total of the local domain in this round, for remote domains."""
        return self._local_total

    def totals_for(self, instance: str) -> DemandTotals:
        """Return the result of this round for a daemon of the local domain."""
        own = self._round_reports.get(instance, _NO_DEMAND)
        return DemandTotals(own, self._fleet_demand, self.daemons)

    def _estimate_fleet_demand(self) -> Demand:
        """
        Return the demand of the fleet by workspace.

        It is scaled so that the local demand of this round, divided by it, is the
        local domain's share of the rate.
        """
        current, previous = (
            self._local_total.extrapolated(),
            self._previous_local_total.extrapolated(),
        )
        remote_totals = self._remote_totals.values()
        remote = _sum(item.demand_beside(previous) for item in remote_totals)
        unknown = (
            self.daemons
            - self._previous_local_total.daemons
            - sum(item.total.daemons for item in remote_totals)
        )
        unknown_ratio = max(0, unknown) / self._previous_local_total.daemons
        even_share = min(1.0, self._local_total.daemons / self.daemons)
        fleet: dict[str, float] = {}
        for name in current.keys() | remote.keys():
            local = previous.get(name, 0.0)
            total = local * (1.0 + unknown_ratio) + remote.get(name, 0.0)
            share = local / total if total > 0.0 else even_share
            share = (
                EVEN_SPLIT_FRACTION * even_share + (1.0 - EVEN_SPLIT_FRACTION) * share
            )
            demand = current.get(name, 0.0)
            fleet[name] = demand / share if demand > 0.0 else total
        return fleet


def _sum(demands: Iterable[Demand]) -> dict[str, float]:
    total: dict[str, float] = {}
    for demand in demands:
        for name, value in demand.items():
            total[name] = total.get(name, 0.0) + value
    return total
