"""Samples of the servers of each pool for other failure domains."""

from collections.abc import Iterable, Mapping

from damaskbay.core.membership.entry import MemberEntry
from damaskbay.helpers.hashing import stable_digest
from damaskbay.ports.fleet import ServerState

SAMPLE_SERVERS = 4


class PoolRevisions:
    """Counts changes, so that an asking daemon gets only what is new to it."""

    def __init__(self) -> None:
        self.revision = 0
        self._by_pool: dict[str, int] = {}

    def touch(self, pools: Iterable[str]) -> None:
        """Take note that the servers of some pools changed."""
        for pool in pools:
            self.revision += 1
            self._by_pool[pool] = self.revision

    def since(self, revision: int, among: Iterable[str] = ()) -> tuple[str, ...]:
        """Return the pools, of all or of some, that changed after a revision."""
        if revision == self.revision:
            return ()
        by_pool = self._by_pool
        pools = tuple(among) or tuple(by_pool)
        return tuple(pool for pool in pools if by_pool.get(pool, 0) > revision)


class RemoteServers:
    """What is known of the servers of other failure domains."""

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
        Replace the samples of some pools of one domain; return what changed.

        With `complete`, the domain has no pool that is not named.
        """
        by_pool = self._entries_by_domain.setdefault(domain, {})
        if complete:
            pools = (*pools, *by_pool.keys() - set(pools))
        changed = []
        for pool, found in _group(pools, entries).items():
            if by_pool.get(pool, ()) == found:
                continue
            by_pool[pool] = found
            if not found:
                del by_pool[pool]
            changed.append(pool)
        self.revisions.touch(changed)
        return tuple(changed)

    def drop(self, domain: str) -> tuple[str, ...]:
        """Forget one domain; return the pools that changed."""
        pools = tuple(self._entries_by_domain.pop(domain, {}))
        self.revisions.touch(pools)
        return pools

    def entries(self, pool: str) -> tuple[MemberEntry, ...]:
        """Return the known servers of a pool."""
        found = (by_pool.get(pool, ()) for by_pool in self._entries_by_domain.values())
        return tuple(entry for entries in found for entry in entries)

    def domains(self) -> tuple[str, ...]:
        """Return the domains of which something is known."""
        return tuple(self._entries_by_domain)


def sample(entries: Iterable[MemberEntry], asker: str) -> tuple[MemberEntry, ...]:
    """
    Return a bounded sample of live, ready servers.

    Different asking domains get different servers, so that they share the load.
    """
    ready = [
        entry
        for entry in entries
        if entry.status == 0 and entry.state is ServerState.READY
    ]
    chosen = sorted(ready, key=lambda entry: _weight(entry, asker))[:SAMPLE_SERVERS]
    return tuple(sorted(chosen, key=lambda entry: entry.instance))


def _group(
    pools: Iterable[str], entries: Iterable[MemberEntry]
) -> Mapping[str, tuple[MemberEntry, ...]]:
    by_pool: dict[str, list[MemberEntry]] = {pool: [] for pool in pools}
    for entry in entries:
        if entry.pool in by_pool:
            by_pool[entry.pool].append(entry)
    return {pool: tuple(found) for pool, found in by_pool.items()}


def _weight(entry: MemberEntry, asker: str) -> bytes:
    return stable_digest(asker, entry.instance, entry.incarnation)
