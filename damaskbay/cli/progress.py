"""A progress counter for long commands on a terminal."""

import sys
from types import TracebackType
from typing import Self, TextIO

UPDATE_INTERVAL = 10


class Progress:
    """
    Shows a count on one line of a terminal; prints nothing to other streams.

    Use it as a context manager and call it with the current count.
    """

    def __init__(self, title: str, stream: TextIO | None = None) -> None:
        self._title = title
        self._stream = stream or sys.stderr
        self._shown = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._shown:
            self._stream.write("\n")

    def __call__(self, count: int) -> None:
        """Show the count if it is a multiple of UPDATE_INTERVAL."""
        if count % UPDATE_INTERVAL or not self._stream.isatty():
            return
        self._shown = True
        self._stream.write(f"\r{self._title}: {count}")
        self._stream.flush()
