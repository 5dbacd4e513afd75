"""Memory that is kept for the moment at which the process finds no other."""

import asyncio
import logging
import mmap
from collections.abc import Callable
from typing import Any, Final

from damaskbay.core.memory_account import MemoryAccount

_LOGGER = logging.getLogger(__name__)

RESERVE_BYTES: Final = 4 * 1024 * 1024
"""Address space of the reserve, and what has to be left beside it, bytes."""

CHECK_INTERVAL_S: Final = 0.05
"""Seconds between two looks at what is left."""


class MemoryReserve:
    """
    Address space that no one else gets; it occupies no memory.

    It is released when memory is missing, so that what runs can end, and new requests
    are refused until there is as much again. `on_change` is called each time.
    """

    def __init__(self, account: MemoryAccount, on_change: Callable[[], None]) -> None:
        self._account = account
        self._on_change = on_change
        self._block = _allocate()
        account.on_missing = self.release

    def release(self) -> None:
        """Give the reserve to what runs; memory is missing."""
        block, self._block = self._block, None
        if block is not None:
            block.close()
        if self._account.is_short:
            return
        self._account.is_short = True
        self._on_change()
        extra = {"held_bytes": self._account.held_bytes}
        _LOGGER.warning("daemon: memory is missing, requests are refused.", extra=extra)

    def check(self) -> None:
        """Release the reserve if nothing is left beside it; restore it later."""
        rest = _allocate()
        if rest is None:
            self.release()
            return
        if self._block is None:
            self._block = _allocate()
        rest.close()
        if self._account.is_short and self._block is not None:
            self._account.is_short = False
            self._on_change()
            _LOGGER.info("daemon: there is memory again.")

    def handle_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Handle an exception in a callback of the loop, see set_exception_handler."""
        if isinstance(context.get("exception"), MemoryError):
            self.release()
        loop.default_exception_handler(context)

    async def run(self) -> None:
        """Check until cancelled."""
        asyncio.get_running_loop().set_exception_handler(self.handle_exception)
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)


def _allocate() -> mmap.mmap | None:
    """Return a block of RESERVE_BYTES; None if there is none."""
    try:
        return mmap.mmap(-1, RESERVE_BYTES, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    except (MemoryError, OSError, ValueError):
        return None
