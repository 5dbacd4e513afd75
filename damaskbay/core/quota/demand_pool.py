"""What the daemons of all failure domains ask for, kept by one daemon of a domain."""

from collections.abc import Iterable, Mapping, Set as AbstractSet
from dataclasses import dataclass

from damaskbay.core.quota.const import FLOOR_SHARE
from damaskbay.helpers.messages import message

Demand = Mapping[str, float]
"""Requests per second by workspace."""

_NO_DEMAND: Demand = {}


@message("mesh.domain_demand")
@dataclass(frozen=True, slots=True)
class DomainTotal:
    """
    The demand of a failure domain, summed over the daemons that were heard.

    `heard` of the `daemons` that may be spending there have reported.
    """

    demand: Demand
    heard: int
    daemons: int

    def scaled(self) -> Demand:
        """Return the demand with those not heard taken for average ones."""
        if not self.heard or self.heard >= self.daemons:
            return self.demand
        factor = self.daemons / self.heard
        return {name: value * factor for name, value in self.demand.items()}


@dataclass(frozen=True, slots=True)
class Counted:
    """
    What a round of counting gave for one daemon.

    `own` is its demand as it was counted, `total` what to set it against, over
    `daemons` daemons. Shares within a round add up to a whole.
    """

    own: Demand
    total: Demand
    daemons: int


class DemandPool:
    """
    Counts, round by round, the demand that daemons of the own domain report.

    The rate is split over domains by the totals they told each other in the round
    before, and within the own one by the reports of the present round: at each
    level everybody goes by the same figures, also when demand sets in everywhere
    at once. A domain that was heard once keeps its last figures while it has
    members, since it may go on serving where it can't be reached; one never heard
    is taken for an average one.
    """

    def __init__(self, failure_domain: str) -> None:
        self._own_domain = failure_domain
        self._members: dict[str, AbstractSet[str]] = {}
        self._reports: dict[str, Demand] = {}
        self._others: dict[str, DomainTotal] = {}
        self._round: dict[str, Demand] = {}
        self._round_total = self._told = DomainTotal(_NO_DEMAND, 0, 1)
        self._total: Demand = _NO_DEMAND

    @property
    def daemons(self) -> int:
        """Return the number of daemons that may be spending."""
        return max(1, sum(len(members) for members in self._members.values()))

    def set_members(self, instances_by_domain: Mapping[str, AbstractSet[str]]) -> None:
        """Take the daemons that may be spending."""
        self._members = dict(instances_by_domain)
        own = self._members.get(self._own_domain, frozenset())
        for gone in self._reports.keys() - own:
            del self._reports[gone]
        for gone in self._others.keys() - self._members.keys():
            del self._others[gone]

    def reported(self, instance: str, demand: Demand) -> None:
        """Take the report of a daemon of the own domain, for the next round."""
        self._reports[instance] = demand

    def heard(self, domain: str, total: DomainTotal) -> None:
        """Take the total of another domain; one that heard nobody says nothing."""
        if total.heard > 0:
            self._others[domain] = total

    def close_round(self) -> None:
        """Count what was reported; answers go by it until the next round."""
        self._told = self._round_total
        self._round = dict(self._reports)
        size = len(self._members.get(self._own_domain, ()))
        heard = len(self._round)
        total = _sum(self._round.values())
        self._round_total = DomainTotal(total, heard, max(heard, size, 1))
        self._total = self._set_against()

    def own_total(self) -> DomainTotal:
        """Return the total of the own domain in this round, to tell the others."""
        return self._round_total

    def counted(self, instance: str) -> Counted:
        """Return what this round gave for a daemon of the own domain."""
        own = self._round.get(instance, _NO_DEMAND)
        return Counted(own, self._total, self.daemons)

    def _set_against(self) -> Demand:
        """Return, by workspace, what own demand over it is the part of the fleet."""
        now, told = self._round_total.scaled(), self._told.scaled()
        others = _sum(item.scaled() for item in self._others.values())
        unknown = (
            self.daemons
            - self._told.daemons
            - sum(item.daemons for item in self._others.values())
        )
        per_unknown = max(0, unknown) / self._told.daemons
        even = min(1.0, self._round_total.daemons / self.daemons)
        total: dict[str, float] = {}
        for name in now.keys() | others.keys():
            own = told.get(name, 0.0)
            everybody = own * (1.0 + per_unknown) + others.get(name, 0.0)
            share = own / everybody if everybody > 0.0 else even
            share = FLOOR_SHARE * even + (1.0 - FLOOR_SHARE) * share
            asked = now.get(name, 0.0)
            total[name] = asked / share if asked > 0.0 else everybody
        return total


def _sum(demands: Iterable[Demand]) -> dict[str, float]:
    total: dict[str, float] = {}
    for demand in demands:
        for name, value in demand.items():
            total[name] = total.get(name, 0.0) + value
    return total
