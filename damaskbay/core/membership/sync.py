"""Peer stream messages: entries missed by lost datagrams, and server samples."""

from dataclasses import dataclass

from damaskbay.helpers.messages import message
from damaskbay.ports.peer import PeerAddress


@message("membership.digests")
@dataclass(frozen=True, slots=True)
class Digests:
    """Request for the entries of all differing buckets, and for differing contacts."""

    failure_domain: str
    digests: tuple[bytes, ...]
    contacts_digest: bytes


@message("membership.entries")
@dataclass(frozen=True, slots=True)
class Entries:
    """Packed entries of the listed buckets, and packed contacts; empty for none."""

    buckets: tuple[int, ...]
    entries: bytes
    contacts: bytes = b""


@message("membership.ask")
@dataclass(frozen=True, slots=True)
class ServersRequest:
    """
    Request for changed servers, and subscription to later changes.

    A delegate of another failure domain requests all pools, a member of the same
    domain only those it needs. `source` and `since` are the source and the revision
    of the last reply.
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
    Packed entries of the servers that accept calls, for all listed pools.

    `failure_domain` is that of the servers, empty if they belong to several. With
    `complete`, a pool that is not listed has no servers.
    """

    failure_domain: str
    source: str
    revision: int
    pools: tuple[str, ...]
    entries: bytes
    complete: bool = False
