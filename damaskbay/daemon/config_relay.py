"""The task that watches the platform's head while this daemon is a relay."""

import logging
from collections.abc import Callable
from types import TracebackType
from typing import Any

from damaskbay.config.document import Document
from damaskbay.core.dissemination.freshness import Proof
from damaskbay.core.dissemination.lease import HeldLease
from damaskbay.core.dissemination.options import DisseminationOptions
from damaskbay.core.dissemination.order import LEADER_PURPOSE, FleetOrder
from damaskbay.daemon.config_messages import (
    Head,
    Loaded,
    Proven,
    SetInvalid,
    SetSource,
    SourceUnavailable,
    UnusableHead,
)
from damaskbay.daemon.platform_lease import PlatformLease
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import Membership
from damaskbay.ports.peer import PeerIdentity
from damaskbay.ports.platform import Platform

_LOGGER = logging.getLogger(__name__)

KEY_PREFIX = "damaskbay/relays"


class ConfigRelay(Task):
    """
    Posts what it reads with `post_up`; does nothing where others are relays.

    Every read is thrown away whose lease ended before the answer was there, so a
    relay that was paused tells nothing from before its pause.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        *,
        platform: Platform,
        source: SetSource,
        membership: Membership,
        options: DisseminationOptions,
        post_up: Callable[[Any], bool],
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        super().__init__("config-relay", clock=clock)
        self._options = options
        self._source = source
        self._membership = membership
        self._post_up = post_up
        self._order = FleetOrder(identity.instance, LEADER_PURPOSE, options.relays)
        self._lease = PlatformLease(
            platform,
            keys=tuple(
                f"{KEY_PREFIX}/{identity.failure_domain}/{slot}"
                for slot in range(options.relays)
            ),
            holder=f"{identity.instance}/{identity.incarnation}",
            held=HeldLease(lease_s=options.lease_s, margin_s=options.lease_margin_s),
            lease_s=options.lease_s,
            timeout_s=options.lease_timeout_s,
            clock=clock,
        )
        self._head: Head | None = None
        self._loaded_version = 0
        self._newest_known = True
        self._document: Document | None = None
        self._next_renewal = 0.0
        self._next_try = 0.0

    @property
    def holds_lease(self) -> bool:
        """Tell whether this daemon relays now."""
        return self._lease.holds()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        super().__exit__(exc_type, exc, traceback)
        self._lease.release()

    def handle(self, message: Any, now: float) -> None:
        """Take no messages."""

    def tick(self, now: float) -> None:
        """Keep the lease and watch once."""
        self._order.update(self._membership.members())
        if not self._order.leads:
            self._resign()
            return
        if now < self._next_try:
            return
        if now >= self._next_renewal or not self._lease.holds():
            self._renew(now)
        if self._lease.holds():
            self._watch()

    def _resign(self) -> None:
        self._lease.release()
        self._head = None
        self._document = None
        self._loaded_version = 0
        self._newest_known = True

    def _renew(self, now: float) -> None:
        if self._lease.renew():
            self._next_renewal = now + self._options.lease_renew_s
        else:
            self._pause()

    def _watch(self) -> None:
        asked_at = self.clock()
        revision = 0 if self._head is None else self._head.revision
        timeout_s = self._options.watch_s
        seen = self._source.watch(after_revision=revision, timeout_s=timeout_s)
        if not self._lease.holds():
            return
        match seen:
            case None:
                waited = self.clock() - asked_at >= timeout_s
                self._prove(asked_at + timeout_s if waited else asked_at)
            case Head():
                self._take(seen, asked_at)
            case SourceUnavailable():
                self._pause()

    def _take(self, head: Head, asked_at: float) -> None:
        """Load the set of a newer head."""
        if head.problem or head.version <= self._loaded_version:
            self._skip(head, head.problem or f"back to version {head.version}")
            return
        loaded = self._source.load(
            head, self._document, timeout_s=self._options.load_timeout_s
        )
        if not self._lease.holds():
            return
        match loaded:
            case Document():
                self._load(head, loaded, asked_at)
            case SourceUnavailable():
                self._pause()
            case SetInvalid():
                self._skip(head, f"version {head.version}: {loaded.detail}")

    def _load(self, head: Head, document: Document, asked_at: float) -> None:
        self._head = head
        self._loaded_version = head.version
        self._document = document
        self._newest_known = True
        proof = Proof(head.version, asked_at)
        self._post_up(Loaded(head.version, document, proof))

    def _skip(self, head: Head, problem: str) -> None:
        """
        Leave a head that no set follows from.

        The set at hand is still the newest accepted one only if that head came
        right after it.
        """
        self._head = head
        self._newest_known = head.version == self._loaded_version + 1
        _LOGGER.error("config: head unusable: %s.", problem)
        self._post_up(UnusableHead(problem))

    def _prove(self, at: float) -> None:
        if self._newest_known:
            self._post_up(Proven(Proof(self._loaded_version, at)))

    def _pause(self) -> None:
        self._next_try = self.clock() + self._options.retry_s
