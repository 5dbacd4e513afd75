"""Tests of the split of a workspace's rate over daemons, in virtual time."""

import random
import unittest

from damaskbay.config.objects import Workspace
from damaskbay.core.quota.demand_pool import DemandPool, DemandTotals
from damaskbay.core.quota.shares import DemandShares, QuotaOptions
from damaskbay.core.quota.token_pool import TokenPool, home_domain, is_pooled
from tests.common import function_suite

OPTIONS = QuotaOptions(overage=0.1, slack=20.0)
WINDOW_S = 5.0
EXCHANGE_S = 0.5
MANY_DAEMONS = 88


class _Fleet:
    """Failure domains of four daemons each, and the relay of each domain."""

    def __init__(self, names: list[str]) -> None:
        self.daemons = {name: DemandShares(OPTIONS) for name in names}
        self.members = {
            f"domain{first}": frozenset(names[first : first + 4])
            for first in range(0, len(names), 4)
        }
        self.relays = {domain: DemandPool(domain) for domain in self.members}
        self.pools = {domain: TokenPool(domain, OPTIONS) for domain in self.members}

    def exchange(self, now: float, *, connected: bool = True) -> None:
        """
        Run one round: daemons report, relays count and exchange their totals.

        Domains that are not connected exchange none.
        """
        for domain, relay in self.relays.items():
            relay.set_members(self.members)
            pool = self.pools[domain]
            pool.set_members(self.members, now)
            for name in self.members[domain]:
                relay.record_report(name, self.daemons[name].demand(now))
                pool.record_report(name, now)
            relay.close_round()
            for name in self.members[domain]:
                self.daemons[name].update_totals(relay.totals_for(name))
        if not connected:
            return
        for domain, relay in self.relays.items():
            for other, other_relay in self.relays.items():
                if other != domain:
                    relay.record_remote_total(other, other_relay.local_total())
                    pool, home = self.pools[domain], self.pools[other]
                    age_s = pool.reply_age_s(other, now)
                    home.record_remote_daemons(
                        domain, pool.local_daemons(now), age_s, now
                    )
                    pool.record_reply(other, now)

    def spend(self, name: str, workspace: Workspace, now: float) -> bool:
        """Spend a token as a daemon does when all relays are reachable."""
        if not is_pooled(workspace):
            return self.daemons[name].spend(workspace, now) is None
        home = home_domain(workspace.name, tuple(self.members))
        return self.pools[home].grant(workspace, now).granted


def _simulate(
    rates: list[float],
    workspace: Workspace,
    *,
    seconds: float,
    partition_at: float | None = None,
    seed: int = 1,
) -> tuple[list[float], int]:
    """Return the times of admitted calls and the number of all calls."""
    rng = random.Random(seed)
    names = [f"d{number}" for number in range(len(rates))]
    fleet = _Fleet(names)
    arrivals = sorted(
        (at, name)
        for name, rate in zip(names, rates, strict=True)
        for at in _poisson(rng, rate, seconds)
    )
    fleet.exchange(0.0)
    admitted_at: list[float] = []
    exchanged_at = 0.0
    for at, name in arrivals:
        while exchanged_at + EXCHANGE_S <= at:
            exchanged_at += EXCHANGE_S
            if partition_at is None or exchanged_at < partition_at:
                fleet.exchange(exchanged_at)
        if fleet.spend(name, workspace, at):
            admitted_at.append(at)
    return admitted_at, len(arrivals)


def _poisson(rng: random.Random, rate: float, seconds: float) -> list[float]:
    times = []
    at = rng.expovariate(rate)
    while at < seconds:
        times.append(at)
        at += rng.expovariate(rate)
    return times


def _max_in_window(admitted_at: list[float]) -> int:
    highest = first = 0
    for last, at in enumerate(admitted_at):
        while admitted_at[first] < at - WINDOW_S:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def _bound(workspace: Workspace) -> float:
    limit = workspace.rate_per_s * WINDOW_S + workspace.burst
    return limit * (1.0 + OPTIONS.overage) + OPTIONS.slack


def test_a_greedy_workspace_stays_within_its_rate() -> None:
    """At seven times the rate on uneven daemons, also without exchange of reports."""
    workspace = Workspace("w", 100.0, 100)
    rates = [200.0, 200.0, 100.0, 100.0, 50.0, 50.0, 0.5, 0.5]
    for partition_at in (None, 8.0):
        admitted_at, _ = _simulate(
            rates, workspace, seconds=25.0, partition_at=partition_at
        )
        assert _max_in_window(admitted_at) <= _bound(workspace)


def test_a_restart_of_all_keeps_the_bound() -> None:
    """All daemons restart under heavy demand and receive the first totals late."""
    workspace = Workspace("w", 259.0, 259)
    rng = random.Random(11)
    names = [f"d{number}" for number in range(16)]

    fleet = _Fleet(names)
    admitted_at = []
    for at in _poisson(rng, 4.3 * 259.0, 20.0):
        step = int(at / 0.001)
        if 13.0 <= at < 13.6:
            fleet = _Fleet(names)
            continue
        if step % 500 < 2 and not 13.6 <= at < 13.8:
            fleet.exchange(at)
        name = names[int(len(names) * rng.random() ** 2)]
        if fleet.daemons[name].spend(workspace, at) is None:
            admitted_at.append(at)
    highest = _max_in_window(admitted_at)
    assert highest <= _bound(workspace), f"{highest} of {_bound(workspace)}"


def test_demand_that_moves_keeps_the_bound() -> None:
    """The shares add up to one rate when all demand moves to a remote daemon."""
    workspace = Workspace("w", 100.0, 100)
    names = ["a", "b", "c", "d", "e"]
    fleet = _Fleet(names)
    admitted_at = []
    for step in range(20_000):
        now = step / 1000.0
        if step % 500 == 0:
            fleet.exchange(now)
        name = "a" if now < 10.0 else "e"
        if step % 2 == 0 and fleet.daemons[name].spend(workspace, now) is None:
            admitted_at.append(now)
    assert _max_in_window(admitted_at) <= _bound(workspace)


# Guards against domains that each take most of a rate while they can't reach others.
def test_demand_that_grows_while_domains_are_cut_off_keeps_the_bound() -> None:
    """All domains lose each other, and then demand grows everywhere."""
    workspace = Workspace("w", 549.0, 549)
    rng = random.Random(5)
    names = [f"d{number}" for number in range(12)]
    for before, after in ((0.6, 4.0), (0.6, 7.5), (0.001, 4.0)):
        fleet = _Fleet(names)
        fleet.exchange(0.0)
        now, cut_at, grows_at = 0.0, 10.0, 10.5
        exchanged_at = 0.0
        admitted_at = []
        while now < 18.0:
            factor = before if now < grows_at else after
            now += min(0.1, rng.expovariate(factor * workspace.rate_per_s))
            if exchanged_at + EXCHANGE_S <= now:
                exchanged_at += EXCHANGE_S
                fleet.exchange(now, connected=now < cut_at)
            if fleet.spend(rng.choice(names), workspace, now):
                admitted_at.append(now)
        highest = _max_in_window(admitted_at)
        assert highest <= _bound(workspace), f"{highest} of {_bound(workspace)}"


def test_a_workspace_within_its_rate_is_hardly_refused() -> None:
    """At 62 % of the rate, on sixteen daemons with uneven demand."""
    for rate in (50.0, 270.0):
        workspace = Workspace("w", rate, int(rate))
        demand = 0.62 * rate
        weights = [3, 3, 2, 2, 1, 1, 1, 1] * 2
        rates = [demand * weight / sum(weights) for weight in weights]
        admitted_at, arrived = _simulate(rates, workspace, seconds=30.0)
        assert arrived - len(admitted_at) <= 0.02 * arrived


def test_a_small_workspace_on_many_daemons_is_hardly_refused() -> None:
    """At 62 % of 34 requests per second, with a few per minute at each daemon."""
    rate = 34.0
    workspace = Workspace("w", rate, int(rate))
    rates = [0.62 * rate / MANY_DAEMONS] * MANY_DAEMONS
    admitted_at, arrived = _simulate(rates, workspace, seconds=20.0)
    assert arrived - len(admitted_at) <= 0.02 * arrived


def test_a_greedy_small_workspace_on_many_daemons_keeps_the_bound() -> None:
    """At seven times 8 requests per second, where a share is less than a token."""
    rate = 8.0
    workspace = Workspace("w", rate, int(rate))
    rates = [7.0 * rate / MANY_DAEMONS] * MANY_DAEMONS
    admitted_at, _ = _simulate(rates, workspace, seconds=20.0)
    assert _max_in_window(admitted_at) <= _bound(workspace)


def test_no_limit_refuses_nothing() -> None:
    """A rate of 0 means no limit."""
    admitted_at, arrived = _simulate([50.0, 50.0], Workspace("w", 0.0, 0), seconds=5.0)
    assert len(admitted_at) == arrived


def test_a_refusal_tells_when_to_come_back() -> None:
    """The retry delay ends when the daemon's share has its next token."""
    shares = DemandShares(QuotaOptions())
    shares.update_totals(DemandTotals({}, {}, 1))
    workspace = Workspace("w", 10.0, 1)
    assert shares.spend(workspace, 0.0) is None
    refusal = shares.spend(workspace, 0.0)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.retry_after_s is not None
    assert shares.spend(workspace, refusal.retry_after_s + 0.001) is None


def test_refused_requests_are_not_all_called_back_at_once() -> None:
    """At ten times the rate, only a few retry delays end within the next second."""
    shares = DemandShares(QuotaOptions())
    shares.update_totals(DemandTotals({}, {}, 1))
    workspace = Workspace("w", 10.0, 10)
    waits = []
    for step in range(400):
        refusal = shares.spend(workspace, step * 0.01)
        if refusal is not None:
            assert refusal.retry_after_s is not None
            waits.append(step * 0.01 + refusal.retry_after_s)
    first = [at for at in waits if at < 2.0]
    assert 5 <= len(first) <= 40
    assert max(waits) <= 4.0 + 2.0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
