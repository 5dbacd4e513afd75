"""Tests of shares under failures of holders, the platform and the network."""

import unittest
from dataclasses import replace

from bench.rates_fleet import VirtualFleet, greatest_excess
from damaskbay.config.objects import ConfigSet, Limit, Workspace
from damaskbay.core.outcome import Reason
from damaskbay.core.rates.options import ShareOptions
from tests.common import function_suite

OPTIONS = ShareOptions(validity_s=30.0, margin_s=5.0, holders=1)
RATE = 10.0
BURST = 10


def config(version: int = 1, rate: float = RATE, burst: int = BURST) -> ConfigSet:
    """Return a configuration set with one workspace."""
    return ConfigSet(version, "d", {"w": Workspace("w", rate, burst)})


def new_fleet(options: ShareOptions = OPTIONS) -> VirtualFleet:
    """Return a fleet of two domains with three daemons each."""
    fleet = VirtualFleet(config(), options, seed=3)
    for domain in ("a", "b"):
        fleet.add_domain(domain, 3)
    return fleet


def send(fleet: VirtualFleet, domain: str, length_s: float, per_s: float) -> int:
    """Send calls at a steady rate and return how many were admitted."""
    start = fleet.now - fleet.started_at
    known = len(fleet.arrivals)
    for number in range(int(length_s * per_s)):
        fleet.run_until(start + number / per_s)
        fleet.request(domain, "w", ())
    fleet.run_until(start + length_s)
    return sum(item.refusal is None for item in fleet.arrivals[known:])


def assert_bounded(fleet: VirtualFleet, rate: float = RATE) -> None:
    """Assert that no window has more calls than rate x length + burst."""
    fleet.run_until(fleet.now - fleet.started_at + 2)
    admitted = [item.at for item in fleet.arrivals if item.refusal is None]
    assert greatest_excess(admitted, rate, BURST) == 0


def holder_ids(fleet: VirtualFleet) -> set[str]:
    """Return the ids of the holders in the ledgers."""
    ledgers = fleet.ledgers()
    return {holder for ledger in ledgers for holder in ledger.holders_by_id}


def test_crash_is_waited_out() -> None:
    """A crashed holder's share stays unused until its validity has passed."""
    fleet = new_fleet()
    send(fleet, "a", 10, 9)
    crashed = fleet.holder("a", "w/w")
    name = f"{crashed.member.instance}/1"
    fleet.crash(crashed)
    send(fleet, "a", OPTIONS.validity_s - 2, 9)
    assert name in holder_ids(fleet)
    send(fleet, "a", OPTIONS.margin_s + OPTIONS.renew_s + 5, 9)
    assert name not in holder_ids(fleet)
    assert send(fleet, "a", 10, 8) >= 76
    assert_bounded(fleet)


def test_paused_holder_stops_by_its_own_clock() -> None:
    """A holder resumed after its validity grants nothing from its old share."""
    fleet = new_fleet()
    send(fleet, "a", 10, 9)
    paused = fleet.holder("a", "w/w")
    paused.paused_until = fleet.now + 50
    send(fleet, "b", 49, 12)
    fleet.platform.inject(cut_clients=frozenset({"a"}))
    fleet.run_until(fleet.now - fleet.started_at + 2)
    for _ in range(5):
        fleet.request_at(paused, "w")
    before = len(fleet.arrivals)
    fleet.run_until(fleet.now - fleet.started_at + 2)
    assert all(item.refusal for item in fleet.arrivals[before:])
    send(fleet, "b", 5, 12)
    assert_bounded(fleet)


def test_planned_stop_hands_the_share_on_at_once() -> None:
    """Another daemon of the domain takes over within seconds of a planned stop."""
    fleet = new_fleet()
    send(fleet, "a", 10, 8)
    stopped = fleet.holder("a", "w/w")
    fleet.leave(stopped)
    fleet.run_until(fleet.now - fleet.started_at + 3)
    assert f"{stopped.member.instance}/1" not in holder_ids(fleet)
    stopped.dead = True
    fleet.forget(stopped)
    send(fleet, "a", 5, 8)
    assert send(fleet, "a", 10, 8) >= 76
    assert_bounded(fleet)


def test_outage_shorter_than_the_validity_refuses_little() -> None:
    """A domain keeps using its share during an outage of the platform."""
    fleet = new_fleet()
    send(fleet, "a", 10, 6)
    fleet.platform.inject(outage=True)
    assert send(fleet, "a", 14, 6) >= 80
    fleet.platform.inject(outage=False)
    assert_bounded(fleet)


def test_outage_longer_than_the_validity_stops_and_recovers() -> None:
    """No call is admitted after the validity; service resumes after the outage."""
    fleet = new_fleet()
    send(fleet, "a", 10, 6)
    fleet.platform.inject(outage=True)
    send(fleet, "a", OPTIONS.validity_s + 1, 6)
    assert send(fleet, "a", 5, 6) == 0
    last = fleet.arrivals[-1].refusal
    assert last is not None
    assert last.reason is Reason.SHARE_UNAVAILABLE
    fleet.platform.inject(outage=False)
    send(fleet, "a", 3, 6)
    assert send(fleet, "a", 10, 6) >= 57
    assert_bounded(fleet)


def test_cut_domain_serves_on_and_so_do_others() -> None:
    """A partitioned domain uses its share, the other domain the rest."""
    fleet = new_fleet()
    for _ in range(10):
        send(fleet, "a", 0.5, 6)
        send(fleet, "b", 0.5, 6)
    fleet.platform.inject(cut_clients=frozenset({"a"}))
    partitioned = remote = 0
    for _ in range(10):
        partitioned += send(fleet, "a", 0.5, 6)
        remote += send(fleet, "b", 0.5, 6)
    assert partitioned >= 27
    assert remote >= 27
    assert_bounded(fleet)


def test_restarted_holder_starts_with_nothing() -> None:
    """A new process of a crashed instance gets nothing of the old share."""
    fleet = new_fleet(replace(OPTIONS, validity_s=600.0))
    send(fleet, "a", 10, 20)
    crashed = fleet.holder("a", "w/w")
    fleet.crash(crashed)
    number = int(crashed.member.instance.partition("-")[2])
    fleet.add_daemon("a", number, incarnation=2)
    fleet.run_until(fleet.now - fleet.started_at + 60)
    send(fleet, "a", 20, 20)
    assert f"{crashed.member.instance}/1" in holder_ids(fleet)
    assert_bounded(fleet)


def test_lower_rate_holds_within_seconds() -> None:
    """All daemons keep a lower rate once they have the newer configuration set."""
    fleet = new_fleet()
    send(fleet, "a", 10, 12)
    fleet.publish(config(2, rate=2.0), within_s=1.0)
    send(fleet, "a", 2, 12)
    known = len(fleet.arrivals)
    send(fleet, "a", 30, 12)
    later = [item.at for item in fleet.arrivals[known:] if item.refusal is None]
    assert greatest_excess(later, 2.0, BURST) == 0
    assert_bounded(fleet)


def test_higher_rate_is_served_and_an_older_set_does_not_lower_it() -> None:
    """The newer limit wins while some daemons still have the older set."""
    fleet = new_fleet()
    send(fleet, "a", 5, 9)
    send(fleet, "b", 5, 1)
    for daemon in fleet.daemons_by_domain["a"]:
        daemon.set_in_force.config = config(2, rate=40.0, burst=40)
    send(fleet, "a", 10, 30)
    send(fleet, "b", 5, 2)
    totals = [
        record.total
        for ledger in fleet.ledgers()
        for record in ledger.buckets_by_name.values()
    ]
    assert [total.version for total in totals] == [2]
    assert send(fleet, "a", 10, 30) >= 280


def test_withdrawn_workspace_frees_nothing_for_itself() -> None:
    """A workspace that is withdrawn and published again gets no second burst."""
    fleet = new_fleet()
    send(fleet, "a", 1, 20)
    fleet.publish(ConfigSet(2, "e"), within_s=0.1)
    fleet.run_until(fleet.now - fleet.started_at + 0.3)
    fleet.publish(config(3), within_s=0.1)
    fleet.run_until(fleet.now - fleet.started_at + 0.2)
    send(fleet, "a", 2, 30)
    assert_bounded(fleet)


def test_two_that_believe_to_be_holder_share_one_bucket() -> None:
    """Daemons that disagree about the holder do not double the burst."""
    fleet = new_fleet()
    members = fleet.membership_by_domain["a"]
    all_members = members.all
    members.all = ()
    send(fleet, "a", 5, 30)
    members.all = all_members
    send(fleet, "a", 5, 30)
    assert_bounded(fleet)


def test_lost_and_dropped_writes() -> None:
    """Writes that are lost, or whose replies are lost, don't double any tokens."""
    fleet = new_fleet()
    for number in range(8):
        fleet.platform.inject(lose_answers=number % 3, drop_writes=(number + 1) % 2)
        send(fleet, "ab"[number % 2], 2, 15)
    assert_bounded(fleet)


def test_refused_requests_spend_no_later_limit() -> None:
    """A workspace over its own rate spends no tokens of a shared limit."""
    workspaces = {"over": Workspace("over", 2.0, 2), "w": Workspace("w", 20.0, 20)}
    limits = {"route": Limit("route", 12.0, 12)}
    shared = ConfigSet(1, "d", workspaces, limits_by_name=limits)
    fleet = VirtualFleet(shared, OPTIONS, seed=3)
    fleet.add_domain("a", 3)
    for number in range(600):
        fleet.run_until(number / 30)
        fleet.request("a", "w" if number % 5 == 0 else "over", ("route",))
    fleet.run_until(22)
    refused = [
        item for item in fleet.arrivals if item.workspace == "w" and item.refusal
    ]
    assert len(refused) <= 6


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
