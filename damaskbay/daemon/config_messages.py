"""What the parts of the configuration service tell each other."""

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
    """The head record as read; `problem` tells why no set can follow from it."""

    revision: int
    version: int
    digest: str
    problem: str = ""


@dataclass(frozen=True, slots=True)
class SourceUnavailable:
    """The platform gave no answer."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class SetInvalid:
    """The platform answered, and what stands there is no valid set."""

    detail: str


class SetSource(Protocol):
    """Reads accepted sets from the platform. Both methods block."""

    def watch(
        self, *, after_revision: int, timeout_s: float
    ) -> Head | SourceUnavailable | None:
        """Wait for a head beyond a revision; None: time is up without one."""
        ...

    def load(
        self, head: Head, held: Document | None, *, timeout_s: float
    ) -> Document | SourceUnavailable | SetInvalid:
        """Return the whole, checked set of a head; `held` spares equal parts."""
        ...


class Contacts(Protocol):
    """Knows a few daemons of each failure domain. Safe from any thread."""

    def contacts_by_domain(self) -> Mapping[str, tuple[PeerAddress, ...]]:
        """Return peer addresses, the own domain's too; empty while unknown."""
        ...


@dataclass(frozen=True, slots=True)
class Loaded:
    """A relay read a newer set."""

    version: int
    document: Document
    proof: Proof


@dataclass(frozen=True, slots=True)
class Proven:
    """A relay read that the head still is what it was."""

    proof: Proof


@dataclass(frozen=True, slots=True)
class UnusableHead:
    """A relay found a head that it can't use."""

    detail: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another daemon."""

    peer: PeerIdentity
    message: Poll | Pull | Push
    responder: Responder


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """The answer to a message sent at `asked_at`, or a PeerFailure."""

    address: PeerAddress
    domain: str
    asked_at: float
    answer: Any


@dataclass(frozen=True, slots=True)
class Subscription:
    """A callback to call with each newer set."""

    callback: Callable[[ConfigSet], None]


@dataclass(frozen=True, slots=True)
class ConfigReport:
    """What `status` tells of the configuration on this daemon."""

    version: int
    digest: str
    proof_age_s: float | None
    outage_for_all: bool
    relay: bool
    problem: str
    unreachable_domains: tuple[str, ...] = ()
