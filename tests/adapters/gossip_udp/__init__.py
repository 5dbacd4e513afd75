"""Tests of adapters.gossip_udp."""
