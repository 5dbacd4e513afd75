"""The descriptors of this process: their limit, and those of the standard streams."""

import contextlib
import logging
import os
import resource
from typing import Final

_LOGGER = logging.getLogger(__name__)

STANDARD_DESCRIPTORS: Final = 3
"""Descriptors of the standard streams: the lowest ones."""

LOOP_DESCRIPTORS: Final = 16
"""More descriptors than an event loop opens before it runs."""


def open_standard_descriptors() -> None:
    """
    Open the descriptors of standard streams that are closed, on the null device.

    Otherwise a socket gets the number of one, and libuv aborts the process when it
    closes it.
    """
    for descriptor in range(STANDARD_DESCRIPTORS):
        try:
            os.fstat(descriptor)
        except OSError:
            try:
                # The system takes the lowest number that is free.
                os.open(os.devnull, os.O_RDWR)
            except OSError as error:
                extra = {"why": str(error), "descriptor": descriptor}
                _LOGGER.warning("daemon: standard stream is closed.", extra=extra)


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
