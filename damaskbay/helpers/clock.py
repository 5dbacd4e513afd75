"""The clock that leases and deadlines are kept by."""

import time


def monotonic_s() -> float:
    """Return seconds that also run while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
