"""What the parts of the membership tell each other."""

from dataclasses import dataclass
from typing import Any

from damaskbay.core.membership.contacts import Contact
from damaskbay.core.membership.sync import AskServers, Digests, Servers
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress, Responder


@dataclass(frozen=True, slots=True)
class Announcement:
    """The local backend server said this of itself."""

    pool: str
    state: ServerState
    slots: int
    load: float


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call to a daemon failed on the way."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class PeerAsked:
    """A message of another daemon that wants an answer."""

    message: Digests | AskServers
    responder: Responder


@dataclass(frozen=True, slots=True)
class SyncAnswered:
    """What came back for digests."""

    address: PeerAddress
    answer: Any


@dataclass(frozen=True, slots=True)
class ServersAnswered:
    """What came back for a question about servers."""

    domain: str
    answer: Any


@dataclass(frozen=True, slots=True)
class ServersTold:
    """News of servers that nobody asked for just now."""

    servers: Servers


@dataclass(frozen=True, slots=True)
class ContactsRead:
    """The contacts that stand in the platform; `seeds` are those before a write."""

    contacts: tuple[Contact, ...]
    seeds: tuple[Contact, ...]
