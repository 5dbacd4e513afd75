"""Task that holds the active configuration set and distributes newer ones."""

import logging
from collections.abc import Callable
from concurrent.futures import Future
from random import Random
from types import TracebackType
from typing import Any, Self

from damaskbay.config.objects import ConfigSet
from damaskbay.core.dissemination.freshness import (
    Freshness,
    PlatformReachability,
    Proof,
)
from damaskbay.core.dissemination.holder import ActiveConfig, OfferResult
from damaskbay.core.dissemination.messages import Parts, Poll, Pull, Push, Status
from damaskbay.core.dissemination.options import DisseminationOptions
from damaskbay.core.dissemination.order import LEADER_PURPOSE, MemberOrder
from damaskbay.daemon.config_messages import (
    ConfigReport,
    ContactDirectory,
    HeadUnchanged,
    PeerMessage,
    PeerReply,
    SetLoaded,
    SetSource,
    Subscription,
    UnusableHead,
)
from damaskbay.daemon.config_polling import PollScheduler
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
    Task that implements ports.fleet.ConfigSource; a context manager.

    `source` reads accepted sets, by default from the platform; `contacts` returns
    a few daemons of each failure domain.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        *,
        platform: Platform,
        link: PeerLink,
        membership: Membership,
        source: SetSource | None = None,
        contacts: ContactDirectory,
        options: DisseminationOptions | None = None,
        seed: int | None = None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        super().__init__("config", clock=clock)
        self.identity = identity
        self._options = options = options or DisseminationOptions()
        self._link = link
        self._membership = membership
        self._active = ActiveConfig()
        self._freshness = Freshness()
        self._reachability = PlatformReachability(
            outage_after_s=options.outage_after_s, valid_s=options.reachability_valid_s
        )
        self._order = MemberOrder(identity.instance, LEADER_PURPOSE, options.relays)
        self._backup_order = MemberOrder(
            identity.instance, LEADER_PURPOSE, options.backups
        )
        self._poll_scheduler = PollScheduler(
            identity, self._order, self._backup_order, contacts, options, Random(seed)
        )
        self._relay = ConfigRelay(
            identity,
            platform=platform,
            source=source or PlatformSetSource(platform),
            membership=membership,
            options=options,
            post_to_service=self.post,
            clock=clock,
        )
        self._state: ConfigState | None = None
        self._callbacks: list[Callable[[ConfigSet], None]] = []
        self._head_problem = ""
        self._pull_in_flight = False
        self._no_pull_before = 0.0
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
        """Return the active set with its proof time, or None if there is none yet."""
        return self._state

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        """Call `callback` on this task's thread with the active and each newer set."""
        self.post(Subscription(callback))

    def report(self) -> ConfigReport:
        """Return a summary of the configuration state. Thread-safe."""
        now = self.clock()
        domains = self._poll_scheduler.remote_domains() or ()
        active, state = self._active, self._state
        return ConfigReport(
            active.version,
            "" if active.document is None else active.document.digest,
            self._freshness.proof_age_s(now),
            state is not None and state.platform_unreachable_everywhere,
            self._relay.holds_lease,
            active.problem or self._head_problem,
            self._reachability.unresponsive_domains(domains, now)
            if self._polls_remote_domains(now)
            else (),
        )

    def handle(self, message: Any, now: float) -> None:
        """Handle one message."""
        match message:
            case SetLoaded():
                self._head_problem = ""
                self._handle_offer_result(
                    self._active.offer(message.version, message.document)
                )
                self._freshness.record_proof(message.proof, self._active.version)
            case HeadUnchanged():
                self._freshness.record_proof(message.proof, self._active.version)
            case UnusableHead():
                self._head_problem = message.detail
            case PeerMessage():
                self._handle_peer(message, now)
            case PeerReply():
                self._handle_reply(message, now)
            case Subscription():
                self._callbacks.append(message.callback)
                if self._active.config is not None:
                    message.callback(self._active.config)
        self._publish_state(now)

    def tick(self, now: float) -> None:
        """Send due polls, to remote failure domains too if the proof is too old."""
        members = self._membership.members()
        self._order.update(members)
        self._backup_order.update(members)
        for target in self._poll_scheduler.due_targets(
            now, include_remote_domains=self._polls_remote_domains(now)
        ):
            self._request(
                target.address,
                target.failure_domain,
                Poll(self._active.version),
                self._options.poll_timeout_s,
            )
        self._check_for_outage(now)
        self._publish_state(now)

    def _polls_remote_domains(self, now: float) -> bool:
        age_s = self._freshness.proof_age_s(now)
        stale = age_s is None or age_s >= self._options.outage_after_s
        return stale and self._backup_order.is_leader

    def _check_for_outage(self, now: float) -> None:
        if not self._polls_remote_domains(now):
            return
        proven_at = self._freshness.proven_at
        domains = self._poll_scheduler.remote_domains()
        if domains is None:
            return
        if self._reachability.all_domains_report_outage(
            domains, now, proven_at=proven_at
        ):
            self._freshness.record_outage(now)

    def _handle_peer(self, received: PeerMessage, now: float) -> None:
        match received.message:
            case Poll():
                received.responder.reply(self._status(now))
            case Pull():
                parts = self._active.parts_for(received.message.part_digests)
                if parts is not None:
                    received.responder.reply(parts)
            case Push():
                self._handle_push(received.peer, received.message, now)

    def _status(self, now: float) -> Status:
        outage_valid_s = self._options.outage_valid_s
        return Status(
            self._active.version,
            self.identity.failure_domain,
            self._freshness.proof_age_s(now),
            self._freshness.outage_age_s(now, valid_s=outage_valid_s),
        )

    def _handle_push(self, peer: PeerIdentity, push: Push, now: float) -> None:
        is_new = self._poll_scheduler.record_push(push)
        version_before = self._active.version
        result = self._active.offer_push(push)
        if result is OfferResult.OTHER_BASE:
            sender = self._order.by_instance(peer.instance)
            if sender is not None:
                self._pull(sender.address, sender.failure_domain, now)
        if (
            is_new
            and result is not OfferResult.INVALID
            and push.version >= version_before
        ):
            self._forward_push(push)
        self._handle_offer_result(result, spread=False)

    def _handle_reply(self, received: PeerReply, now: float) -> None:
        match received.reply:
            case Status():
                self._handle_status(received, received.reply, now)
            case Parts():
                self._pull_in_flight = False
                result = self._active.offer_parts(received.reply)
                if result is OfferResult.INVALID:
                    self._no_pull_before = now + self._options.rejected_set_pause_s
                self._handle_offer_result(result, spread=self._backup_order.is_leader)
            case _:
                self._pull_in_flight = False
                self._poll_scheduler.record_failure(received.address)

    def _handle_status(self, received: PeerReply, status: Status, now: float) -> None:
        if status.failure_domain != self.identity.failure_domain:
            sent_at, age_s = received.sent_at, status.proof_age_s
            self._reachability.record_status(status.failure_domain, sent_at, age_s)
        if status.proof_age_s is not None:
            at = received.sent_at - status.proof_age_s
            proof = Proof(status.version, at)
            self._freshness.record_proof(proof, self._active.version)
        same_domain = status.failure_domain == self.identity.failure_domain
        if status.outage_age_s is not None and same_domain:
            self._freshness.record_outage(received.sent_at - status.outage_age_s)
        if status.version > self._active.version:
            self._pull(received.address, received.domain, now)

    def _pull(self, address: PeerAddress, domain: str, now: float) -> None:
        """Request the parts of the complete set that differ, one request at a time."""
        if self._pull_in_flight or now < self._no_pull_before:
            return
        self._pull_in_flight = True
        pull = Pull(self._active.part_digests())
        self._request(address, domain, pull, self._options.pull_timeout_s)

    def _handle_offer_result(self, result: OfferResult, *, spread: bool = True) -> None:
        """Publish a newly active set; with `spread`, push its delta to the children."""
        if result is OfferResult.INVALID:
            _LOGGER.error("config: %s.", self._active.problem)
        config = self._active.config
        if result is not OfferResult.ACTIVATED or config is None:
            return
        _LOGGER.info("config: version %d in force.", config.version)
        self._publish_state(self.clock())
        for callback in self._callbacks:
            callback(config)
        delta = self._active.delta()
        if spread and delta is not None:
            self._forward_push(Push(self.identity.instance, config.version, delta))

    def _forward_push(self, push: Push) -> None:
        for child in self._order.children(push.root, self._options.push_fanout):
            self._link.send(child.address, push)

    def _request(
        self, address: PeerAddress, domain: str, message: Any, timeout_s: float
    ) -> None:
        sent_at = self.clock()

        def post_reply(future: Future[Any]) -> None:
            if not future.cancelled():
                self.post(PeerReply(address, domain, sent_at, future.result()))

        future = self._link.request(address, message, timeout_s=timeout_s)
        future.add_done_callback(post_reply)

    def _publish_state(self, now: float) -> None:
        """Replace the state that other threads read."""
        config = self._active.config
        if config is None:
            return
        valid_s = self._options.outage_valid_s
        outage = self._freshness.outage_age_s(now, valid_s=valid_s) is not None
        self._state = ConfigState(config, self._freshness.proven_at, outage)

    def _post_peer_message(
        self, peer: PeerIdentity, message: Any, responder: Responder
    ) -> None:
        self.post(PeerMessage(peer, message, responder))
