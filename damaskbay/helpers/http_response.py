"""A response that detects a connection that ended in the middle of a line."""

import http.client
from typing import Any, BinaryIO, cast


class _TruncationDetectingFile:
    """File wrapper that records whether the stream ended inside a line."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self.line_truncated = False

    def readline(self, limit: int = -1) -> bytes:
        """Read a line; one without a line feed counts as truncated."""
        line = self._file.readline(limit)
        if not line.endswith(b"\n"):
            self.line_truncated = True
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class TruncationDetectingResponse(http.client.HTTPResponse):
    """
    HTTP response that detects truncated chunk size lines and trailers.

    `http.client` accepts a size line or a trailer that is truncated by the end of
    the connection, so a truncated body would look complete.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._detecting_file = _TruncationDetectingFile(self.fp)
        self.fp = cast(Any, self._detecting_file)

    @property
    def line_truncated(self) -> bool:
        """Return whether the connection ended inside a line."""
        return self._detecting_file.line_truncated
