"""Messages between the parts of the membership service."""

from dataclasses import dataclass
from typing import Any

from damaskbay.core.membership.contacts import Contact
from damaskbay.core.membership.sync import Digests, Servers, ServersRequest
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, Responder


@dataclass(frozen=True, slots=True)
class Announcement:
    """State that the local backend server announced."""

    pool: str
    state: ServerState
    slots: int
    load: float


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Report that a call to another daemon failed in transit."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """Request from a peer."""

    message: Digests | ServersRequest
    responder: Responder


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Reply to a Digests request, or a PeerFailure."""

    address: PeerAddress
    reply: Any


@dataclass(frozen=True, slots=True)
class ServersReply:
    """Reply to an ServersRequest request, or a PeerFailure."""

    domain: str
    reply: Any


@dataclass(frozen=True, slots=True)
class ServersUpdate:
    """Update about servers that a peer sent without a request."""

    servers: Servers


@dataclass(frozen=True, slots=True)
class ContactsRead:
    """Contacts read from the platform; `seeds` are those read before a write."""

    contacts: tuple[Contact, ...]
    seeds: tuple[Contact, ...]
