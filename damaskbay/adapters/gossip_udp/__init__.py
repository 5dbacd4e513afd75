"""Membership datagrams over UDP, authenticated by a shared secret."""

from damaskbay.adapters.gossip_udp.client import GossipSocket
from damaskbay.adapters.gossip_udp.codec import PacketCodec

__all__ = ["GossipSocket", "PacketCodec"]
