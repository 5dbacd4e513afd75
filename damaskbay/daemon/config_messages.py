"""Messages and interfaces between the parts of the configuration service."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from damaskbay.config.document import Document
from damaskbay.config.objects import ConfigSet
from damaskbay.core.dissemination.freshness import Proof
from damaskbay.core.dissemination.messages import Poll, Pull, Push
from damaskbay.ports.peer import PeerAddress, PeerIdentity, Responder


@dataclass(frozen=True, slots=True)
class Head:
    """Head record as read; `problem` is not empty if no set can be loaded from it."""

    revision: int
    version: int
    digest: str
    problem: str = ""


@dataclass(frozen=True, slots=True)
class SourceUnavailable:
    """Result if the platform did not reply."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class InvalidSet:
    """Result if the set stored in the platform is invalid."""

    detail: str


class SetSource(Protocol):
    """Reader of accepted configuration sets in the platform. Both methods block."""

    def watch(
        self, *, after_revision: int, timeout_s: float
    ) -> Head | SourceUnavailable | None:
        """Wait for a head above a revision; return None on timeout."""
        ...

    def load(
        self, head: Head, held: Document | None, *, timeout_s: float
    ) -> Document | SourceUnavailable | InvalidSet:
        """
        Return the complete, validated set of a head.

        Parts that are equal in `held` are not read again.
        """
        ...


class ContactDirectory(Protocol):
    """Directory of a few daemons of each failure domain. Thread-safe."""

    def contacts_by_domain(self) -> Mapping[str, tuple[PeerAddress, ...]]:
        """Return peer addresses, including the local domain's; empty while unknown."""
        ...


@dataclass(frozen=True, slots=True)
class SetLoaded:
    """Message that a relay has loaded a newer set."""

    version: int
    document: Document
    proof: Proof


@dataclass(frozen=True, slots=True)
class HeadUnchanged:
    """Message that a relay has read the head and found no change."""

    proof: Proof


@dataclass(frozen=True, slots=True)
class UnusableHead:
    """Message that a relay has read a head that it cannot use."""

    detail: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Message from a peer."""

    peer: PeerIdentity
    message: Poll | Pull | Push
    responder: Responder


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Reply to a request sent at `sent_at`, or a PeerFailure."""

    address: PeerAddress
    domain: str
    sent_at: float
    reply: Any


@dataclass(frozen=True, slots=True)
class Subscription:
    """Request to invoke `callback` with the active set and each newer one."""

    callback: Callable[[ConfigSet], None]


@dataclass(frozen=True, slots=True)
class ConfigReport:
    """Summary of the configuration state of this daemon."""

    version: int
    digest: str
    proof_age_s: float | None
    outage_for_all: bool
    relay: bool
    problem: str
    unreachable_domains: tuple[str, ...] = ()
