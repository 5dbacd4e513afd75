"""Task that watches the platform's head record while this daemon is a relay."""

import logging
from collections.abc import Callable
from types import TracebackType
from typing import Any

from damaskbay.config.document import Document
from damaskbay.core.dissemination.freshness import Proof
from damaskbay.core.dissemination.lease import HeldLease
from damaskbay.core.dissemination.options import DisseminationOptions
from damaskbay.core.dissemination.order import LEADER_PURPOSE, MemberOrder
from damaskbay.daemon.config_messages import (
    Head,
    HeadUnchanged,
    InvalidSet,
    SetLoaded,
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

RELAY_KEY_PREFIX = "damaskbay/relays"


class ConfigRelay(Task):
    """
    Task that reads sets as a relay and posts them with `post_to_service`.

    It is idle while other daemons are the relays. A result is discarded if the lease
    ended before the platform replied: after a pause of the process the result may be
    outdated.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        *,
        platform: Platform,
        source: SetSource,
        membership: Membership,
        options: DisseminationOptions,
        post_to_service: Callable[[Any], bool],
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        super().__init__("config-relay", clock=clock)
        self._options = options
        self._source = source
        self._membership = membership
        self._post_to_service = post_to_service
        self._order = MemberOrder(identity.instance, LEADER_PURPOSE, options.relays)
        self._lease = PlatformLease(
            platform,
            keys=tuple(
                f"{RELAY_KEY_PREFIX}/{identity.failure_domain}/{slot}"
                for slot in range(options.relays)
            ),
            holder=f"{identity.instance}/{identity.incarnation}",
            held_lease=HeldLease(
                lease_s=options.lease_s, margin_s=options.lease_margin_s
            ),
            lease_s=options.lease_s,
            timeout_s=options.lease_timeout_s,
            clock=clock,
        )
        self._head: Head | None = None
        self._loaded_version = 0
        self._loaded_is_newest = True
        self._document: Document | None = None
        self._next_renewal_at = 0.0
        self._retry_not_before = 0.0

    @property
    def holds_lease(self) -> bool:
        """Return whether this daemon is a relay now."""
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
        """Ignore messages; this task receives none."""

    def tick(self, now: float) -> None:
        """Renew the lease when due and watch the head once; resign if not a relay."""
        self._order.update(self._membership.members())
        if not self._order.is_leader:
            self._resign()
            return
        if now < self._retry_not_before:
            return
        if now >= self._next_renewal_at or not self._lease.holds():
            self._renew(now)
        if self._lease.holds():
            self._watch()

    def _resign(self) -> None:
        self._lease.release()
        self._head = None
        self._document = None
        self._loaded_version = 0
        self._loaded_is_newest = True

    def _renew(self, now: float) -> None:
        if self._lease.renew():
            self._next_renewal_at = now + self._options.lease_renew_s
        else:
            self._delay_retry()

    def _watch(self) -> None:
        requested_at = self.clock()
        revision = 0 if self._head is None else self._head.revision
        timeout_s = self._options.watch_s
        observed = self._source.watch(after_revision=revision, timeout_s=timeout_s)
        if not self._lease.holds():
            return
        match observed:
            case None:
                # Only a watch of full length proves that the head is unchanged
                # until its end.
                timed_out = self.clock() - requested_at >= timeout_s
                self._post_proof(
                    requested_at + timeout_s if timed_out else requested_at
                )
            case Head():
                self._load_set(observed, requested_at)
            case SourceUnavailable():
                self._delay_retry()

    def _load_set(self, head: Head, requested_at: float) -> None:
        """Load the set of a newer head; skip a head that is invalid or not newer."""
        if head.problem or head.version <= self._loaded_version:
            self._skip_head(
                head,
                head.problem or f"version {head.version} is not above the loaded one",
            )
            return
        result = self._source.load(
            head, self._document, timeout_s=self._options.load_timeout_s
        )
        if not self._lease.holds():
            return
        match result:
            case Document():
                self._accept_set(head, result, requested_at)
            case SourceUnavailable():
                self._delay_retry()
            case InvalidSet():
                self._skip_head(head, f"version {head.version}: {result.detail}")

    def _accept_set(self, head: Head, document: Document, requested_at: float) -> None:
        self._head = head
        self._loaded_version = head.version
        self._document = document
        self._loaded_is_newest = True
        proof = Proof(head.version, requested_at)
        self._post_to_service(SetLoaded(head.version, document, proof))

    def _skip_head(self, head: Head, problem: str) -> None:
        """
        Skip a head from which no set can be loaded.

        If its version directly follows the loaded one, no set was accepted in between
        and the loaded set is still proven. Otherwise proofs stop.
        """
        self._head = head
        self._loaded_is_newest = head.version == self._loaded_version + 1
        _LOGGER.error("config: head unusable: %s.", problem)
        self._post_to_service(UnusableHead(problem))

    def _post_proof(self, at: float) -> None:
        if self._loaded_is_newest:
            self._post_to_service(HeadUnchanged(Proof(self._loaded_version, at)))

    def _delay_retry(self) -> None:
        self._retry_not_before = self.clock() + self._options.retry_s
