"""Tests of failure detection and recovery among the members of a failure domain."""

import unittest
from dataclasses import replace

from damaskbay.core.membership.entry import Status
from damaskbay.core.membership.packets import Ack, Ping, Rumor
from damaskbay.ports.fleet import ServerState
from tests.common import function_suite
from tests.core.membership.common import TICK_S, Network, pool_of


def _others(network: Network, *names: str) -> list[str]:
    return [name for name in network.swim_by_name if name not in names]


def _seen_by_all(network: Network, instance: str, *, among: list[str]) -> bool:
    return all(instance in pool_of(network.swim_by_name[name]) for name in among)


def _avoided_by_all(network: Network, instance: str) -> bool:
    others = _others(network, instance)
    return all(instance not in pool_of(network.swim_by_name[name]) for name in others)


def test_joiner_learns_all_and_is_learned_by_all() -> None:
    """A new member joins through a single seed address."""
    network = Network()
    names = network.start(40)
    joiner = network.add("new", port=5_000, incarnation=7)
    joiner.set_seeds([network.swim_by_name["m3"].own.gossip])
    network.run_until(lambda: _seen_by_all(network, "new", among=names), limit_s=10)
    network.run_until(lambda: len(pool_of(joiner)) == 41, limit_s=10)


def test_crash_is_avoided_by_all_within_seconds() -> None:
    """All members avoid an unresponsive one within seconds."""
    network = Network()
    network.start(60)
    network.run(2)
    network.remove("m7")
    network.run_until(lambda: _avoided_by_all(network, "m7"), limit_s=6)


def test_crash_is_avoided_at_once_by_who_reports_it() -> None:
    """The sender of a failed call avoids the target at once."""
    network = Network()
    network.start(10)
    swim = network.swim_by_name["m1"]
    network.remove("m2")
    network.send("m1", swim.suspect("m2", 1, network.now))
    assert "m2" not in pool_of(swim)
    network.run_until(lambda: _avoided_by_all(network, "m2"), limit_s=4)


def test_report_of_an_older_process_is_ignored() -> None:
    """A failure of the previous process does not affect its replacement."""
    network = Network()
    network.start(3)
    swim = network.swim_by_name["m1"]
    assert not swim.suspect("m2", 0, network.now)
    assert "m2" in pool_of(swim)


def test_avoidance_never_empties_a_pool() -> None:
    """If every server of a pool is avoided, all of them stay in use."""
    network = Network()
    network.start(3)
    swim = network.swim_by_name["m0"]
    swim.announce(pool="q", state=ServerState.READY, slots=1, load=0, now=network.now)
    swim.suspect("m1", 1, network.now)
    swim.suspect("m2", 1, network.now)
    assert pool_of(swim) == {"m1", "m2"}


def test_drain_reaches_all_within_two_seconds() -> None:
    """A draining server gets no new calls from 300 members after 2 s."""
    network = Network()
    network.start(300)
    network.run(1)
    swim = network.swim_by_name["m5"]
    announced = swim.announce(
        pool="p", state=ServerState.DRAINING, slots=4, load=0, now=network.now
    )
    network.send("m5", announced)
    network.run_until(lambda: _avoided_by_all(network, "m5"), limit_s=2)


def test_leaving_needs_no_suspicion() -> None:
    """All members avoid a stopped member within 2 s of its announcement."""
    network = Network()
    network.start(50)
    swim = network.swim_by_name["m5"]
    network.send("m5", swim.announce_stop(network.now))
    network.remove("m5")
    network.run_until(lambda: _avoided_by_all(network, "m5"), limit_s=2)


def test_one_way_cut_ejects_nobody() -> None:
    """Loss in one direction between two members is covered by indirect probes."""
    network = Network()
    names = network.start(12)
    network.is_lost = lambda source, target: (source, target) == ("m1", "m2")
    for _ in range(200):
        network.run(TICK_S)
        for name in names:
            assert len(pool_of(network.swim_by_name[name])) == 12


def test_deaf_member_ejects_nobody() -> None:
    """A member that receives nothing does not make others drop live members."""
    network = Network()
    names = network.start(12)
    network.is_lost = lambda _source, target: target == "m1"
    receiving = [name for name in names if name != "m1"]
    for _ in range(200):
        network.run(TICK_S)
        for name in receiving:
            seen = pool_of(network.swim_by_name[name]) | {"m1"}
            assert len(seen) == 12
    network.is_lost = lambda _source, _target: False
    network.run_until(lambda: len(pool_of(network.swim_by_name["m1"])) == 12, limit_s=5)


def test_paused_member_wakes_up_with_old_facts() -> None:
    """Outdated entries of a paused member overwrite nothing, and it rejoins."""
    network = Network()
    names = network.start(20)
    resumed = network.swim_by_name["m3"]
    network.is_lost = lambda source, _target: source == "m3"
    network.run_until(lambda: bool(resumed._probes._by_number), limit_s=5)
    network.paused.add("m3")
    network.is_lost = lambda _source, _target: False
    network.run(15)
    assert _avoided_by_all(network, "m3")
    network.remove("m4")
    network.add("m4", port=1_004, incarnation=2)
    network.swim_by_name["m4"].set_seeds([network.swim_by_name["m5"].own.gossip])
    network.run(5)
    network.paused.discard("m3")
    resumed.receive(Rumor(network.swim_by_name["m5"].own), network.now)
    others = [name for name in names if name != "m3"]
    for _ in range(100):
        network.run(TICK_S)
        for name in others:
            swim = network.swim_by_name[name]
            assert swim.table.by_instance["m4"].entry.incarnation == 2
            assert len(pool_of(swim) - {"m3"}) == 19
    assert _seen_by_all(network, "m3", among=names)
    assert resumed.table.by_instance["m4"].entry.incarnation == 2


def test_replaced_daemon_at_the_same_address_counts_as_new() -> None:
    """A newer process at the same address displaces the old one, under any id."""
    network = Network()
    network.start(10)
    old = network.swim_by_name["m2"].own
    network.remove("m2")
    newer = network.add("m2", port=1_002, incarnation=2, instance="fresh")
    newer.set_seeds([network.swim_by_name["m1"].own.gossip])
    others = _others(network, "m2")
    network.run_until(lambda: _seen_by_all(network, "fresh", among=others), limit_s=5)
    assert _avoided_by_all(network, "m2")
    for name in others:
        network.swim_by_name[name].receive(Rumor(old), network.now)
        assert "m2" not in pool_of(network.swim_by_name[name])


def test_displaced_process_does_not_refute() -> None:
    """A process that resumes after its replacement does not reclaim the name."""
    network = Network()
    network.start(6)
    network.paused.add("m2")
    network.run(10)
    resumed = network.swim_by_name["m2"]
    newer = network.add("m2b", port=4_000, incarnation=2, instance="m2")
    newer.set_seeds([network.swim_by_name["m1"].own.gossip])
    network.run(6)
    network.paused.discard("m2")
    network.run_until(lambda: resumed.displaced, limit_s=15)
    for name in ("m0", "m1", "m3"):
        known = network.swim_by_name[name].table.by_instance["m2"].entry
        assert (known.incarnation, known.status) == (2, Status.ALIVE)


def test_halves_merge_after_a_cut() -> None:
    """Two partitions that considered each other dead merge into one domain again."""
    network = Network()
    names = network.start(20)
    half = set(names[:10])
    network.is_lost = lambda source, target: (source in half) != (target in half)
    network.run(40)
    assert pool_of(network.swim_by_name["m0"]) == half
    network.is_lost = lambda _source, _target: False

    def is_complete() -> bool:
        return all(len(pool_of(swim)) == 20 for swim in network.swim_by_name.values())

    network.run_until(is_complete, limit_s=20)


def test_suspicion_is_refuted() -> None:
    """A live member refutes a suspicion with a newer version of its entry."""
    network = Network()
    names = network.start(10)
    known = network.swim_by_name["m1"].table.by_instance["m2"].entry
    wrong = replace(known, status=Status.SUSPECT)
    network.swim_by_name["m1"].merge([wrong], network.now)
    network.run_until(lambda: _seen_by_all(network, "m2", among=names), limit_s=3)
    assert network.swim_by_name["m2"].own.version == 1


def test_ack_tells_a_member_that_it_is_held_for_dead() -> None:
    """The ack of a member's probe reports that the member is considered dead."""
    network = Network()
    network.start(3)
    swim = network.swim_by_name["m1"]
    record = swim.table.by_instance["m2"]
    dead = replace(record.entry, status=Status.DEAD)
    swim.table.apply(dead, network.now)
    [ack] = swim.receive(Ping(record.entry, 1), network.now)
    assert isinstance(ack.packet, Ack)
    assert dead in ack.packet.updates


def test_traffic_per_member_stays_flat() -> None:
    """Idle traffic per member hardly grows with ten times as many members."""
    sent_per_member_by_count = {}
    for count in (30, 300):
        network = Network()
        network.start(count)
        network.run(5)
        total = sum(network.sent_bytes.values())
        sent_per_member_by_count[count] = total / count / 5
    assert sent_per_member_by_count[300] < 1.5 * sent_per_member_by_count[30]
    assert sent_per_member_by_count[300] < 23_000


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
