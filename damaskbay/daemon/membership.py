"""The task that keeps the membership of this daemon's failure domain."""

import logging
from collections.abc import Iterable
from concurrent.futures import Future
from dataclasses import dataclass
from random import Random
from types import TracebackType
from typing import Any, Self

from damaskbay.adapters.gossip_udp import GossipSocket, PacketCodec
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
from damaskbay.core.membership.sync import Digests, Entries
from damaskbay.core.membership.views import Views
from damaskbay.core.membership.wire import pack_entries, unpack_entries
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import MemberView, ServerState, ServerView
from damaskbay.ports.peer import PeerAddress, PeerIdentity, PeerLink, Responder
from damaskbay.ports.platform import Platform

_LOGGER = logging.getLogger(__name__)

_SYNC_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class _Announcement:
    pool: str
    state: ServerState
    slots: int
    load: float


@dataclass(frozen=True, slots=True)
class _Failed:
    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class _SyncAsked:
    digests: Digests
    responder: Responder


@dataclass(frozen=True, slots=True)
class _SyncAnswered:
    address: PeerAddress
    answer: Any


class MembershipService(Task):
    """
    Implements ports.fleet.Membership; a context manager.

    `gossip` is the address for datagrams (port 0: any free one), `secret` the
    peers' shared secret, `seeds` the gossip addresses of members to join by.
    Leaving the context tells the others that this daemon goes.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        address: PeerAddress,
        gossip: PeerAddress,
        *,
        secret: bytes,
        link: PeerLink,
        platform: Platform | None = None,
        options: MembershipOptions | None = None,
        seeds: Iterable[PeerAddress] = (),
        seed: int | None = None,
    ) -> None:
        super().__init__("membership")
        self.identity = identity
        self._link = link
        self._platform = platform
        self._socket = GossipSocket(gossip, PacketCodec(secret), self._post_packet)
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
        self._swim = Swim(own, options, Random(seed), self.clock())
        self._swim.set_seeds(seeds)
        self._views = Views()
        self._was_displaced = False
        self._show()
        link.register(Digests, self._post_digests)
        link.register(Entries, self._post_entries)

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
        return super().__enter__()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        super().__exit__(exc_type, exc, traceback)
        self._send(self._swim.leave(self.clock()))
        self._socket.__exit__(exc_type, exc, traceback)

    def servers(self, pool: str) -> tuple[ServerView, ...]:
        """Return the servers of a pool that may get new work."""
        return self._views.servers_by_pool.get(pool, ())

    def by_instance(self, instance: str) -> ServerView | None:
        """Return one server, whatever its state, or None where it is unknown."""
        return self._views.by_instance.get(instance)

    def members(self) -> tuple[MemberView, ...]:
        """Return the live daemons of the own failure domain, this one included."""
        return self._views.members

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float
    ) -> None:
        """Take what the local backend server says of itself."""
        self.post(_Announcement(pool, state, slots, load))

    def suspect(self, instance: str, incarnation: int) -> None:
        """Take note that a call to this daemon failed on the way."""
        self.post(_Failed(instance, incarnation))

    def handle(self, message: Any, now: float) -> None:
        """Handle one message."""
        match message:
            case Ping() | IndirectPing() | Ack() | Rumor():
                self._send(self._swim.receive(message, now))
            case _Announcement():
                self._announce(message, now)
            case _Failed():
                failed = self._swim.suspect(message.instance, message.incarnation, now)
                self._send(failed)
            case _SyncAsked():
                self._answer_sync(message)
            case _SyncAnswered():
                self._take_answer(message, now)
            case Entries():
                self._merge(message, now)
        self._show()

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._send(self._swim.tick(now))
        target = self._swim.sync_target(now)
        if target is not None:
            self._sync(target)
        self._show()

    def _announce(self, message: _Announcement, now: float) -> None:
        outgoing = self._swim.announce(
            pool=message.pool,
            state=message.state,
            slots=message.slots,
            load=message.load,
            now=now,
        )
        self._send(outgoing)

    def _sync(self, target: MemberEntry) -> None:
        digests = Digests(self.identity.failure_domain, self._swim.table.digests())
        future = self._link.request(target.address, digests, timeout_s=_SYNC_TIMEOUT_S)
        future.add_done_callback(lambda done: self._post_answer(target, done))

    def _post_answer(self, target: MemberEntry, future: Future[Any]) -> None:
        if not future.cancelled():
            self.post(_SyncAnswered(target.address, future.result()))

    def _answer_sync(self, asked: _SyncAsked) -> None:
        if asked.digests.failure_domain != self.identity.failure_domain:
            return
        own = self._swim.table.digests()
        pairs = enumerate(zip(own, asked.digests.digests, strict=False))
        buckets = tuple(index for index, (ours, theirs) in pairs if ours != theirs)
        asked.responder.answer(self._entries(buckets))

    def _take_answer(self, message: _SyncAnswered, now: float) -> None:
        answer = message.answer
        if not isinstance(answer, Entries):
            self._swim.sync_failed(now)
            return
        if not answer.buckets:
            return
        self._link.send(message.address, self._entries(answer.buckets))
        self._merge(answer, now)

    def _entries(self, buckets: tuple[int, ...]) -> Entries:
        return Entries(buckets, pack_entries(self._swim.table.in_buckets(buckets)))

    def _merge(self, message: Entries, now: float) -> None:
        entries = unpack_entries(message.entries)
        if entries is None:
            _LOGGER.warning("membership: malformed entries dropped.")
            return
        self._swim.merge(entries, now)

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            self._socket.send(item)

    def _show(self) -> None:
        self._views.refresh(self._swim)
        if self._swim.displaced and not self._was_displaced:
            self._was_displaced = True
            _LOGGER.error("membership: a newer process has taken this instance.")

    def _post_packet(self, packet: Packet) -> None:
        self.post(packet)

    def _post_digests(
        self, _peer: PeerIdentity, message: Digests, responder: Responder
    ) -> None:
        self.post(_SyncAsked(message, responder))

    def _post_entries(
        self, _peer: PeerIdentity, message: Entries, _responder: Responder
    ) -> None:
        self.post(message)
