"""A response that knows whether its connection ended in the middle of a line."""

import http.client
from typing import Any, BinaryIO, cast


class _WatchedFile:
    """Passes reads on and takes note of lines that the end of the stream cut."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self.line_cut = False

    def readline(self, limit: int = -1) -> bytes:
        """Read a line; one without its end was cut."""
        line = self._file.readline(limit)
        if not line.endswith(b"\n"):
            self.line_cut = True
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class WatchedResponse(http.client.HTTPResponse):
    """
    An HTTP response whose chunk sizes and trailer can be told from cut ones.

    `http.client` takes a size line or a trailer that the end of the connection
    cuts for a whole one, so that a cut body would pass for whole.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._watched = _WatchedFile(self.fp)
        self.fp = cast(Any, self._watched)

    @property
    def line_cut(self) -> bool:
        """Tell whether the connection ended inside a line."""
        return self._watched.line_cut
