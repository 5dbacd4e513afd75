"""Encoding of packets: a MAC, then msgpack of a sequence number and the values."""

import hmac
from typing import Any

import msgpack

from damaskbay.adapters.gossip_udp.const import (
    MAC_BYTES,
    MAC_CONTEXT,
    MAX_DATAGRAM_BYTES,
)
from damaskbay.adapters.gossip_udp.exceptions import DatagramProblem
from damaskbay.adapters.gossip_udp.replay import ReplayFilter
from damaskbay.core.membership.entry import MemberEntry
from damaskbay.core.membership.packets import Ack, IndirectPing, Packet, Ping, Rumor
from damaskbay.core.membership.wire import entry_from, entry_values
from damaskbay.ports.peer import PeerAddress

_PING, _INDIRECT_PING, _ACK, _RUMOR = range(4)


class PacketCodec:
    """
    Encodes packets to send; authenticates and decodes received ones, dropping replays.

    Sent packets use the first of `secrets`; received ones may use any of them.
    """

    def __init__(self, *secrets: bytes) -> None:
        self._keys = [hmac.digest(secret, MAC_CONTEXT, "sha256") for secret in secrets]
        self._sequence = 0
        self._replays = ReplayFilter()

    def encode(self, packet: Packet) -> bytes:
        """Return the datagram; the last updates are left out if they do not fit."""
        updates = packet.updates
        while True:
            data = self._encode(packet, updates)
            if len(data) <= MAX_DATAGRAM_BYTES or not updates:
                return data
            updates = updates[:-1]

    def decode(self, data: bytes) -> Packet | DatagramProblem:
        """Return the packet or the reason why the datagram is dropped."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return DatagramProblem.TOO_LARGE
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(key, body)) for key in self._keys):
            return DatagramProblem.UNPROVEN
        try:
            sequence, values = msgpack.unpackb(body)
            packet = _decode_values(values)
        except (ValueError, TypeError, msgpack.exceptions.UnpackException):
            return DatagramProblem.MALFORMED
        sender = packet.sender
        if not isinstance(sequence, int):
            return DatagramProblem.MALFORMED
        if not self._replays.accept(sender.instance, sender.incarnation, sequence):
            return DatagramProblem.REPLAYED
        return packet

    def _encode(self, packet: Packet, updates: tuple[MemberEntry, ...]) -> bytes:
        self._sequence += 1
        body: bytes = msgpack.packb([self._sequence, _encode_values(packet, updates)])
        return _mac(self._keys[0], body) + body


def _mac(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")[:MAC_BYTES]


def _encode_values(packet: Packet, updates: tuple[MemberEntry, ...]) -> list[Any]:
    entries = [entry_values(entry) for entry in (packet.sender, *updates)]
    match packet:
        case Ping():
            return [_PING, entries, packet.probe]
        case IndirectPing():
            target = packet.target
            return [_INDIRECT_PING, entries, packet.probe, target.host, target.port]
        case Ack():
            return [_ACK, entries, packet.probe]
        case Rumor():
            return [_RUMOR, entries]


def _decode_values(values: Any) -> Packet:
    kind, rows, *rest = values
    sender, *updates = (entry_from(row) for row in rows)
    match kind, rest:
        case 0, [int(probe)]:
            return Ping(sender, probe, tuple(updates))
        case 1, [int(probe), str(host), int(port)] if 0 < port < 2**16:
            return IndirectPing(sender, probe, PeerAddress(host, port), tuple(updates))
        case 2, [int(probe)]:
            return Ack(sender, probe, tuple(updates))
        case 3, []:
            return Rumor(sender, tuple(updates))
    raise ValueError("unknown packet kind or invalid values")
