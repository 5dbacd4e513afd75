"""The limit of open descriptors of this process, and what needs some."""

import contextlib
import logging
import os
import resource
from typing import Final

_LOGGER = logging.getLogger(__name__)

LOOP_DESCRIPTORS: Final = 16
"""More descriptors than an event loop opens before it runs."""


def require_loop_descriptors() -> None:
    """
    Raise OSError unless an event loop can be made.

    libuv aborts the process if it finds no descriptors for its first loop.
    """
    with contextlib.ExitStack() as stack:
        for _ in range(LOOP_DESCRIPTORS // 2):
            for descriptor in os.pipe():
                stack.callback(os.close, descriptor)


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
