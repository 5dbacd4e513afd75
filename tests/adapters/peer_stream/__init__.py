"""Tests of adapters.peer_stream."""
