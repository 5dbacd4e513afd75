"""The clock that leases and deadlines are kept by."""

import time
from collections.abc import Callable
from functools import partial
from typing import Final

monotonic_s: Final[Callable[[], float]] = partial(
    time.clock_gettime, time.CLOCK_BOOTTIME
)
"""Returns seconds that also run while the machine is suspended."""
