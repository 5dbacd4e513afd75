"""Selection of links and relays."""

import unittest
from collections import Counter

from damaskbay.mesh.const import (
    LOCAL_LINKS_PER_POOL,
    RELAYS_PER_DOMAIN,
    REMOTE_LINKS_PER_POOL,
)
from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.neighbours import relay_order, wanted_neighbours
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

DOMAINS = ("a", "b", "c", "d")
POOLS = ("one", "two", "three")


def _fleet(count: int) -> list[MemberRecord]:
    return [
        MemberRecord(
            f"d{number}",
            1,
            DOMAINS[number % len(DOMAINS)],
            PeerAddress("10.0.0.1", 7000 + number),
            POOLS[number // len(DOMAINS) % len(POOLS)],
            ServerState.READY,
            4,
        )
        for number in range(count)
    ]


def test_a_small_fleet_is_linked_whole() -> None:
    """Below the limits per pool, every daemon is a neighbour."""
    records = _fleet(12)
    for own in records:
        assert len(wanted_neighbours(records, own)) == len(records) - 1


def test_links_are_bounded_and_every_pool_is_reached() -> None:
    """The number of links does not grow with remote domains, except at relays."""
    records = _fleet(300)
    relays = {
        record.instance
        for domain in DOMAINS
        for record in relay_order(records, domain)[:RELAYS_PER_DOMAIN]
    }
    limit = len(POOLS) * (LOCAL_LINKS_PER_POOL + REMOTE_LINKS_PER_POOL) + len(relays)
    by_instance = {record.instance: record for record in records}
    callers: Counter[str] = Counter()
    for own in records:
        wanted = wanted_neighbours(records, own)
        assert own.instance not in wanted
        assert own.instance in relays or len(wanted) <= limit
        reached = {by_instance[name].pool for name in wanted}
        assert reached == set(POOLS)
        callers.update(wanted)
    assert min(callers[record.instance] for record in records) > 0


def test_all_agree_on_the_relays() -> None:
    """The relay order does not depend on the order of the records."""
    records = _fleet(40)
    for domain in DOMAINS:
        order = [item.instance for item in relay_order(records, domain)]
        reordered = [item.instance for item in relay_order(reversed(records), domain)]
        assert order == reordered
        assert len(order) == 10


# All links to remote servers of a pool could lead to the domain that was evacuated.
def test_each_pool_is_reached_while_domains_are_evacuated() -> None:
    """Links to evacuated servers stay, for their return and for updates about it."""
    records = _fleet(300)
    evacuated = frozenset(DOMAINS[:2])
    by_instance = {record.instance: record for record in records}
    for own in records[:40]:
        wanted = wanted_neighbours(records, own, evacuated)
        assert wanted >= wanted_neighbours(records, own)
        peers = [by_instance[name] for name in wanted]
        for pool in POOLS:
            usable = [
                peer
                for peer in peers
                if peer.pool == pool and peer.failure_domain not in evacuated
            ]
            assert len(usable) >= REMOTE_LINKS_PER_POOL


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
