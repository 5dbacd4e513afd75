"""Limits and timeouts of membership datagrams."""

MAX_DATAGRAM_BYTES = 1_400
MAC_BYTES = 16
MAC_CONTEXT = b"damaskbay gossip 1"
RECEIVE_TIMEOUT_S = 0.2
REPLAY_WINDOW_DATAGRAMS = 64
MAX_TRACKED_SENDERS = 8_000
