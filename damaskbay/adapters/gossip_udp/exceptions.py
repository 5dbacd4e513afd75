"""Reasons for which datagrams are dropped, as sentinel values."""

from enum import Enum


class DatagramProblem(Enum):
    """Reason why a datagram is dropped."""

    TOO_LARGE = "too_large"
    UNPROVEN = "unproven"
    REPLAYED = "replayed"
    MALFORMED = "malformed"
