"""Streams of msgpack frames between daemons, authenticated by a shared secret."""

from damaskbay.adapters.peer_stream.options import PeerStreamOptions, PeerStreamStats
from damaskbay.adapters.peer_stream.streams import PeerStreams

__all__ = ["PeerStreamOptions", "PeerStreamStats", "PeerStreams"]
