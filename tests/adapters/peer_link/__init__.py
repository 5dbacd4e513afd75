"""Tests of adapters/peer_link."""
