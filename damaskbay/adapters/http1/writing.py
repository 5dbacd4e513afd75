"""What a connection writes, and whether its caller reads it."""

import asyncio
import select

from damaskbay.adapters.http1.sockets import ready_descriptors
from damaskbay.core.memory_account import MemoryAccount, WriteBufferHolding


class WritingControl:
    """
    Writes to one connection; what the kernel has not taken counts in `memory`.

    It `is_paused` while the caller reads too slowly for more to be written.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self._transport: asyncio.Transport | None = None
        self._written = WriteBufferHolding(memory)
        self._paused_since = 0.0
        self.is_paused = False
        self._unsent_at_check = 0

    def start(self, transport: asyncio.Transport) -> None:
        """Control the transport of a connection that was made."""
        self._transport = transport

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def pause(self, now: float) -> None:
        """Record that the write buffer is full."""
        self.is_paused = True
        self._paused_since = now

    def resume(self) -> None:
        """Record that the write buffer has drained."""
        self.is_paused = False
        self.count()

    def write(self, data: bytes) -> None:
        """Write to the connection and count what it buffers."""
        transport = self._transport
        if transport is not None:
            transport.write(data)
            self._written.written(len(data), transport.get_write_buffer_size())

    def count(self) -> int:
        """Count, and return, the written bytes that the kernel has not taken yet."""
        unsent_bytes = self.unsent_bytes
        self._written.update(unsent_bytes)
        return unsent_bytes

    def is_stalled(self, now: float, limit_s: float) -> bool:
        """Return whether the caller has read nothing for so long."""
        if self._transport is None or not self.is_paused:
            return False
        unsent_bytes = self.unsent_bytes
        if unsent_bytes < self._unsent_at_check or self._is_writable():
            self._paused_since = now
        self._unsent_at_check = unsent_bytes
        return now - self._paused_since > limit_s

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
