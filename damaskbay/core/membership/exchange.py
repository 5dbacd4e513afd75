"""Exchange of servers between failure domains: whom to ask, tell and answer."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from damaskbay.core.dissemination.order import FleetOrder
from damaskbay.core.membership.contacts import ContactBook
from damaskbay.core.membership.directory import PoolRevisions, RemoteServers, sample
from damaskbay.core.membership.entry import MemberEntry
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.sync import AskServers, Servers
from damaskbay.core.membership.wire import pack_entries, unpack_entries
from damaskbay.ports.peer import PeerAddress

MAX_WANTED_POOLS = 64
MAX_SUBSCRIBERS = 2_000


@dataclass(slots=True)
class _Subscriber:
    ask: AskServers
    told: int
    ends_at: float


@dataclass(slots=True)
class _Source:
    """What the last answer of one domain, or of the own delegates, was."""

    source: str = ""
    revision: int = 0
    heard_at: float = float("-inf")
    turn: int = 0


@dataclass(frozen=True, slots=True)
class Question:
    """A question to send; `domain` is that of the daemon at `address`."""

    domain: str
    address: PeerAddress
    ask: AskServers


@dataclass(frozen=True, slots=True)
class Telling:
    """News to send."""

    address: PeerAddress
    servers: Servers


class Exchange:
    """
    One daemon's part in it.

    `own_servers` returns the entries of a pool in the own failure domain; `own`
    names the process. Every daemon can answer; only delegates ask other domains.
    """

    def __init__(
        self,
        own: MemberEntry,
        own_servers: Callable[[str], Iterable[MemberEntry]],
        order: FleetOrder,
        book: ContactBook,
        options: MembershipOptions,
        rng: Random,
    ) -> None:
        self.remote = RemoteServers()
        self.own_revisions = PoolRevisions()
        self._own = own
        self._source = f"{own.instance}/{own.incarnation}"
        self._own_servers = own_servers
        self._order = order
        self._book = book
        self._options = options
        self._rng = rng
        self._next_ask = 0.0
        self._wanted_until_by_pool: dict[str, float] = {}
        self._source_by_domain: dict[str, _Source] = {}
        self._subscriber_by_address: dict[PeerAddress, _Subscriber] = {}

    def want(self, pools: Iterable[str], now: float) -> None:
        """Take note of the pools that calls go to."""
        for pool in pools:
            if pool not in self._wanted_until_by_pool:
                self._next_ask = now
                self._make_room()
                if not self._order.leads:
                    self._source_by_domain.pop(self._own.failure_domain, None)
            self._wanted_until_by_pool[pool] = now + self._options.wanted_s

    def questions(self, now: float) -> list[Question]:
        """Return what to ask now; none between two periods."""
        if now < self._next_ask:
            return []
        jitter = self._rng.uniform(0.8, 1.2)
        options, leads = self._options, self._order.leads
        period_s = options.summary_period_s if leads else options.question_period_s
        self._next_ask = now + period_s * jitter
        if leads:
            return self._ask_domains()
        return self._ask_delegate(now)

    def answer(self, ask: AskServers, now: float) -> Servers:
        """Answer a question and remember to tell of changes."""
        revisions = self._revisions_for(ask)
        since = ask.since if ask.source == self._source else 0
        known = self._subscriber_by_address
        if ask.address in known or len(known) < MAX_SUBSCRIBERS:
            ends_at = now + self._options.subscription_s
            known[ask.address] = _Subscriber(ask, revisions.revision, ends_at)
        return self._servers(ask, since)

    def tellings(self, now: float) -> list[Telling]:
        """Return the news for those who asked before."""
        tellings = []
        for address, subscriber in list(self._subscriber_by_address.items()):
            if now >= subscriber.ends_at:
                del self._subscriber_by_address[address]
                continue
            revision = self._revisions_for(subscriber.ask).revision
            if revision == subscriber.told:
                continue
            servers = self._servers(subscriber.ask, subscriber.told)
            subscriber.told = revision
            if servers.pools:
                tellings.append(Telling(address, servers))
        return tellings

    def take(self, servers: Servers, now: float, *, answered: bool) -> tuple[str, ...]:
        """
        Take an answer or news; return the pools that changed.

        News do not move the revision that the next question names, so that lost
        ones are told again.
        """
        entries = unpack_entries(servers.entries)
        if entries is None:
            return ()
        domain = servers.failure_domain or self._own.failure_domain
        if answered:
            source = self._source_by_domain.setdefault(domain, _Source())
            source.source, source.revision = servers.source, servers.revision
            source.heard_at = now
        if servers.failure_domain:
            complete = servers.complete
            return self.remote.put(domain, servers.pools, entries, complete=complete)
        return self._take_of_several(servers.pools, entries)

    def lost(self, domain: str, now: float) -> None:
        """Ask another daemon of a domain soon."""
        self._source_by_domain.setdefault(domain, _Source()).turn += 1
        soon = now + self._options.summary_period_s
        self._next_ask = min(self._next_ask, soon)

    def drop_silent(self, now: float) -> tuple[str, ...]:
        """Forget the servers of domains that are silent; return what changed."""
        if not self._order.leads:
            return ()
        changed: tuple[str, ...] = ()
        for domain in self.remote.domains():
            source = self._source_by_domain.setdefault(domain, _Source(heard_at=now))
            if now - source.heard_at >= self._options.domain_lost_s:
                changed += self.remote.drop(domain)
                del self._source_by_domain[domain]
        return changed

    def _ask_domains(self) -> list[Question]:
        """Ask one contact of each other domain for all its pools."""
        by_domain = self._book.addresses_by_domain
        return [
            self._question(domain, addresses, ())
            for domain, addresses in by_domain.items()
            if domain != self._own.failure_domain
        ]

    def _ask_delegate(self, now: float) -> list[Question]:
        """Ask a delegate of the own domain for the pools needed here."""
        by_pool = self._wanted_until_by_pool
        for pool in [pool for pool, until in by_pool.items() if until <= now]:
            del by_pool[pool]
        addresses = tuple(item.address for item in self._order.leaders)
        if not by_pool or not addresses:
            return []
        domain = self._own.failure_domain
        return [self._question(domain, addresses, tuple(by_pool))]

    def _question(
        self, domain: str, addresses: tuple[PeerAddress, ...], pools: tuple[str, ...]
    ) -> Question:
        own = self._own
        known = self._source_by_domain.setdefault(domain, _Source())
        ask = AskServers(
            own.failure_domain, own.address, pools, known.source, known.revision
        )
        place = (own.address.port + known.turn) % len(addresses)
        return Question(domain, addresses[place], ask)

    def _revisions_for(self, ask: AskServers) -> PoolRevisions:
        own_domain = ask.failure_domain == self._own.failure_domain
        return self.remote.revisions if own_domain else self.own_revisions

    def _servers(self, ask: AskServers, since: int) -> Servers:
        revisions = self._revisions_for(ask)
        pools = revisions.since(since, among=ask.pools)
        if ask.failure_domain != self._own.failure_domain:
            found = [
                sample(self._own_servers(pool), ask.failure_domain) for pool in pools
            ]
            domain = self._own.failure_domain
        else:
            pools = pools if since else ask.pools
            found = [self.remote.entries(pool) for pool in pools]
            domain = ""
        entries = pack_entries(entry for entries in found for entry in entries)
        revision, complete = revisions.revision, not since
        return Servers(domain, self._source, revision, pools, entries, complete)

    def _take_of_several(
        self, pools: tuple[str, ...], entries: tuple[MemberEntry, ...]
    ) -> tuple[str, ...]:
        """Take what a delegate knows of all other domains, if it is none itself."""
        if self._order.leads:
            return ()
        domains = {entry.failure_domain for entry in entries}
        changed: set[str] = set()
        for domain in domains | set(self.remote.domains()):
            mine = (entry for entry in entries if entry.failure_domain == domain)
            changed |= set(self.remote.put(domain, pools, mine))
        return tuple(changed)

    def _make_room(self) -> None:
        by_pool = self._wanted_until_by_pool
        if len(by_pool) >= MAX_WANTED_POOLS:
            del by_pool[min(by_pool, key=by_pool.__getitem__)]
