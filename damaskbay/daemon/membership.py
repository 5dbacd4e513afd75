"""Task that maintains the membership of this daemon's failure domain."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import Future
from random import Random
from types import TracebackType
from typing import Any, Self

from damaskbay.adapters.gossip_udp import GossipSocket, PacketCodec
from damaskbay.core.membership.contacts import (
    ContactList,
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
from damaskbay.core.membership.sync import Digests, Entries, Servers, ServersRequest
from damaskbay.core.membership.views import Views
from damaskbay.core.membership.wire import pack_entries, unpack_entries
from damaskbay.daemon.membership_contacts import ContactMaintainer
from damaskbay.daemon.membership_exchange import DomainExchange
from damaskbay.daemon.membership_messages import (
    Announcement,
    CallFailed,
    ContactsRead,
    PeerRequest,
    ServersReply,
    ServersUpdate,
    SyncReply,
)
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import MemberView, ServerState, ServerView
from damaskbay.ports.peer import PeerAddress, PeerIdentity, PeerLink, Responder
from damaskbay.ports.platform import Platform

_LOGGER = logging.getLogger(__name__)

_SYNC_TIMEOUT_S = 2.0


class MembershipService(Task):
    """
    Task that implements ports.fleet.Membership; a context manager.

    `gossip` is the address for datagrams (port 0: any free port). `secrets` are
    shared with the peers; the first one authenticates this daemon. `seeds` are the
    gossip addresses of members through which to join. Leaving the context announces
    to the members that this daemon leaves.
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
        own_entry = MemberEntry(
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
        self._swim = Swim(own_entry, options, rng, self.clock())
        self._seeds = tuple(seeds)
        self._swim.set_seeds(self._seeds)
        self._contact_book = ContactList()
        self._views = Views()
        self._displacement_logged = False
        self._exchange = DomainExchange(
            own_entry,
            own_servers=lambda pool: self._views.entries(pool, self._swim),
            link=link,
            book=self._contact_book,
            options=options,
            rng=rng,
            post=self.post,
        )
        self._contact_maintainer: ContactMaintainer | None = None
        if platform is not None:
            self._contact_maintainer = ContactMaintainer(
                own_entry,
                platform=platform,
                members=self.members,
                post_to_service=self.post,
                options=options,
                rng=Random(seed),
            )
        self._refresh_views()
        for message_type in (Digests, ServersRequest):
            link.register(message_type, self._post_peer_request)
        link.register(Entries, lambda _peer, entries, _: self._post(entries))
        link.register(
            Servers, lambda _peer, servers, _: self._post(ServersUpdate(servers))
        )

    @property
    def gossip(self) -> PeerAddress:
        """Return the gossip address, which other daemons may use as a seed."""
        return self._swim.own.gossip

    @property
    def displaced(self) -> bool:
        """Return whether a newer process runs under this instance's name."""
        return self._swim.displaced

    @property
    def gossip_bytes(self) -> int:
        """Return the number of bytes of all datagrams sent and received."""
        return self._socket.sent_bytes + self._socket.received_bytes

    def __enter__(self) -> Self:
        self._socket.__enter__()
        super().__enter__()
        if self._contact_maintainer is not None:
            self._contact_maintainer.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._contact_maintainer is not None:
            self._contact_maintainer.__exit__(exc_type, exc, traceback)
        super().__exit__(exc_type, exc, traceback)
        self._send(self._swim.announce_stop(self.clock()))
        self._socket.__exit__(exc_type, exc, traceback)

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """
        Return the servers of a pool that may receive new calls.

        Servers of the local failure domain come first, then a few of each remote one.
        """
        local = self._views.servers_by_pool.get(pool, ())
        return local + self._exchange.servers(pool)

    def by_instance(self, instance: str) -> ServerView | None:
        """Return a server in any state, or None if it is unknown."""
        local = self._views.by_instance.get(instance)
        return local or self._exchange.by_instance(instance)

    def members(self) -> tuple[MemberView, ...]:
        """Return the live daemons of the local failure domain, including this one."""
        return self._views.members

    def contacts_by_domain(self) -> Mapping[str, tuple[PeerAddress, ...]]:
        """Return a few daemons of each failure domain; empty while unknown."""
        return self._contact_book.addresses_by_domain

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        """Announce the state of the local backend server. Thread-safe."""
        self.post(Announcement(pool, state, slots, load))

    def suspect(self, instance: str, incarnation: int) -> None:
        """Report that a call to a daemon failed in transit. Thread-safe."""
        self.post(CallFailed(instance, incarnation))

    def handle(self, message: Any, now: float) -> None:
        """Handle one message."""
        match message:
            case Ping() | IndirectPing() | Ack() | Rumor():
                self._send(self._swim.receive(message, now))
            case Announcement():
                self._announce(message, now)
            case CallFailed():
                self._handle_call_failure(message, now)
            case PeerRequest():
                self._handle_peer_request(message, now)
            case SyncReply():
                self._handle_sync_reply(message, now)
            case Entries():
                self._merge(message, now)
            case ServersReply():
                self._exchange.handle_reply(message, now)
            case ServersUpdate():
                self._exchange.apply(message.servers, now)
            case ContactsRead():
                self._handle_contacts(message)
        self._refresh_views()

    def tick(self, now: float) -> None:
        """Send due probes, gossip, table comparisons and domain exchange messages."""
        self._send(self._swim.tick(now))
        target = self._swim.sync_target(now)
        if target is not None:
            self._request_sync(target)
        self._refresh_views()
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

    def _handle_call_failure(self, message: CallFailed, now: float) -> None:
        if self._views.by_instance.get(message.instance) is None:
            self._exchange.avoid(message.instance, now)
            return
        self._send(self._swim.suspect(message.instance, message.incarnation, now))

    def _handle_contacts(self, message: ContactsRead) -> None:
        self._contact_book.update(message.contacts)
        local_seeds = (
            item.gossip
            for item in message.seeds
            if item.failure_domain == self.identity.failure_domain
        )
        self._swim.set_seeds((*self._seeds, *local_seeds))

    def _request_sync(self, target: MemberEntry) -> None:
        digests = Digests(
            self.identity.failure_domain,
            self._swim.table.digests(),
            self._contact_book.digest(),
        )
        future = self._link.request(target.address, digests, timeout_s=_SYNC_TIMEOUT_S)
        future.add_done_callback(lambda done: self._post_sync_reply(target, done))

    def _post_sync_reply(self, target: MemberEntry, future: Future[Any]) -> None:
        if not future.cancelled():
            self.post(SyncReply(target.address, future.result()))

    def _handle_peer_request(self, received: PeerRequest, now: float) -> None:
        match received.message:
            case Digests():
                self._reply_to_sync(received.message, received.responder)
            case ServersRequest():
                self._exchange.reply(received.message, received.responder, now)

    def _reply_to_sync(self, request: Digests, responder: Responder) -> None:
        if request.failure_domain != self.identity.failure_domain:
            return
        own_digests = self._swim.table.digests()
        pairs = enumerate(zip(own_digests, request.digests, strict=False))
        buckets = tuple(
            index
            for index, (own_digest, peer_digest) in pairs
            if own_digest != peer_digest
        )
        same_contacts = request.contacts_digest == self._contact_book.digest()
        responder.reply(self._pack_buckets(buckets, contacts=not same_contacts))

    def _handle_sync_reply(self, message: SyncReply, now: float) -> None:
        reply = message.reply
        if not isinstance(reply, Entries):
            self._swim.sync_failed(now)
            return
        contacts_differ = bool(reply.contacts)
        if reply.buckets or contacts_differ:
            own_entries = self._pack_buckets(reply.buckets, contacts=contacts_differ)
            self._link.send(message.address, own_entries)
            self._merge(reply, now)

    def _pack_buckets(self, buckets: tuple[int, ...], *, contacts: bool) -> Entries:
        entries = pack_entries(self._swim.table.in_buckets(buckets))
        return Entries(
            buckets,
            entries,
            pack_contacts(self._contact_book.all()) if contacts else b"",
        )

    def _merge(self, message: Entries, now: float) -> None:
        entries = unpack_entries(message.entries)
        if entries is None:
            _LOGGER.warning("membership: malformed entries ignored.")
            return
        self._swim.merge(entries, now)
        if message.contacts:
            self._contact_book.update(unpack_contacts(message.contacts) or ())

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            self._socket.send(item)

    def _refresh_views(self) -> None:
        self._exchange.mark_pools_changed(self._views.refresh(self._swim))
        if self._swim.displaced and not self._displacement_logged:
            self._displacement_logged = True
            _LOGGER.error(
                "membership: a newer process runs under this instance's name."
            )

    def _post_packet(self, packet: Packet) -> None:
        self.post(packet)

    def _post(self, message: Any) -> None:
        self.post(message)

    def _post_peer_request(
        self, _peer: PeerIdentity, message: Any, responder: Responder
    ) -> None:
        self.post(PeerRequest(message, responder))
