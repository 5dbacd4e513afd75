"""Datagrams that the members of a failure domain send each other."""

from dataclasses import dataclass

from damaskbay.core.membership.entry import MemberEntry
from damaskbay.ports.peer import PeerAddress


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask for an `Ack` with the same probe number."""

    sender: MemberEntry
    probe: int
    updates: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask the receiver to probe `target` and to pass the `Ack` on."""

    sender: MemberEntry
    probe: int
    target: PeerAddress
    updates: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer a probe; one that was passed on has the target's entry first."""

    sender: MemberEntry
    probe: int
    updates: tuple[MemberEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Rumor:
    """Tell news at once; no answer is expected."""

    sender: MemberEntry
    updates: tuple[MemberEntry, ...] = ()


Packet = Ping | IndirectPing | Ack | Rumor


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A datagram to send."""

    address: PeerAddress
    packet: Packet
