"""The clock for leases and deadlines."""

import time
from collections.abc import Callable
from functools import partial
from typing import Final

monotonic_s: Final[Callable[[], float]] = partial(
    time.clock_gettime, time.CLOCK_BOOTTIME
)
"""Return monotonic seconds, including time for which the machine is suspended."""
