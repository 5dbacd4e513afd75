"""What a connection writes, and whether its caller reads it."""

import asyncio
import select

from damaskbay.adapters.http1.sockets import ready_descriptors
from damaskbay.core.memory_account import MemoryAccount, WriteBufferHolding
from damaskbay.helpers.clock import monotonic_s


class WritingControl:
    """
    Writes to one connection; what the kernel has not taken counts in `memory`.

    It `is_paused` while the caller reads too slowly for more to be written.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self._transport: asyncio.Transport | None = None
        self._written = WriteBufferHolding(memory)
        self._written_bytes = self._taken_at_check = 0
        self._stalled_since = 0.0
        self.is_paused = False

    def start(self, transport: asyncio.Transport) -> None:
        """Control the transport of a connection that was made."""
        self._transport = transport
        self._stalled_since = monotonic_s()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def pause(self) -> None:
        """Record that the write buffer is full."""
        self.is_paused = True

    def resume(self) -> None:
        """Record that the write buffer has drained."""
        self.is_paused = False
        self.count()

    def write(self, data: bytes) -> None:
        """Write to the connection and count what it buffers."""
        transport = self._transport
        if transport is not None:
            transport.write(data)
            self._written_bytes += len(data)
            self._written.written(len(data), transport.get_write_buffer_size())

    def count(self) -> int:
        """Count, and return, the written bytes that the kernel has not taken yet."""
        unsent_bytes = self.unsent_bytes
        self._written.update(unsent_bytes)
        return unsent_bytes

    def is_stalled(self, now: float, limit_s: float) -> bool:
        """
        Return whether the caller has read nothing for so long.

        Responses may wait that are too short to fill the write buffer.
        """
        unsent_bytes = self.unsent_bytes
        taken_bytes = self._written_bytes - unsent_bytes
        progresses = taken_bytes > self._taken_at_check or self._is_writable()
        if progresses or not unsent_bytes:
            self._stalled_since = now
        self._taken_at_check = taken_bytes
        return now - self._stalled_since > limit_s

    def close(self) -> None:
        """Count nothing any more."""
        self._transport = None
        self._written.release()

    def _is_writable(self) -> bool:
        """Return whether the event loop has yet to write what it can."""
        if self._transport is None or self._transport.is_closing():
            return False
        descriptor = self._transport.get_extra_info("socket").fileno()
        return bool(ready_descriptors([descriptor], select.POLLOUT))
