"""Why a datagram was not taken, as sentinel values."""

from enum import Enum


class DatagramProblem(Enum):
    """A datagram that is dropped."""

    TOO_LARGE = "too_large"
    UNPROVEN = "unproven"
    REPLAYED = "replayed"
    MALFORMED = "malformed"
