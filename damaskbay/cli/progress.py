"""Show how far long work has come, where a person is watching."""

import sys
from types import TracebackType
from typing import Self, TextIO

SHOWN_EVERY = 10


class Progress:
    """
    Counts on one line of a terminal; silent elsewhere.

    Entered as a context manager; call it with the count so far.
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
        """Show the count now and then."""
        if count % SHOWN_EVERY or not self._stream.isatty():
            return
        self._shown = True
        self._stream.write(f"\r{self._title}: {count}")
        self._stream.flush()
