"""Keeps the daemon's record in the store."""

import asyncio
import logging
from collections.abc import Callable

from damaskbay.helpers.arrivals import timeout_after_reading
from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.records import encode_record
from damaskbay.ports.store import (
    Store,
    StoreConflict,
    StoreFailure,
    StoreProblem,
)

_LOGGER = logging.getLogger(__name__)

LEASE_S = 8.0
"""Time to live of a record, seconds; longer than a restart or a short outage."""

RENEW_INTERVAL_S = 2.5
"""Seconds between lease renewals; three fit into the lease."""

RETRY_DELAY_S = 0.4
"""Delay before a store request is retried, seconds.

A lost record must be back in the store within 2 s.
"""

DRAIN_WRITE_TIMEOUT_S = 0.5
"""Timeout of the store write before a server's drain report is confirmed, seconds."""


class Registration:
    """
    Writes the daemon's record under a lease whenever it has changed.

    `may_replace` returns whether a record may replace that of an earlier daemon start.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        record: Callable[[], MemberRecord],
        may_replace: Callable[[MemberRecord], bool] = lambda _record: True,
    ) -> None:
        self._store = store
        self._key = key
        self._record = record
        self._may_replace = may_replace
        self._lease = 0
        self._revision = 0
        self._written: MemberRecord | None = None
        self._changed = asyncio.Event()
        self._lock = asyncio.Lock()

    def schedule_write(self) -> None:
        """Wake `run` to write a changed record."""
        self._changed.set()

    async def write_now(self, timeout_s: float) -> bool:
        """Write a changed record at once; return whether the store has it."""
        try:
            async with timeout_after_reading(timeout_s):
                return await self._write()
        except TimeoutError:
            self.schedule_write()
            return False

    async def run(self) -> None:
        """Renew the lease and write the record until cancelled."""
        while True:
            pause_s = RENEW_INTERVAL_S if await self._renew() else RETRY_DELAY_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _renew(self) -> bool:
        self._changed.clear()
        if self._lease:
            failure = await self._store.renew_lease(self._lease)
            if failure is not None:
                _LOGGER.warning(
                    "registry: lease is not renewed.",
                    extra={"why": failure.problem.value, "detail": failure.detail},
                )
                if failure.problem is not StoreProblem.NO_LEASE:
                    return False
                self._lease, self._written = 0, None
        return await self._write()

    async def _write(self) -> bool:
        async with self._lock:
            if not self._lease:
                granted = await self._store.create_lease(LEASE_S)
                if isinstance(granted, StoreFailure):
                    return False
                self._lease, self._written = granted, None
            record = self._record()
            if record == self._written:
                return True
            return await self._put(record)

    async def _put(self, record: MemberRecord) -> bool:
        """Write only over the last known revision, so that no delayed write wins."""
        for _ in range(2):
            outcome = await self._store.write(
                self._key,
                encode_record(record),
                expected=self._revision,
                lease=self._lease,
            )
            if isinstance(outcome, int):
                self._revision, self._written = outcome, record
                return True
            if isinstance(outcome, StoreConflict):
                if not self._may_replace(record):
                    return False
                self._revision = outcome.revision
                continue
            if outcome.problem is StoreProblem.NO_LEASE:
                self._lease = 0
            _LOGGER.warning(
                "registry: record is not written.",
                extra={"why": outcome.problem.value, "detail": outcome.detail},
            )
            return False
        return False
