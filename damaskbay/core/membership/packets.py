"""Datagrams between the members of a failure domain."""

from dataclasses import dataclass

from damaskbay.core.membership.entry import MemberEntry
from damaskbay.ports.peer import PeerAddress


@dataclass(frozen=True, slots=True)
class Ping:
    """Request for an `Ack` with the same probe number."""

    sender: MemberEntry
    probe: int
    updates: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Request to probe `target` and to forward its `Ack`."""

    sender: MemberEntry
    probe: int
    target: PeerAddress
    updates: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a probe; a forwarded ack has the target's entry as its first update."""

    sender: MemberEntry
    probe: int
    updates: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Rumor:
    """Updates sent at once, without a reply."""

    sender: MemberEntry
    updates: tuple[MemberEntry, ...] = ()


Packet = Ping | IndirectPing | Ack | Rumor


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A datagram to send and its destination."""

    address: PeerAddress
    packet: Packet
