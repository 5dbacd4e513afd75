"""Restores of the soak's store from a snapshot that is seconds old."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from damaskbay.platform.const import CONFIG_KEY, MEMBER_PREFIX
from tests.platform.kv_stand_in import KvStandIn

FIRST_ERA = 1
VERSION_KNOWN_S = 2.0
"""Seconds in which a stored set reaches all daemons; a later one is not lost here."""


class Operator:
    """Writes sets into the store, and writes the last one again if it is lost."""

    def __init__(self, kv: KvStandIn) -> None:
        self._kv = kv
        self._document = b""
        self._withdrawn_at = float("-inf")
        self.published_at = float("-inf")

    async def publish(self, document: bytes, *, withdraws: bool = False) -> None:
        """Write a set; `withdraws` means that it lacks a key of the one before."""
        self._document, self.published_at = document, time.monotonic()
        if withdraws:
            self._withdrawn_at = self.published_at
        await self._kv.put(CONFIG_KEY, document)

    def withdrew_after(self, at: float) -> bool:
        """Return whether a withdrawal was written after a time."""
        return self._withdrawn_at > at

    async def write_again(self) -> None:
        """Write the last set again."""
        await self._kv.put(CONFIG_KEY, self._document)


class StoreRestores:
    """Restores a store again and again; it is unavailable for a moment before."""

    def __init__(
        self,
        kv: KvStandIn,
        operator: Operator,
        rng: random.Random,
        on_event: Callable[[str], None],
    ) -> None:
        self._kv = kv
        self._operator = operator
        self._rng = rng
        self._on_event = on_event
        kv.era = FIRST_ERA

    async def run(self, end: float) -> None:
        """Take a snapshot and restore it some seconds later, until a time."""
        while time.monotonic() < end:
            self._kv.snapshot()
            taken_at = time.monotonic()
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))
            while time.monotonic() - self._operator.published_at < VERSION_KNOWN_S:
                await asyncio.sleep(0.1)
            await self._restore(taken_at)
            await asyncio.sleep(self._rng.uniform(0.0, 3.0))

    async def _restore(self, taken_at: float) -> None:
        """
        Restore the snapshot; its leases end, or are those of no daemon any more.

        The operator soon writes a lost set again. A lost withdrawal is written again
        before the store is back: until then a daemon that starts, or was paused since
        before the withdrawal, has only its peers to learn it from.
        """
        kv, rng = self._kv, self._rng
        kv.faults.status = 503
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        await kv.restore()
        expires = rng.random() < 0.5
        self._on_event(f"store restored, expires={expires}")
        for lease in tuple(kv.leases) if expires else ():
            await kv.expire_lease(lease)
        if self._operator.withdrew_after(taken_at):
            await self._operator.write_again()
        kv.faults.status = None
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        await self._operator.write_again()

    def find_missing(self, instances: Sequence[str]) -> list[str]:
        """Return the instances whose record is not in the store."""
        return [
            name for name in instances if MEMBER_PREFIX + name not in self._kv.items
        ]
