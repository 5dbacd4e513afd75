"""Exchange of server states with remote failure domains over peer streams."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future
from random import Random
from typing import Any

from damaskbay.core.dissemination.order import LEADER_PURPOSE, MemberOrder
from damaskbay.core.membership.contacts import ContactList
from damaskbay.core.membership.entry import MemberEntry
from damaskbay.core.membership.exchange import Exchange, PendingRequest
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.sync import Servers, ServersRequest
from damaskbay.core.membership.views import RemoteViews
from damaskbay.daemon.membership_messages import ServersReply
from damaskbay.ports.fleet import MemberView, ServerView
from damaskbay.ports.peer import PeerLink, Responder

_REQUEST_TIMEOUT_S = 2.0


class DomainExchange:
    """
    Sender and receiver of the exchange with remote failure domains.

    Only `servers` and `by_instance` are thread-safe; the membership task calls the
    other methods.
    """

    def __init__(
        self,
        own_entry: MemberEntry,
        *,
        own_servers: Callable[[str], Iterable[MemberEntry]],
        link: PeerLink,
        book: ContactList,
        options: MembershipOptions,
        rng: Random,
        post: Callable[[Any], bool],
    ) -> None:
        self._link = link
        self._options = options
        self._post = post
        self._order = MemberOrder(own_entry.instance, LEADER_PURPOSE, options.delegates)
        self._exchange = Exchange(
            own_entry, own_servers, self._order, book, options, rng
        )
        self._views = RemoteViews()
        self._requested_pools: set[str] = set()

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """Return the known remote servers of a pool, and record the demand."""
        self._requested_pools.add(pool)
        return self._views.servers_by_pool.get(pool, ())

    def by_instance(self, instance: str) -> ServerView | None:
        """Return a server of a remote domain, or None if it is unknown."""
        return self._views.by_instance.get(instance)

    def mark_pools_changed(self, pools: Iterable[str]) -> None:
        """Record that local servers of these pools have changed."""
        self._exchange.own_revisions.mark_changed(pools)

    def avoid(self, instance: str, now: float) -> None:
        """Exclude a server for `avoid_s` after a failed call."""
        until = now + self._options.avoid_s
        self._refresh(self._views.avoid(instance, until), now)

    def tick(self, members: tuple[MemberView, ...], now: float) -> None:
        """Send due requests and updates, and drop servers of unresponsive domains."""
        self._order.update(members)
        wanted, self._requested_pools = self._requested_pools, set()
        self._exchange.record_wanted_pools(wanted, now)
        for request in self._exchange.due_requests(now):
            self._send_request(request)
        for update in self._exchange.due_updates(now):
            self._link.send(update.address, update.servers)
        self._refresh(self._exchange.drop_unresponsive(now), now)
        self._refresh(self._views.end_expired_avoidance(now), now)

    def reply(self, request: ServersRequest, responder: Responder, now: float) -> None:
        """Reply to a peer's request for servers."""
        responder.reply(self._exchange.handle_request(request, now))

    def handle_reply(self, message: ServersReply, now: float) -> None:
        """Apply the reply to a request, or record its failure."""
        if isinstance(message.reply, Servers):
            self.apply(message.reply, now, is_reply=True)
        else:
            self._exchange.request_failed(message.domain, now)

    def apply(self, servers: Servers, now: float, *, is_reply: bool = False) -> None:
        """Apply server states that a peer sent; `is_reply` if they were requested."""
        self._refresh(
            self._exchange.apply_servers(servers, now, answered=is_reply), now
        )

    def _refresh(self, pools: Iterable[str], now: float) -> None:
        self._views.refresh(pools, self._exchange.remote, now)

    def _send_request(self, request: PendingRequest) -> None:
        future = self._link.request(
            request.address, request.ask, timeout_s=_REQUEST_TIMEOUT_S
        )
        future.add_done_callback(lambda done: self._post_reply(request, done))

    def _post_reply(self, request: PendingRequest, future: Future[Any]) -> None:
        if not future.cancelled():
            self._post(ServersReply(request.domain, future.result()))
