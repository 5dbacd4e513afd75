"""Messages over peer streams that repair what datagrams lost."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message
from damaskbay.ports.peer import PeerAddress


@message("membership.digests")
@dataclass(frozen=True, slots=True)
class Digests:
    """Ask for the entries of all buckets, and the contacts, that differ."""

    failure_domain: str
    digests: tuple[bytes, ...]
    contacts_digest: bytes


@message("membership.entries")
@dataclass(frozen=True, slots=True)
class Entries:
    """Packed entries of the named buckets, and packed contacts; empty for none."""

    buckets: tuple[int, ...]
    entries: bytes
    contacts: bytes = b""


@message("membership.ask")
@dataclass(frozen=True, slots=True)
class AskServers:
    """
    Ask for what changed of other domains' servers, and to be told of changes.

    A delegate of another failure domain asks for all pools, a member of the own
    one for those it needs. `source` and `since` are those of the last answer.
    """

    failure_domain: str
    address: PeerAddress
    pools: tuple[str, ...]
    source: str
    since: int


@message("membership.servers")
@dataclass(frozen=True, slots=True)
class Servers:
    """
    The packed entries of the servers that take work, of all the named pools.

    `failure_domain` is that of the servers, empty where they are of several. With
    `complete`, a pool that is not named has none.
    """

    failure_domain: str
    source: str
    revision: int
    pools: tuple[str, ...]
    entries: bytes
    complete: bool = False
