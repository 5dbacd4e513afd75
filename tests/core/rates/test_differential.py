"""Comparison of the distributed buckets with one bucket that sees all calls."""

import unittest
from dataclasses import replace

from hypothesis import HealthCheck, given, settings, strategies as st

from bench.rates_fleet import VirtualFleet, greatest_excess, naive_admits
from damaskbay.config.objects import ConfigSet, Workspace
from damaskbay.core.rates.options import ShareOptions
from tests.common import function_suite

DOMAINS = ("a", "b")
OPTIONS = ShareOptions(validity_s=3.0, margin_s=2.0, renew_s=1.0, groups=2)
RATE = 10.0
BURST = 6
COUNTED = {"requests": 0, "naive_admits": 0, "wrongful": 0}

steps = st.lists(
    st.one_of(
        st.tuples(st.just("requests"), st.sampled_from(DOMAINS), st.integers(1, 12)),
        st.tuples(st.just("requests"), st.sampled_from(DOMAINS), st.integers(1, 12)),
        st.tuples(st.just("wait"), st.just(""), st.sampled_from([1, 5, 20, 70])),
        st.tuples(
            st.sampled_from(
                ["crash", "pause", "leave", "cut", "heal", "lose", "drop", "publish"]
            ),
            st.sampled_from(DOMAINS),
            st.integers(0, 5),
        ),
    ),
    min_size=5,
    max_size=40,
)


def config(version: int, rate: float) -> ConfigSet:
    """Return a configuration set with one workspace."""
    return ConfigSet(version, "d", {"w": Workspace("w", rate, BURST)})


def fault(fleet: VirtualFleet, kind: str, domain: str, number: int) -> None:
    """Inject one fault or change."""
    holder = fleet.holder(domain, "w/w")
    if kind == "pause":
        holder.paused_until = fleet.now + number
    elif kind in ("crash", "leave"):
        getattr(fleet, kind)(holder)
        incarnation = len(fleet.daemons_by_domain[domain]) + 1
        fleet.add_daemon(domain, 10 + incarnation, incarnation)
    elif kind == "cut":
        fleet.platform.inject(cut_clients=frozenset(DOMAINS[: number % 3]))
    elif kind == "heal":
        fleet.platform.inject(cut_clients=frozenset())
    elif kind == "lose":
        fleet.platform.inject(lose_answers=1 + number % 2)
    elif kind == "drop":
        fleet.platform.inject(drop_writes=1 + number % 2)
    elif kind == "publish":
        version = fleet.config.version + 1
        fleet.publish(config(version, RATE - number), within_s=1.0)


def run_steps(items: list[tuple[str, str, int]], options: ShareOptions) -> VirtualFleet:
    """Run the steps on a fleet of two domains."""
    fleet = VirtualFleet(config(1, RATE), options, seed=7)
    for domain in DOMAINS:
        fleet.add_domain(domain, 2)
    at = 0.0
    for kind, domain, number in items:
        if kind == "requests":
            for _ in range(number):
                fleet.request(domain, "w", ())
        elif kind == "wait":
            at += number / 10
        else:
            fault(fleet, kind, domain, number)
        at += 0.01
        fleet.run_until(at)
    fleet.platform.inject(cut_clients=frozenset())
    fleet.run_until(at + 10)
    return fleet


@settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(steps)
def _check(items: list[tuple[str, str, int]]) -> None:
    fleet = run_steps(items, OPTIONS)
    arrivals = sorted(fleet.arrivals, key=lambda item: item.at)
    admitted = [item.at for item in arrivals if item.refusal is None]
    assert greatest_excess(admitted, RATE, BURST) == 0
    naive_verdicts = naive_admits(arrivals, RATE, BURST)
    COUNTED["requests"] += len(arrivals)
    COUNTED["naive_admits"] += sum(naive_verdicts)
    COUNTED["wrongful"] += max(0, sum(naive_verdicts) - len(admitted))


def test_never_more_than_one_bucket_admits() -> None:
    """No window has more calls than rate x length + burst, under any faults."""
    _check()
    print(f"\nrates: against one bucket under faults: {COUNTED}")


def test_quiet_fleet_refuses_little() -> None:
    """
    Without faults one domain gets the complete burst, each time it has refilled.

    In each burst one token may be unused at the daemon that has no call.
    """
    bursts = 5
    burst = [("requests", "a", BURST), ("wait", "", 20)]
    fleet = run_steps(burst * bursts, replace(OPTIONS, validity_s=900.0))
    refused = [item for item in fleet.arrivals if item.refusal]
    assert len(refused) <= bursts


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
