"""Samples of the servers of each pool, exchanged between failure domains."""

from collections.abc import Iterable, Mapping

from damaskbay.core.membership.entry import MemberEntry
from damaskbay.helpers.hashing import stable_digest
from damaskbay.ports.fleet import ServerState

SAMPLE_SERVERS = 4


class PoolRevisions:
    """Revision counter per pool, so that a reply contains only the changed pools."""

    def __init__(self) -> None:
        self.revision = 0
        self._by_pool: dict[str, int] = {}

    def mark_changed(self, pools: Iterable[str]) -> None:
        """Record that the servers of some pools changed."""
        for pool in pools:
            self.revision += 1
            self._by_pool[pool] = self.revision

    def since(self, revision: int, among: Iterable[str] = ()) -> tuple[str, ...]:
        """Return the pools changed after a revision, only those in `among` if given."""
        if revision == self.revision:
            return ()
        by_pool = self._by_pool
        pools = tuple(among) or tuple(by_pool)
        return tuple(pool for pool in pools if by_pool.get(pool, 0) > revision)


class RemoteServers:
    """Samples of the servers of other failure domains."""

    def __init__(self) -> None:
        self.revisions = PoolRevisions()
        self._entries_by_domain: dict[str, dict[str, tuple[MemberEntry, ...]]] = {}

    def put(
        self,
        domain: str,
        pools: Iterable[str],
        entries: Iterable[MemberEntry],
        *,
        complete: bool = False,
    ) -> tuple[str, ...]:
        """
        Replace the samples of some pools of one domain; return the changed pools.

        With `complete`, `pools` lists all pools of the domain, and others are removed.
        """
        by_pool = self._entries_by_domain.setdefault(domain, {})
        if complete:
            pools = (*pools, *by_pool.keys() - set(pools))
        changed = []
        for pool, found in _group_by_pool(pools, entries).items():
            if by_pool.get(pool, ()) == found:
                continue
            by_pool[pool] = found
            if not found:
                del by_pool[pool]
            changed.append(pool)
        self.revisions.mark_changed(changed)
        return tuple(changed)

    def drop(self, domain: str) -> tuple[str, ...]:
        """Remove one domain; return the pools that changed."""
        pools = tuple(self._entries_by_domain.pop(domain, {}))
        self.revisions.mark_changed(pools)
        return pools

    def entries(self, pool: str) -> tuple[MemberEntry, ...]:
        """Return the known servers of a pool."""
        found = (by_pool.get(pool, ()) for by_pool in self._entries_by_domain.values())
        return tuple(entry for entries in found for entry in entries)

    def domains(self) -> tuple[str, ...]:
        """Return the domains with recorded servers."""
        return tuple(self._entries_by_domain)


def sample(entries: Iterable[MemberEntry], requester: str) -> tuple[MemberEntry, ...]:
    """
    Return a bounded sample of live, ready servers.

    `requester` is the requesting failure domain. Different domains get different
    servers, which spreads the load.
    """
    ready = [
        entry
        for entry in entries
        if entry.status == 0 and entry.state is ServerState.READY
    ]
    chosen = sorted(ready, key=lambda entry: _selection_hash(entry, requester))[
        :SAMPLE_SERVERS
    ]
    return tuple(sorted(chosen, key=lambda entry: entry.instance))


def _group_by_pool(
    pools: Iterable[str], entries: Iterable[MemberEntry]
) -> Mapping[str, tuple[MemberEntry, ...]]:
    by_pool: dict[str, list[MemberEntry]] = {pool: [] for pool in pools}
    for entry in entries:
        if entry.pool in by_pool:
            by_pool[entry.pool].append(entry)
    return {pool: tuple(found) for pool, found in by_pool.items()}


def _selection_hash(entry: MemberEntry, requester: str) -> bytes:
    return stable_digest(requester, entry.instance, entry.incarnation)
