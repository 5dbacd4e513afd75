"""Exchange of server samples between failure domains."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from damaskbay.core.dissemination.order import MemberOrder
from damaskbay.core.membership.contacts import ContactList
from damaskbay.core.membership.directory import PoolRevisions, RemoteServers, sample
from damaskbay.core.membership.entry import MemberEntry
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.sync import Servers, ServersRequest
from damaskbay.core.membership.wire import pack_entries, unpack_entries
from damaskbay.ports.peer import PeerAddress

MAX_WANTED_POOLS = 64
MAX_SUBSCRIBERS = 2_000


@dataclass(slots=True)
class _Subscriber:
    request: ServersRequest
    sent_revision: int
    expires_at: float


@dataclass(slots=True)
class _LastReply:
    """
    Last reply of one domain, or of a delegate of the local domain.

    `failed_contacts` counts failed requests; each one moves on to the next contact.
    """

    source: str = ""
    revision: int = 0
    replied_at: float = float("-inf")
    failed_contacts: int = 0


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request to send; `domain` is that of the daemon at `address`."""

    domain: str
    address: PeerAddress
    ask: ServersRequest


@dataclass(frozen=True, slots=True)
class ServersUpdate:
    """Changed servers to send to a subscriber."""

    address: PeerAddress
    servers: Servers


class Exchange:
    """
    Requests, replies and subscriptions of one daemon for server samples.

    `own_servers` returns the entries of a pool in the local failure domain; `own` is
    the entry of this process. Every daemon replies to requests, but only delegates
    send requests to other domains.
    """

    def __init__(
        self,
        own: MemberEntry,
        own_servers: Callable[[str], Iterable[MemberEntry]],
        order: MemberOrder,
        book: ContactList,
        options: MembershipOptions,
        rng: Random,
    ) -> None:
        self.remote = RemoteServers()
        self.own_revisions = PoolRevisions()
        self._own = own
        self._source_id = f"{own.instance}/{own.incarnation}"
        self._own_servers = own_servers
        self._order = order
        self._book = book
        self._options = options
        self._rng = rng
        self._next_request_at = 0.0
        self._wanted_until_by_pool: dict[str, float] = {}
        self._last_reply_by_domain: dict[str, _LastReply] = {}
        self._subscriber_by_address: dict[PeerAddress, _Subscriber] = {}

    def record_wanted_pools(self, pools: Iterable[str], now: float) -> None:
        """Record pools that calls go to; servers of new pools are requested at once."""
        for pool in pools:
            if pool not in self._wanted_until_by_pool:
                self._next_request_at = now
                self._evict_wanted_pool()
                if not self._order.is_leader:
                    self._last_reply_by_domain.pop(self._own.failure_domain, None)
            self._wanted_until_by_pool[pool] = now + self._options.wanted_pool_s

    def due_requests(self, now: float) -> list[PendingRequest]:
        """Return the requests to send now; empty until the next period begins."""
        if now < self._next_request_at:
            return []
        jitter = self._rng.uniform(0.8, 1.2)
        options, leads = self._options, self._order.is_leader
        period_s = (
            options.delegate_request_period_s
            if leads
            else options.member_request_period_s
        )
        self._next_request_at = now + period_s * jitter
        if leads:
            return self._requests_to_domains()
        return self._requests_to_delegate(now)

    def handle_request(self, request: ServersRequest, now: float) -> Servers:
        """Reply to a request and subscribe its sender to changes."""
        revisions = self._revisions_for(request)
        since = request.since if request.source == self._source_id else 0
        subscribers = self._subscriber_by_address
        if request.address in subscribers or len(subscribers) < MAX_SUBSCRIBERS:
            expires_at = now + self._options.subscription_s
            subscribers[request.address] = _Subscriber(
                request, revisions.revision, expires_at
            )
        return self._servers_since(request, since)

    def due_updates(self, now: float) -> list[ServersUpdate]:
        """Return the changes since the last message to each subscriber."""
        updates = []
        for address, subscriber in list(self._subscriber_by_address.items()):
            if now >= subscriber.expires_at:
                del self._subscriber_by_address[address]
                continue
            revision = self._revisions_for(subscriber.request).revision
            if revision == subscriber.sent_revision:
                continue
            servers = self._servers_since(subscriber.request, subscriber.sent_revision)
            subscriber.sent_revision = revision
            if servers.pools:
                updates.append(ServersUpdate(address, servers))
        return updates

    def apply_servers(
        self, servers: Servers, now: float, *, answered: bool
    ) -> tuple[str, ...]:
        """
        Apply a reply or an unrequested update; return the pools that changed.

        An update does not advance the revision of the next request, so that changes
        of a lost update are sent again.
        """
        entries = unpack_entries(servers.entries)
        if entries is None:
            return ()
        domain = servers.failure_domain or self._own.failure_domain
        if answered:
            reply = self._last_reply_by_domain.setdefault(domain, _LastReply())
            reply.source, reply.revision = servers.source, servers.revision
            reply.replied_at = now
        if servers.failure_domain:
            complete = servers.complete
            return self.remote.put(domain, servers.pools, entries, complete=complete)
        return self._apply_delegate_servers(servers.pools, entries)

    def request_failed(self, domain: str, now: float) -> None:
        """Switch to another contact of a domain after a request failed."""
        self._last_reply_by_domain.setdefault(domain, _LastReply()).failed_contacts += 1
        retry_at = now + self._options.delegate_request_period_s
        self._next_request_at = min(self._next_request_at, retry_at)

    def drop_unresponsive(self, now: float) -> tuple[str, ...]:
        """Remove the servers of unresponsive domains; return the pools that changed."""
        if not self._order.is_leader:
            return ()
        changed: tuple[str, ...] = ()
        for domain in self.remote.domains():
            reply = self._last_reply_by_domain.setdefault(
                domain, _LastReply(replied_at=now)
            )
            if now - reply.replied_at >= self._options.domain_timeout_s:
                changed += self.remote.drop(domain)
                del self._last_reply_by_domain[domain]
        return changed

    def _requests_to_domains(self) -> list[PendingRequest]:
        """Return a request to one contact of each remote domain, for all its pools."""
        by_domain = self._book.addresses_by_domain
        return [
            self._request_to(domain, addresses, ())
            for domain, addresses in by_domain.items()
            if domain != self._own.failure_domain
        ]

    def _requests_to_delegate(self, now: float) -> list[PendingRequest]:
        """Return a request to a local delegate for the pools that this daemon needs."""
        by_pool = self._wanted_until_by_pool
        for pool in [pool for pool, until in by_pool.items() if until <= now]:
            del by_pool[pool]
        addresses = tuple(item.address for item in self._order.leaders)
        if not by_pool or not addresses:
            return []
        domain = self._own.failure_domain
        return [self._request_to(domain, addresses, tuple(by_pool))]

    def _request_to(
        self, domain: str, addresses: tuple[PeerAddress, ...], pools: tuple[str, ...]
    ) -> PendingRequest:
        own = self._own
        last_reply = self._last_reply_by_domain.setdefault(domain, _LastReply())
        request = ServersRequest(
            own.failure_domain,
            own.address,
            pools,
            last_reply.source,
            last_reply.revision,
        )
        index = (own.address.port + last_reply.failed_contacts) % len(addresses)
        return PendingRequest(domain, addresses[index], request)

    def _revisions_for(self, request: ServersRequest) -> PoolRevisions:
        is_local = request.failure_domain == self._own.failure_domain
        return self.remote.revisions if is_local else self.own_revisions

    def _servers_since(self, request: ServersRequest, since: int) -> Servers:
        revisions = self._revisions_for(request)
        pools = revisions.since(since, among=request.pools)
        if request.failure_domain != self._own.failure_domain:
            found = [
                sample(self._own_servers(pool), request.failure_domain)
                for pool in pools
            ]
            domain = self._own.failure_domain
        else:
            pools = pools if since else request.pools
            found = [self.remote.entries(pool) for pool in pools]
            domain = ""
        entries = pack_entries(entry for entries in found for entry in entries)
        revision, complete = revisions.revision, not since
        return Servers(domain, self._source_id, revision, pools, entries, complete)

    def _apply_delegate_servers(
        self, pools: tuple[str, ...], entries: tuple[MemberEntry, ...]
    ) -> tuple[str, ...]:
        """Apply servers sent by a local delegate; delegates themselves ignore them."""
        if self._order.is_leader:
            return ()
        domains = {entry.failure_domain for entry in entries}
        changed: set[str] = set()
        for domain in domains | set(self.remote.domains()):
            of_domain = (entry for entry in entries if entry.failure_domain == domain)
            changed |= set(self.remote.put(domain, pools, of_domain))
        return tuple(changed)

    def _evict_wanted_pool(self) -> None:
        by_pool = self._wanted_until_by_pool
        if len(by_pool) >= MAX_WANTED_POOLS:
            del by_pool[min(by_pool, key=by_pool.__getitem__)]
