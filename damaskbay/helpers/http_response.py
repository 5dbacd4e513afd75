"""A response with limits on its framing that detects truncated lines."""

import http.client
import io
import socket
from collections.abc import Callable
from typing import Any, BinaryIO, cast

from damaskbay.const import MAX_RESPONSE_OVERHEAD_BYTES, OVERHEAD_PER_BODY_BYTE
from damaskbay.core.http_status import is_final_status, is_interim_status


class ResponseOverheadError(http.client.HTTPException):
    """The head, framing or trailers of a response exceed the limit."""


class InvalidStatusError(http.client.HTTPException):
    """The status is neither a final nor an interim one of the protocol."""


class _DeadlineReader(io.RawIOBase):
    """Reads a socket; each read waits until the deadline at most."""

    def __init__(
        self, sock: socket.socket, deadline: float, clock: Callable[[], float]
    ) -> None:
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._deadline = deadline
        self._clock = clock

    def readable(self) -> bool:
        """Return True, as `io.BufferedReader` requires."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes into the buffer; raise TimeoutError at the deadline."""
        remaining_s = self._deadline - self._clock()
        if remaining_s <= 0.0:
            raise TimeoutError
        self._sock.settimeout(remaining_s)
        return self._raw.readinto(buffer)

    def close(self) -> None:
        """Close the file, and the socket if its connection has been closed."""
        self._raw.close()
        super().close()


class _CheckedFile:
    """File wrapper that limits the bytes in lines and detects a truncated line."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._line_bytes = 0
        self._body_bytes = 0
        self.line_truncated = False
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read a line; one without a line feed counts as truncated."""
        line = self._file.readline(limit)
        if not line.endswith(b"\n"):
            self.line_truncated = True
        self._line_bytes += len(line)
        self.last_line = line
        allowed = (
            MAX_RESPONSE_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * self._body_bytes
        )
        if self._line_bytes > allowed:
            raise ResponseOverheadError("head, framing or trailers exceed the limit")
        return line

    def read(self, size: int = -1) -> bytes:
        """Read and count bytes of the body."""
        data = self._file.read(size)
        self._body_bytes += len(data)
        return data

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class CheckedResponse(http.client.HTTPResponse):
    """
    HTTP response that limits its framing, and detects truncated chunk sizes.

    `http.client` accepts a size line or a trailer that is truncated by the end of
    the connection, so a truncated body would look complete. It also reads interim
    responses and trailers without end, passes on those other than 100 as well as
    statuses that the protocol doesn't have. Reading ends at `deadline` of `clock`.
    """

    def __init__(
        self,
        sock: socket.socket,
        *arguments: Any,
        deadline: float,
        clock: Callable[[], float],
        **options: Any,
    ) -> None:
        super().__init__(sock, *arguments, **options)
        self.fp.close()
        reader = io.BufferedReader(_DeadlineReader(sock, deadline, clock))
        self._checked_file = _CheckedFile(cast(BinaryIO, reader))
        self.fp = cast(Any, self._checked_file)

    @property
    def line_truncated(self) -> bool:
        """Return whether the connection ended inside a line."""
        return self._checked_file.line_truncated

    def _read_status(self) -> tuple[str, int, str]:
        """Read the next status line that isn't of an interim response, except 100."""
        while True:
            version, status, reason = super()._read_status()  # type: ignore[misc]
            _, _, text = self._checked_file.last_line.partition(b" ")
            digits = text.split(None, 1)[0]
            if not (len(digits) == 3 and digits.isdigit()):
                raise InvalidStatusError(f"status {digits!r}")
            if is_final_status(status) or status == http.HTTPStatus.CONTINUE:
                return version, status, reason
            if not is_interim_status(status):
                raise InvalidStatusError(f"status {status}")
            while self.fp.readline(MAX_RESPONSE_OVERHEAD_BYTES).strip():
                pass
