"""How the descriptors of a daemon are divided between its connections."""

import sys
from dataclasses import dataclass
from typing import Final

SERVED_SHARE: Final = 0.65
"""Part of the descriptors for callers that are served."""

REFUSED_SHARE: Final = 0.05
"""Part of the descriptors for callers that are refused."""

BACKLOG_SHARE: Final = 0.1
"""
Part of the descriptors for callers that wait, since all may be accepted at once.

The rest is for servers, peers and the store.
"""

MAX_BACKLOG: Final = 1024
"""
Maximum number of connections that wait to be accepted.

Further attempts to connect are dropped, which delays the caller by seconds.
"""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """
    Numbers of connections of callers.

    Requests on connections beyond `served` are refused. From `most` on no more are
    accepted than the `backlog` that waits by then.
    """

    served: int = sys.maxsize
    most: int = sys.maxsize
    backlog: int = MAX_BACKLOG


def divide_descriptors(count: int) -> ConnectionLimits:
    """Return the limits of a daemon that may open `count` descriptors."""
    served = max(1, int(SERVED_SHARE * count))
    return ConnectionLimits(
        served,
        served + max(1, int(REFUSED_SHARE * count)),
        min(MAX_BACKLOG, max(1, int(BACKLOG_SHARE * count))),
    )
