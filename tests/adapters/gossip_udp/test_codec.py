"""Tests of the encoding of datagrams."""

import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.gossip_udp.codec import PacketCodec, _mac
from damaskbay.adapters.gossip_udp.const import MAX_DATAGRAM_BYTES
from damaskbay.adapters.gossip_udp.exceptions import DatagramProblem
from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.core.membership.packets import Ack, IndirectPing, Ping, Rumor
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ADDRESS = PeerAddress("127.0.0.1", 4_000)
ENTRY = MemberEntry(
    "i-1", 5, 2, Status.SUSPECT, "d1", ADDRESS, ADDRESS, "p", ServerState.READY, 8, 0.5
)
SECRET = b"s" * 32


def test_round_trip() -> None:
    """Each kind of packet is equal after encoding and decoding."""
    for packet in (
        Ping(ENTRY, 1, (ENTRY,)),
        IndirectPing(ENTRY, 2, ADDRESS),
        Ack(ENTRY, 3),
        Rumor(ENTRY, (ENTRY, ENTRY)),
    ):
        assert PacketCodec(SECRET).decode(PacketCodec(SECRET).encode(packet)) == packet


def test_another_secret_or_a_changed_byte_is_dropped() -> None:
    """Datagrams with another secret or a changed byte fail authentication."""
    data = PacketCodec(SECRET).encode(Ping(ENTRY, 1))
    assert PacketCodec(b"other").decode(data) is DatagramProblem.UNPROVEN
    rotating = PacketCodec(b"other", SECRET)
    assert isinstance(rotating.decode(data), Ping)
    changed = data[:-1] + bytes([data[-1] ^ 1])
    assert PacketCodec(SECRET).decode(changed) is DatagramProblem.UNPROVEN


def test_replays_are_dropped_and_disorder_is_not() -> None:
    """Each datagram is accepted once, in any order; replays are dropped."""
    sender, receiver = PacketCodec(SECRET), PacketCodec(SECRET)
    first, second = (sender.encode(Ping(ENTRY, number)) for number in (1, 2))
    assert isinstance(receiver.decode(second), Ping)
    assert isinstance(receiver.decode(first), Ping)
    assert receiver.decode(first) is DatagramProblem.REPLAYED
    newer = PacketCodec(SECRET).encode(Ping(replace(ENTRY, incarnation=6), 1))
    assert isinstance(receiver.decode(newer), Ping)
    later = sender.encode(Ping(ENTRY, 3))
    assert receiver.decode(later) is DatagramProblem.REPLAYED


def test_datagram_is_bounded() -> None:
    """Updates that do not fit are left out; the others are sent."""
    long = replace(ENTRY, instance="i" * 64, pool="p" * 64)
    data = PacketCodec(SECRET).encode(Rumor(ENTRY, (long,) * 40))
    assert len(data) <= MAX_DATAGRAM_BYTES
    packet = PacketCodec(SECRET).decode(data)
    assert isinstance(packet, Rumor)
    assert packet.updates


def test_size_estimate_is_an_upper_bound() -> None:
    """`size_bytes` is an upper bound, also for the longest values."""
    host = PeerAddress("255.255.255.255", 65_535)
    long = replace(
        ENTRY,
        instance="i" * 64,
        incarnation=2**62,
        version=2**40,
        address=host,
        gossip=host,
        state=ServerState.DRAINING,
        slots=100_000,
    )
    codec = PacketCodec(SECRET)
    alone = len(codec.encode(Rumor(ENTRY)))
    assert len(codec.encode(Rumor(ENTRY, (long,)))) - alone <= long.size_bytes


@settings(derandomize=True)
@given(st.binary(max_size=300))
def test_garbage_is_a_value_not_an_exception(body: bytes) -> None:
    """Any bytes, also with a valid MAC, give a packet or a problem."""
    codec = PacketCodec(SECRET)
    codec.decode(body)
    codec.decode(_mac(codec._keys[0], body) + body)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
