"""Reasons for which datagrams are dropped; they are returned, not raised."""

from enum import Enum


class DatagramProblem(Enum):
    """Reason why a datagram is dropped."""

    TOO_LARGE = "too_large"
    UNPROVEN = "unproven"
    """The MAC matches none of the secrets."""

    REPLAYED = "replayed"
    """Received before, or too old to tell."""

    MALFORMED = "malformed"
