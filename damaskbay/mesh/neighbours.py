"""Which daemons a daemon keeps links to, and which one relays for a domain."""

from collections import defaultdict
from collections.abc import Iterable

from damaskbay.core.dissemination.order import rank
from damaskbay.mesh.const import (
    LOCAL_LINKS_PER_POOL,
    RELAYS_PER_DOMAIN,
    REMOTE_LINKS_PER_POOL,
)
from damaskbay.mesh.directory import MemberRecord

RELAY_KEY = "relay"
"""What the order of a domain's relays is drawn by: the same for every daemon."""


def relay_order(
    records: Iterable[MemberRecord], failure_domain: str
) -> list[MemberRecord]:
    """Return a domain's daemons in the order in which they are to relay for it."""
    members = [item for item in records if item.failure_domain == failure_domain]
    return list(rank(members, RELAY_KEY))


def wanted_neighbours(
    records: Iterable[MemberRecord], own: MemberRecord
) -> frozenset[str]:
    """
    Return the daemons to keep links to.

    Those are a number of servers of each pool, in the own domain and in the others,
    drawn by the own name, so that each server has about as many callers; the whole
    own domain for the one that relays there; and the first relays of each domain.
    """
    others = [record for record in records if record.instance != own.instance]
    wanted: set[str] = set()
    for (_, near), servers in _by_pool(others, own.failure_domain).items():
        most = LOCAL_LINKS_PER_POOL if near else REMOTE_LINKS_PER_POOL
        wanted.update(item.instance for item in rank(servers, own.instance)[:most])
    everyone = [*others, own]
    for domain in {record.failure_domain for record in everyone}:
        order = [record.instance for record in relay_order(everyone, domain)]
        if own.instance in order[:RELAYS_PER_DOMAIN]:
            wanted.update(order)
        wanted.update(order[:RELAYS_PER_DOMAIN])
    return frozenset(wanted - {own.instance})


def _by_pool(
    records: Iterable[MemberRecord], failure_domain: str
) -> dict[tuple[str, bool], list[MemberRecord]]:
    """Return the daemons of each pool, those of the own domain by themselves."""
    found: dict[tuple[str, bool], list[MemberRecord]] = defaultdict(list)
    for record in records:
        near = record.failure_domain == failure_domain
        found[record.pool, near].append(record)
    return found
