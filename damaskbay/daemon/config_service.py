"""The task that holds the set in force and spreads newer ones."""

import logging
from collections.abc import Callable
from concurrent.futures import Future
from random import Random
from types import TracebackType
from typing import Any, Self

from damaskbay.config.objects import ConfigSet
from damaskbay.core.dissemination.freshness import Freshness, Proof, ReachBoard
from damaskbay.core.dissemination.holder import Holder, Offer
from damaskbay.core.dissemination.messages import Parts, Poll, Pull, Push, Status
from damaskbay.core.dissemination.options import DisseminationOptions
from damaskbay.core.dissemination.order import LEADER_PURPOSE, FleetOrder
from damaskbay.daemon.config_messages import (
    ConfigReport,
    Contacts,
    Loaded,
    PeerAnswer,
    PeerMessage,
    Proven,
    SetSource,
    Subscription,
    UnusableHead,
)
from damaskbay.daemon.config_polling import Polling
from damaskbay.daemon.config_relay import ConfigRelay
from damaskbay.daemon.config_source import PlatformSetSource
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import ConfigState, Membership
from damaskbay.ports.peer import PeerAddress, PeerIdentity, PeerLink, Responder
from damaskbay.ports.platform import Platform

_LOGGER = logging.getLogger(__name__)


class ConfigService(Task):
    """
    Implements ports.fleet.ConfigSource; a context manager.

    `source` reads accepted sets, by default those in the platform; `contacts`
    names daemons of other failure domains.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        *,
        platform: Platform,
        link: PeerLink,
        membership: Membership,
        source: SetSource | None = None,
        contacts: Contacts,
        options: DisseminationOptions | None = None,
        seed: int | None = None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        super().__init__("config", clock=clock)
        self.identity = identity
        self._options = options = options or DisseminationOptions()
        self._link = link
        self._membership = membership
        self._holder = Holder()
        self._freshness = Freshness()
        self._reach = ReachBoard(
            outage_after_s=options.outage_after_s, valid_s=options.reach_valid_s
        )
        self._order = FleetOrder(identity.instance, LEADER_PURPOSE, options.relays)
        self._backups = FleetOrder(identity.instance, LEADER_PURPOSE, options.backups)
        self._polling = Polling(
            identity, self._order, self._backups, contacts, options, Random(seed)
        )
        self._relay = ConfigRelay(
            identity,
            platform=platform,
            source=source or PlatformSetSource(platform),
            membership=membership,
            options=options,
            post_up=self.post,
            clock=clock,
        )
        self._state: ConfigState | None = None
        self._callbacks: list[Callable[[ConfigSet], None]] = []
        self._load_problem = ""
        self._pulling = False
        self._refused_until = 0.0
        for message_type in (Poll, Pull, Push):
            link.register(message_type, self._post_peer_message)

    def __enter__(self) -> Self:
        super().__enter__()
        self._relay.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._relay.__exit__(exc_type, exc, traceback)
        super().__exit__(exc_type, exc, traceback)

    def state(self) -> ConfigState | None:
        """Return the set in force, or None where there is none yet."""
        return self._state

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Call back, on the owner's thread, whenever a newer set is in force."""
        self.post(Subscription(callback))

    def report(self) -> ConfigReport:
        """Return what `status` tells; safe from any thread."""
        now = self.clock()
        domains = self._polling.domains() or ()
        holder, state = self._holder, self._state
        return ConfigReport(
            holder.version,
            "" if holder.document is None else holder.document.digest,
            self._freshness.proof_age_s(now),
            state is not None and state.outage_for_all,
            self._relay.holds_lease,
            holder.problem or self._load_problem,
            self._reach.unreachable(domains, now) if self._asks_domains(now) else (),
        )

    def handle(self, message: Any, now: float) -> None:
        """Handle one message."""
        match message:
            case Loaded():
                self._load_problem = ""
                self._settle(self._holder.offer(message.version, message.document))
                self._freshness.prove(message.proof, self._holder.version)
            case Proven():
                self._freshness.prove(message.proof, self._holder.version)
            case UnusableHead():
                self._load_problem = message.detail
            case PeerMessage():
                self._handle_peer(message, now)
            case PeerAnswer():
                self._handle_answer(message, now)
            case Subscription():
                self._callbacks.append(message.callback)
                if self._holder.config is not None:
                    message.callback(self._holder.config)
        self._show(now)

    def tick(self, now: float) -> None:
        """Poll a neighbour, and other failure domains where proofs are missing."""
        members = self._membership.members()
        self._order.update(members)
        self._backups.update(members)
        for target in self._polling.due(now, ask_domains=self._asks_domains(now)):
            self._request(
                target.address,
                target.failure_domain,
                Poll(self._holder.version),
                self._options.poll_timeout_s,
            )
        self._note_outage(now)
        self._show(now)

    def _asks_domains(self, now: float) -> bool:
        age_s = self._freshness.proof_age_s(now)
        old = age_s is None or age_s >= self._options.outage_after_s
        return old and self._backups.leads

    def _note_outage(self, now: float) -> None:
        if not self._asks_domains(now):
            return
        proven_at = self._freshness.proven_at
        domains = self._polling.domains()
        if domains is None:
            return
        if self._reach.outage_for_all(domains, now, proven_at=proven_at):
            self._freshness.note_outage(now)

    def _handle_peer(self, received: PeerMessage, now: float) -> None:
        match received.message:
            case Poll():
                received.responder.answer(self._status(now))
            case Pull():
                parts = self._holder.parts_for(received.message.part_digests)
                if parts is not None:
                    received.responder.answer(parts)
            case Push():
                self._take_push(received.peer, received.message, now)

    def _status(self, now: float) -> Status:
        outage_valid_s = self._options.outage_valid_s
        return Status(
            self._holder.version,
            self.identity.failure_domain,
            self._freshness.proof_age_s(now),
            self._freshness.outage_age_s(now, valid_s=outage_valid_s),
        )

    def _take_push(self, peer: PeerIdentity, push: Push, now: float) -> None:
        fresh = self._polling.first_push(push)
        before = self._holder.version
        offer = self._holder.offer_push(push)
        if offer is Offer.OTHER_BASE:
            sender = self._order.by_instance(peer.instance)
            if sender is not None:
                self._pull(sender.address, sender.failure_domain, now)
        if fresh and offer is not Offer.INVALID and push.version >= before:
            self._hand_on(push)
        self._settle(offer, spread=False)

    def _handle_answer(self, received: PeerAnswer, now: float) -> None:
        match received.answer:
            case Status():
                self._take_status(received, received.answer, now)
            case Parts():
                self._pulling = False
                offer = self._holder.offer_parts(received.answer)
                if offer is Offer.INVALID:
                    self._refused_until = now + self._options.refused_pause_s
                self._settle(offer, spread=self._backups.leads)
            case _:
                self._pulling = False
                self._polling.failed(received.address)

    def _take_status(self, received: PeerAnswer, status: Status, now: float) -> None:
        if status.failure_domain != self.identity.failure_domain:
            asked_at, age_s = received.asked_at, status.proof_age_s
            self._reach.heard(status.failure_domain, asked_at, age_s)
        if status.proof_age_s is not None:
            at = received.asked_at - status.proof_age_s
            proof = Proof(status.version, at)
            self._freshness.prove(proof, self._holder.version)
        same_domain = status.failure_domain == self.identity.failure_domain
        if status.outage_age_s is not None and same_domain:
            self._freshness.note_outage(received.asked_at - status.outage_age_s)
        if status.version > self._holder.version:
            self._pull(received.address, received.domain, now)

    def _pull(self, address: PeerAddress, domain: str, now: float) -> None:
        """Ask for what differs of a whole set, one request at a time."""
        if self._pulling or now < self._refused_until:
            return
        self._pulling = True
        pull = Pull(self._holder.part_digests())
        self._request(address, domain, pull, self._options.pull_timeout_s)

    def _settle(self, offer: Offer, *, spread: bool = True) -> None:
        """Put a taken set in force; tell others of it."""
        if offer is Offer.INVALID:
            _LOGGER.error("config: %s.", self._holder.problem)
        config = self._holder.config
        if offer is not Offer.TAKEN or config is None:
            return
        _LOGGER.info("config: version %d in force.", config.version)
        self._show(self.clock())
        for callback in self._callbacks:
            callback(config)
        delta = self._holder.delta()
        if spread and delta is not None:
            self._hand_on(Push(self.identity.instance, config.version, delta))

    def _hand_on(self, push: Push) -> None:
        for child in self._order.children(push.root, self._options.push_fanout):
            self._link.send(child.address, push)

    def _request(
        self, address: PeerAddress, domain: str, message: Any, timeout_s: float
    ) -> None:
        asked_at = self.clock()

        def done(future: Future[Any]) -> None:
            if not future.cancelled():
                self.post(PeerAnswer(address, domain, asked_at, future.result()))

        future = self._link.request(address, message, timeout_s=timeout_s)
        future.add_done_callback(done)

    def _show(self, now: float) -> None:
        """Replace what other threads read."""
        config = self._holder.config
        if config is None:
            return
        valid_s = self._options.outage_valid_s
        outage = self._freshness.outage_age_s(now, valid_s=valid_s) is not None
        self._state = ConfigState(config, self._freshness.proven_at, outage)

    def _post_peer_message(
        self, peer: PeerIdentity, message: Any, responder: Responder
    ) -> None:
        self.post(PeerMessage(peer, message, responder))
