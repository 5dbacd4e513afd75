"""Selects the daemons to keep links to, and the relays of a failure domain."""

from collections import defaultdict
from collections.abc import Iterable

from damaskbay.core.dissemination.order import rank_by_rendezvous_hash
from damaskbay.mesh.const import (
    LOCAL_LINKS_PER_POOL,
    RELAYS_PER_DOMAIN,
    REMOTE_LINKS_PER_POOL,
)
from damaskbay.mesh.directory import MemberRecord

RELAY_KEY = "relay"
"""Key of the rank order of a domain's relays; the same at every daemon."""


def relay_order(
    records: Iterable[MemberRecord], failure_domain: str
) -> list[MemberRecord]:
    """Return a domain's daemons ranked as relays, the preferred one first."""
    members = [item for item in records if item.failure_domain == failure_domain]
    return list(rank_by_rendezvous_hash(members, RELAY_KEY))


def wanted_neighbours(
    records: Iterable[MemberRecord],
    local: MemberRecord,
    evacuated: frozenset[str] = frozenset(),
) -> frozenset[str]:
    """
    Return the instances of the daemons to keep links to.

    These are a limited number of servers per pool, local and remote, ranked by this
    daemon's name so that servers get about equally many callers; all daemons of the
    local domain if this one is among its relays; and the relays of each domain.
    While domains are `evacuated`, links to as many servers of the others are added.
    """
    peers = [record for record in records if record.instance != local.instance]
    wanted = _wanted_servers(peers, local)
    if evacuated:
        usable = [item for item in peers if item.failure_domain not in evacuated]
        wanted |= _wanted_servers(usable, local)
    members = [*peers, local]
    for domain in {record.failure_domain for record in members}:
        order = [record.instance for record in relay_order(members, domain)]
        if local.instance in order[:RELAYS_PER_DOMAIN]:
            wanted.update(order)
        wanted.update(order[:RELAYS_PER_DOMAIN])
    return frozenset(wanted - {local.instance})


def _wanted_servers(peers: list[MemberRecord], local: MemberRecord) -> set[str]:
    """Return the instances of some servers of each pool, local and remote."""
    wanted: set[str] = set()
    for (_, is_local), servers in _by_pool(peers, local.failure_domain).items():
        limit = LOCAL_LINKS_PER_POOL if is_local else REMOTE_LINKS_PER_POOL
        wanted.update(
            item.instance
            for item in rank_by_rendezvous_hash(servers, local.instance)[:limit]
        )
    return wanted


def _by_pool(
    records: Iterable[MemberRecord], failure_domain: str
) -> dict[tuple[str, bool], list[MemberRecord]]:
    """Return daemons by pool and by whether they are in the local domain."""
    by_pool: dict[tuple[str, bool], list[MemberRecord]] = defaultdict(list)
    for record in records:
        is_local = record.failure_domain == failure_domain
        by_pool[record.pool, is_local].append(record)
    return by_pool
