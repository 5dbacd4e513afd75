"""How the descriptors of a daemon are divided between its connections."""

import sys
from dataclasses import dataclass
from typing import Final

SERVED_SHARE: Final = 0.65
"""Part of the descriptors for callers that are served."""

REFUSED_SHARE: Final = 0.05
"""Part of the descriptors for callers that are refused."""

STATUS_SHARE: Final = 0.025
"""Part of the descriptors for callers of each status server that are served."""

MAX_STATUS_CONNECTIONS: Final = 64
"""Limit of their number."""

CLOSE_SHARE: Final = 0.1
"""
Part of the descriptors for callers that wait as the listener closes.

The rest is for servers, peers and the store.
"""

MAX_BACKLOG: Final = 1024
"""
Maximum number of connections that wait to be accepted.

Further ones are dropped by the kernel, also where the caller counts as connected and
has sent its request, which delays them by seconds.
"""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """
    Numbers of connections of callers.

    Requests on connections beyond `served` are refused. From `most` on none is accepted
    until others have left. As the listener closes, it accepts `accepts_at_close` of
    those that wait.
    """

    served: int = sys.maxsize
    most: int = sys.maxsize
    accepts_at_close: int = MAX_BACKLOG


def status_connections(count: int) -> ConnectionLimits:
    """Return the limits of each status server of a daemon with so many descriptors."""
    served = max(2, min(MAX_STATUS_CONNECTIONS, int(STATUS_SHARE * count)))
    refused = max(1, served // 4)
    return ConnectionLimits(served, served + refused, refused)


def divide_descriptors(count: int) -> ConnectionLimits:
    """Return the limits of a daemon that may open `count` descriptors."""
    served = max(1, int(SERVED_SHARE * count))
    return ConnectionLimits(
        served,
        served + max(1, int(REFUSED_SHARE * count)),
        min(MAX_BACKLOG, max(1, int(CLOSE_SHARE * count))),
    )
