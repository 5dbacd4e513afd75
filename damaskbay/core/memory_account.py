"""Account of the memory that a daemon holds for requests and responses."""

import sys
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

BODY_COPIES: Final = 2
"""Copies of a body at a time: its parts are joined, and it is encoded to be sent on."""

HEADER_BYTES: Final = 200
"""What a header occupies beside its text, in bytes: a tuple and two strings."""

REQUEST_BYTES: Final = 4096
"""What a request occupies beside its text while it is served: a task, and frames."""

ADMISSION_SHARE: Final = 0.9
"""Part of the limit for requests that begin; the rest is for running ones."""

SCARCE_SHARE: Final = 0.5
"""
Part of the limit from which memory is scarce.

Callers that pipeline requests, or neither send nor read on, then have to make room, so
that ordinary calls, which are admitted up to ADMISSION_SHARE, still find some.
"""

LARGE_BODIES_SHARE: Final = 0.7
"""
Part of the limit for large bodies and heads that are received.

It is below ADMISSION_SHARE, as otherwise those that never end keep all others out.
"""

ALONE_SHARE: Final = 0.15
"""
Part of the limit below which others don't keep a large body from ADMISSION_SHARE.

A process of 300 MB takes a body of 64 MB then.
"""

BASE_MEMORY_BYTES: Final = 64 * 1024 * 1024
"""Memory of the process without requests and responses, bytes."""

SMALL_BYTES: Final = 64 * 1024
"""Largest body that is received while little memory is left: of nested calls."""

ACCOUNT_SHARE: Final = 0.75
"""Part of the remaining memory for requests and responses; allocators need the rest."""

STATUS_SHARE: Final = 0.1
"""Memory for requests at the status servers, as a part of that for calls."""

MAX_STATUS_BYTES: Final = 8 * 1024 * 1024
"""Limit of that memory, bytes."""

MIN_ACCOUNT_SHARE: Final = 0.125
"""Part of a small process's memory for requests and responses."""


class MemoryAccount:
    """
    Bytes that all requests and responses in the daemon occupy together.

    It counts what is held for callers, backend servers and peers: requests and
    responses that are being received, run, or wait to be read. While the process
    `is_short` of memory, large bodies and root calls are refused whatever is counted.
    Who catches a MemoryError calls `on_missing`. Not thread-safe.
    """

    def __init__(self, limit_bytes: int = sys.maxsize) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.is_short = False
        self.on_missing: Callable[[], None] = _do_nothing

    @property
    def is_scarce(self) -> bool:
        """Return whether callers that occupy memory for long have to make room."""
        return self.is_short or self.held_bytes > SCARCE_SHARE * self.limit_bytes

    def is_scarce_beside(self, own_bytes: int) -> bool:
        """Return the same for a holder; one that is alone keeps out nobody."""
        others_bytes = self.held_bytes - own_bytes
        is_alone = others_bytes <= ALONE_SHARE * self.limit_bytes
        return self.is_short or (self.is_scarce and not is_alone)

    def takes(self, count: int, body_bytes: int, own_bytes: int = 0) -> bool:
        """
        Return whether so many bytes of a body, or a head, may be received.

        `body_bytes` is its size as far as it is known, `own_bytes` what its request
        holds already. Small ones, as of nested calls, get all that is left; others
        leave room for what runs, and for calls that begin.
        """
        if body_bytes <= SMALL_BYTES:
            return self.fits(count)
        if self.is_short:
            return False
        if self.held_bytes - own_bytes <= ALONE_SHARE * self.limit_bytes:
            return self._has_room(count)
        return self.held_bytes + count <= LARGE_BODIES_SHARE * self.limit_bytes

    def fits(self, count: int) -> bool:
        """Return whether there is room for so many bytes."""
        return self.held_bytes + count <= self.limit_bytes

    def admits(self, count: int, *, nested: bool) -> bool:
        """
        Return whether a call may start that is expected to hold so many bytes.

        Without its nested calls a running call fails, so they get all that is left.
        """
        if nested:
            return self.fits(count)
        return not self.is_short and self._has_room(count)

    def _has_room(self, count: int) -> bool:
        return self.held_bytes + count <= ADMISSION_SHARE * self.limit_bytes


class Holding:
    """
    What one holder has in the account; a context manager that releases it.

    A holder that is refused more bytes has to give up its request or response.
    """

    __slots__ = ("_account", "held_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.held_bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def grow(self, count: int) -> bool:
        """Hold more bytes; return False, holding no more, if they do not fit."""
        account = self._account
        if account.held_bytes + count > account.limit_bytes:
            return False
        account.held_bytes += count
        self.held_bytes += count
        return True

    def set(self, count: int) -> None:
        """Hold so many bytes in all, which exist in any case."""
        self._account.held_bytes += count - self.held_bytes
        self.held_bytes = count

    def release(self) -> None:
        """Hold nothing any more."""
        self.set(0)


class WriteBufferHolding:
    """
    What the write buffer of a connection has in the account.

    A buffer keeps what was written as whole objects: one that the kernel has taken a
    part of still occupies all of its bytes.
    """

    __slots__ = ("_holding", "_sizes")

    def __init__(self, account: MemoryAccount) -> None:
        self._holding = Holding(account)
        self._sizes: deque[int] = deque()

    def written(self, size_bytes: int, buffered_bytes: int) -> None:
        """Count what was written, of which `buffered_bytes` in all wait now."""
        self._sizes.append(size_bytes)
        self._holding.set(self._holding.held_bytes + size_bytes)
        self.update(buffered_bytes)

    def update(self, buffered_bytes: int) -> None:
        """Count only what is still needed for the bytes that wait now."""
        sizes, held_bytes = self._sizes, self._holding.held_bytes
        while sizes and held_bytes - sizes[0] >= buffered_bytes:
            held_bytes -= sizes.popleft()
        self._holding.set(held_bytes)

    def release(self) -> None:
        """Count nothing any more."""
        self._sizes.clear()
        self._holding.release()


def _do_nothing() -> None:
    """Stand for a callback."""


def header_bytes(name: bytes, value: bytes) -> int:
    """Return what a header occupies, in bytes."""
    return HEADER_BYTES + len(name) + len(value)


def status_limit_bytes(limit_bytes: int) -> int:
    """Return the memory for requests at the status servers, beside `limit_bytes`."""
    return min(MAX_STATUS_BYTES, int(STATUS_SHARE * limit_bytes))


def account_limit_bytes(memory_bytes: int) -> int:
    """Return the memory for requests and responses in a process of `memory_bytes`."""
    free_bytes = memory_bytes - BASE_MEMORY_BYTES
    return int(max(MIN_ACCOUNT_SHARE * memory_bytes, ACCOUNT_SHARE * free_bytes))
