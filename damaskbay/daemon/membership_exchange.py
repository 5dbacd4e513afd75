"""Carries the exchange with other failure domains over peer streams."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future
from random import Random
from typing import Any

from damaskbay.core.dissemination.order import LEADER_PURPOSE, FleetOrder
from damaskbay.core.membership.contacts import ContactBook
from damaskbay.core.membership.entry import MemberEntry
from damaskbay.core.membership.exchange import Exchange, Question
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.sync import AskServers, Servers
from damaskbay.core.membership.views import RemoteViews
from damaskbay.daemon.membership_messages import ServersAnswered
from damaskbay.ports.fleet import MemberView, ServerView
from damaskbay.ports.peer import PeerLink, Responder

_ASK_TIMEOUT_S = 2.0


class DomainExchange:
    """Belongs to the membership task, but for `servers` and `by_instance`."""

    def __init__(
        self,
        own: MemberEntry,
        *,
        own_servers: Callable[[str], Iterable[MemberEntry]],
        link: PeerLink,
        book: ContactBook,
        options: MembershipOptions,
        rng: Random,
        post: Callable[[Any], bool],
    ) -> None:
        self._link = link
        self._options = options
        self._post = post
        self._order = FleetOrder(own.instance, LEADER_PURPOSE, options.delegates)
        self._exchange = Exchange(own, own_servers, self._order, book, options, rng)
        self._views = RemoteViews()
        self._asked_pools: set[str] = set()

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """Return the known servers of other domains; note that they are wanted."""
        self._asked_pools.add(pool)
        return self._views.servers_by_pool.get(pool, ())

    def by_instance(self, instance: str) -> ServerView | None:
        """Return one server of another domain."""
        return self._views.by_instance.get(instance)

    def touch(self, pools: Iterable[str]) -> None:
        """Take note that own servers of some pools changed."""
        self._exchange.own_revisions.touch(pools)

    def avoid(self, instance: str, now: float) -> None:
        """Leave a server out for a time."""
        until = now + self._options.avoid_s
        self._refresh(self._views.avoid(instance, until), now)

    def tick(self, members: tuple[MemberView, ...], now: float) -> None:
        """Ask and tell what is due."""
        self._order.update(members)
        wanted, self._asked_pools = self._asked_pools, set()
        self._exchange.want(wanted, now)
        for question in self._exchange.questions(now):
            self._ask(question)
        for telling in self._exchange.tellings(now):
            self._link.send(telling.address, telling.servers)
        self._refresh(self._exchange.drop_silent(now), now)
        self._refresh(self._views.due(now), now)

    def answer(self, ask: AskServers, responder: Responder, now: float) -> None:
        """Answer another daemon."""
        responder.answer(self._exchange.answer(ask, now))

    def take_answer(self, message: ServersAnswered, now: float) -> None:
        """Take what came back for a question."""
        if isinstance(message.answer, Servers):
            self.take(message.answer, now, answered=True)
        else:
            self._exchange.lost(message.domain, now)

    def take(self, servers: Servers, now: float, *, answered: bool = False) -> None:
        """Take news of servers."""
        self._refresh(self._exchange.take(servers, now, answered=answered), now)

    def _refresh(self, pools: Iterable[str], now: float) -> None:
        self._views.refresh(pools, self._exchange.remote, now)

    def _ask(self, question: Question) -> None:
        future = self._link.request(
            question.address, question.ask, timeout_s=_ASK_TIMEOUT_S
        )
        future.add_done_callback(lambda done: self._answered(question, done))

    def _answered(self, question: Question, future: Future[Any]) -> None:
        if not future.cancelled():
            self._post(ServersAnswered(question.domain, future.result()))
