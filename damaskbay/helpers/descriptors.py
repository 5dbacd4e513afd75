"""The limit of open descriptors of this process."""

import logging
import resource

_LOGGER = logging.getLogger(__name__)


def raise_descriptor_limit(wanted: int) -> int:
    """
    Raise the soft limit to `wanted`, as far as the hard limit allows it.

    Return how many descriptors the process may open; `wanted` is the most.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft == resource.RLIM_INFINITY or soft >= allowed:
        return allowed
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    except (OSError, ValueError) as error:
        extra = {"why": str(error), "limit": soft, "wanted": wanted}
        _LOGGER.warning("daemon: descriptor limit can't be raised.", extra=extra)
        return soft
    return allowed
