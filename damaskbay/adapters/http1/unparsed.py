"""Received bytes of a connection that wait to be parsed."""

from typing import Final

from damaskbay.core.memory_account import Holding, MemoryAccount

_HEAD_END: Final = b"\r\n\r\n"
"""End of a head, and of a body in chunks."""


def end_of_piece(data: bytes, start: int, body_bytes: int) -> int:
    """
    Return the end of the bytes from `start` on that complete few requests.

    These are at most the one that has begun before and the first one that follows.
    `body_bytes` is how much of a body is to come, 0 in a head and where that is
    unknown. In chunks a piece may end earlier than needed.
    """
    if body_bytes:
        return min(start + body_bytes, len(data))
    end = data.find(_HEAD_END, start) + len(_HEAD_END)
    if end < len(_HEAD_END) or data.find(_HEAD_END, end) < 0:
        return len(data)
    return end


class UnparsedBytes:
    """
    Received bytes, taken in pieces, see end_of_piece.

    What is left counts in `memory` from `count` on.
    """

    __slots__ = ("_data", "_holding", "_start")

    def __init__(self, memory: MemoryAccount) -> None:
        self._holding = Holding(memory)
        self._data = b""
        self._start = 0

    def __len__(self) -> int:
        return len(self._data) - self._start

    def add(self, data: bytes) -> None:
        """Add bytes that were read."""
        self._data = self._data[self._start :] + data if self._data else data
        self._start = 0

    def take(self, body_bytes: int) -> bytes:
        """Return the next piece, which is empty at the end."""
        data, start = self._data, self._start
        end = end_of_piece(data, start, body_bytes)
        if end < len(data):
            self._start = end
            return data[start:end]
        self.clear()
        return data[start:] if start else data

    def count(self) -> None:
        """Count what is left; all of it is kept until its last piece is taken."""
        self._holding.set(len(self._data))

    def clear(self) -> None:
        """Forget what is left."""
        self._data, self._start = b"", 0
        if self._holding.held_bytes:
            self._holding.release()
