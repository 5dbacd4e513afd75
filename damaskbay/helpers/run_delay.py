"""How long a thread has waited for a processor, as the Linux scheduler counts it."""

import contextlib
import os
from pathlib import Path
from types import TracebackType
from typing import Final, Self

SCHEDSTAT_PATH: Final = Path("/proc/thread-self/schedstat")
"""Nanoseconds run, nanoseconds waited, and time slices of the thread that opens it."""

MAX_BYTES: Final = 128
NS_PER_S: Final = 1e9


class RunDelay:
    """
    Reads the run delay of the thread that creates it; a context manager.

    Not every kernel counts it.
    """

    def __init__(self, path: Path = SCHEDSTAT_PATH) -> None:
        self._descriptor: int | None = None
        with contextlib.suppress(OSError):
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the file; nothing is counted any more."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def read_s(self) -> float | None:
        """Return the seconds for which the thread was ready to run but didn't."""
        if self._descriptor is None:
            return None
        try:
            _, waited_ns, *_ = os.pread(self._descriptor, MAX_BYTES, 0).split()
            return int(waited_ns) / NS_PER_S
        except (OSError, ValueError):
            self.close()
            return None
