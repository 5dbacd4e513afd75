"""Cost and detection times of membership, with many members in virtual time."""

import time
from typing import Any

from damaskbay.adapters.gossip_udp.codec import PacketCodec
from damaskbay.core.membership.packets import Outgoing, Packet
from damaskbay.core.membership.swim import Swim
from damaskbay.ports.fleet import ServerState
from tests.core.membership.common import Network, pool_of

IDLE_S = 10.0
LIMIT_S = 30.0
HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""


class CodedNetwork(Network):
    """Simulated network that encodes and decodes each datagram as daemons do."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.datagrams = 0
        self.bytes = 0
        self._codec_by_name: dict[str, PacketCodec] = {}

    def send(self, source: str, outgoing: list[Outgoing]) -> None:
        """Encode, count and send datagrams."""
        decoded = [
            Outgoing(item.address, self._encoded_and_decoded(source, item))
            for item in outgoing
        ]
        super().send(source, decoded)

    def _encoded_and_decoded(self, source: str, item: Outgoing) -> Packet:
        target = self._name_by_address.get(item.address, "")
        data = self._codec(source).encode(item.packet)
        self.datagrams += 1
        self.bytes += len(data) + HEADER_BYTES
        packet = self._codec(target).decode(data)
        if not isinstance(packet, Packet):
            raise RuntimeError(f"datagram dropped: {packet}")
        return packet

    def _codec(self, name: str) -> PacketCodec:
        return self._codec_by_name.setdefault(name, PacketCodec(b"s" * 32))


def membership_figures(members: int, seed: int) -> dict[str, Any]:
    """Return the cost per idle member, and the time to detect a drain and a crash."""
    network = CodedNetwork(seed)
    network.start(members)
    network.run(2)
    network.datagrams = network.bytes = 0
    started_s = time.process_time()
    network.run(IDLE_S)
    cpu_s = time.process_time() - started_s
    per_member_s = members * IDLE_S
    idle = {
        "members": members,
        "datagrams_per_s": round(2 * network.datagrams / per_member_s, 2),
        "bytes_per_s": round(2 * network.bytes / per_member_s),
        "core_share_pct": round(100 * cpu_s / per_member_s, 4),
    }
    return {**idle, **_detection_times(network)}


def _detection_times(network: CodedNetwork) -> dict[str, Any]:
    swim = network.swim_by_name["m1"]
    network.datagrams = 0
    drained = swim.announce(
        pool="p", state=ServerState.DRAINING, slots=4, load=0, now=network.now
    )
    network.send("m1", drained)
    drain_s = network.run_until(
        lambda: _is_avoided_by_all(network, "m1"), limit_s=LIMIT_S
    )
    network.run(5)
    network.remove("m2")
    crash_s = network.run_until(
        lambda: _is_avoided_by_all(network, "m2"), limit_s=LIMIT_S
    )
    return {"drain_known_s": round(drain_s, 2), "crash_avoided_s": round(crash_s, 2)}


def _is_avoided_by_all(network: CodedNetwork, instance: str) -> bool:
    others = [swim for name, swim in network.swim_by_name.items() if name != instance]
    return not any(_routes_to(swim, instance) for swim in others)


def _routes_to(swim: Swim, instance: str) -> bool:
    record = swim.table.by_instance[instance]
    if record.entry.state is not ServerState.READY:
        return False
    return not swim.is_avoided(instance) and instance in pool_of(swim)
