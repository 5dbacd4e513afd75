"""The task that keeps the membership of this daemon's failure domain."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import Future
from random import Random
from types import TracebackType
from typing import Any, Self

from damaskbay.adapters.gossip_udp import GossipSocket, PacketCodec
from damaskbay.core.membership.contacts import (
    ContactBook,
    pack_contacts,
    unpack_contacts,
)
from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.packets import (
    Ack,
    IndirectPing,
    Outgoing,
    Packet,
    Ping,
    Rumor,
)
from damaskbay.core.membership.swim import Swim
from damaskbay.core.membership.sync import AskServers, Digests, Entries, Servers
from damaskbay.core.membership.views import Views
from damaskbay.core.membership.wire import pack_entries, unpack_entries
from damaskbay.daemon.membership_contacts import ContactKeeper
from damaskbay.daemon.membership_exchange import DomainExchange
from damaskbay.daemon.membership_messages import (
    Announcement,
    CallFailed,
    ContactsRead,
    PeerAsked,
    ServersAnswered,
    ServersTold,
    SyncAnswered,
)
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import MemberView, ServerState, ServerView
from damaskbay.ports.peer import PeerAddress, PeerIdentity, PeerLink, Responder
from damaskbay.ports.platform import Platform

_LOGGER = logging.getLogger(__name__)

_SYNC_TIMEOUT_S = 2.0


class MembershipService(Task):
    """
    Implements ports.fleet.Membership; a context manager.

    `gossip` is the address for datagrams (port 0: any free one), `secrets` the
    peers' shared ones, of which the first proves this daemon, `seeds` the gossip
    addresses of members to join by. Leaving the context tells the others that this
    daemon goes.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        address: PeerAddress,
        gossip: PeerAddress,
        *,
        secrets: Sequence[bytes],
        link: PeerLink,
        platform: Platform | None = None,
        options: MembershipOptions | None = None,
        seeds: Iterable[PeerAddress] = (),
        seed: int | None = None,
    ) -> None:
        super().__init__("membership")
        self.identity = identity
        self._link = link
        self._socket = GossipSocket(gossip, PacketCodec(*secrets), self._post_packet)
        own = MemberEntry(
            identity.instance,
            identity.incarnation,
            0,
            Status.ALIVE,
            identity.failure_domain,
            address,
            PeerAddress(gossip.host, self._socket.port),
        )
        options = options or MembershipOptions()
        rng = Random(seed)
        self._swim = Swim(own, options, rng, self.clock())
        self._seeds = tuple(seeds)
        self._swim.set_seeds(self._seeds)
        self._book = ContactBook()
        self._views = Views()
        self._was_displaced = False
        self._exchange = DomainExchange(
            own,
            own_servers=lambda pool: self._views.entries(pool, self._swim),
            link=link,
            book=self._book,
            options=options,
            rng=rng,
            post=self.post,
        )
        self._contacts: ContactKeeper | None = None
        if platform is not None:
            self._contacts = ContactKeeper(
                own,
                platform=platform,
                members=self.members,
                post_up=self.post,
                options=options,
                rng=Random(seed),
            )
        self._show()
        for message_type in (Digests, AskServers):
            link.register(message_type, self._post_question)
        link.register(Entries, lambda _peer, entries, _: self._post(entries))
        link.register(
            Servers, lambda _peer, servers, _: self._post(ServersTold(servers))
        )

    @property
    def gossip(self) -> PeerAddress:
        """Return the address that others may use as a seed."""
        return self._swim.own.gossip

    @property
    def displaced(self) -> bool:
        """Tell whether a newer process has taken this instance's name."""
        return self._swim.displaced

    @property
    def gossip_bytes(self) -> int:
        """Return the bytes of all datagrams sent and received."""
        return self._socket.sent_bytes + self._socket.received_bytes

    def __enter__(self) -> Self:
        self._socket.__enter__()
        super().__enter__()
        if self._contacts is not None:
            self._contacts.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._contacts is not None:
            self._contacts.__exit__(exc_type, exc, traceback)
        super().__exit__(exc_type, exc, traceback)
        self._send(self._swim.leave(self.clock()))
        self._socket.__exit__(exc_type, exc, traceback)

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """
        Return the servers of a pool that may get new work.

        Those of the own failure domain come first, then a few of each other one.
        """
        own = self._views.servers_by_pool.get(pool, ())
        return own + self._exchange.servers(pool)

    def by_instance(self, instance: str) -> ServerView | None:
        """Return one server, whatever its state, or None where it is unknown."""
        own = self._views.by_instance.get(instance)
        return own or self._exchange.by_instance(instance)

    def members(self) -> tuple[MemberView, ...]:
        """Return the live daemons of the own failure domain, this one included."""
        return self._views.members

    def contacts_by_domain(self) -> Mapping[str, tuple[PeerAddress, ...]]:
        """Return a few daemons of each failure domain; empty while unknown."""
        return self._book.addresses_by_domain

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        """Take what the local backend server says of itself."""
        self.post(Announcement(pool, state, slots, load))

    def suspect(self, instance: str, incarnation: int) -> None:
        """Take note that a call to this daemon failed on the way."""
        self.post(CallFailed(instance, incarnation))

    def handle(self, message: Any, now: float) -> None:
        """Handle one message."""
        match message:
            case Ping() | IndirectPing() | Ack() | Rumor():
                self._send(self._swim.receive(message, now))
            case Announcement():
                self._announce(message, now)
            case CallFailed():
                self._avoid(message, now)
            case PeerAsked():
                self._answer(message, now)
            case SyncAnswered():
                self._take_answer(message, now)
            case Entries():
                self._merge(message, now)
            case ServersAnswered():
                self._exchange.take_answer(message, now)
            case ServersTold():
                self._exchange.take(message.servers, now)
            case ContactsRead():
                self._take_contacts(message)
        self._show()

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._send(self._swim.tick(now))
        target = self._swim.sync_target(now)
        if target is not None:
            self._sync(target)
        self._show()
        self._exchange.tick(self._views.members, now)

    def _announce(self, message: Announcement, now: float) -> None:
        outgoing = self._swim.announce(
            pool=message.pool,
            state=message.state,
            slots=message.slots,
            load=message.load,
            now=now,
        )
        self._send(outgoing)

    def _avoid(self, failed: CallFailed, now: float) -> None:
        if self._views.by_instance.get(failed.instance) is None:
            self._exchange.avoid(failed.instance, now)
            return
        self._send(self._swim.suspect(failed.instance, failed.incarnation, now))

    def _take_contacts(self, message: ContactsRead) -> None:
        self._book.take(message.contacts)
        own = (
            item.gossip
            for item in message.seeds
            if item.failure_domain == self.identity.failure_domain
        )
        self._swim.set_seeds((*self._seeds, *own))

    def _sync(self, target: MemberEntry) -> None:
        digests = Digests(
            self.identity.failure_domain,
            self._swim.table.digests(),
            self._book.digest(),
        )
        future = self._link.request(target.address, digests, timeout_s=_SYNC_TIMEOUT_S)
        future.add_done_callback(lambda done: self._post_answer(target, done))

    def _post_answer(self, target: MemberEntry, future: Future[Any]) -> None:
        if not future.cancelled():
            self.post(SyncAnswered(target.address, future.result()))

    def _answer(self, asked: PeerAsked, now: float) -> None:
        match asked.message:
            case Digests():
                self._answer_sync(asked.message, asked.responder)
            case AskServers():
                self._exchange.answer(asked.message, asked.responder, now)

    def _answer_sync(self, asked: Digests, responder: Responder) -> None:
        if asked.failure_domain != self.identity.failure_domain:
            return
        own = self._swim.table.digests()
        pairs = enumerate(zip(own, asked.digests, strict=False))
        buckets = tuple(index for index, (ours, theirs) in pairs if ours != theirs)
        same_contacts = asked.contacts_digest == self._book.digest()
        responder.answer(self._entries(buckets, contacts=not same_contacts))

    def _take_answer(self, message: SyncAnswered, now: float) -> None:
        answer = message.answer
        if not isinstance(answer, Entries):
            self._swim.sync_failed(now)
            return
        differs = bool(answer.contacts)
        if answer.buckets or differs:
            back = self._entries(answer.buckets, contacts=differs)
            self._link.send(message.address, back)
            self._merge(answer, now)

    def _entries(self, buckets: tuple[int, ...], *, contacts: bool) -> Entries:
        entries = pack_entries(self._swim.table.in_buckets(buckets))
        return Entries(
            buckets, entries, pack_contacts(self._book.all()) if contacts else b""
        )

    def _merge(self, message: Entries, now: float) -> None:
        entries = unpack_entries(message.entries)
        if entries is None:
            _LOGGER.warning("membership: malformed entries dropped.")
            return
        self._swim.merge(entries, now)
        if message.contacts:
            self._book.take(unpack_contacts(message.contacts) or ())

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            self._socket.send(item)

    def _show(self) -> None:
        self._exchange.touch(self._views.refresh(self._swim))
        if self._swim.displaced and not self._was_displaced:
            self._was_displaced = True
            _LOGGER.error("membership: a newer process has taken this instance.")

    def _post_packet(self, packet: Packet) -> None:
        self.post(packet)

    def _post(self, message: Any) -> None:
        self.post(message)

    def _post_question(
        self, _peer: PeerIdentity, message: Any, responder: Responder
    ) -> None:
        self.post(PeerAsked(message, responder))
