"""Keeps the daemon's record in the store, and watches the records of its peers."""

import asyncio
import logging
from collections.abc import Callable

from damaskbay.mesh.directory import Directory, MemberRecord
from damaskbay.mesh.records import decode_record, encode_record
from damaskbay.ports.store import (
    Store,
    StoreConflict,
    StoreFailure,
    StoreItem,
    StoreProblem,
    StoreSnapshot,
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

WATCH_TIMEOUT_S = 20.0
"""Timeout of a watch on the records, seconds; a change ends it sooner."""

CHANGE_BATCH_DELAY_S = 2.0
"""Delay from a change to the next watch, seconds; notes announce daemons sooner."""

EXPIRY_INTERVAL_S = 1.0
"""Seconds between checks for daemons that have failed."""


class Registration:
    """Writes the daemon's record under a lease whenever it has changed."""

    def __init__(
        self, store: Store, key: str, record: Callable[[], MemberRecord]
    ) -> None:
        self._store = store
        self._key = key
        self._record = record
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
            async with asyncio.timeout(timeout_s):
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


class MemberWatch:
    """Watches the records of all daemons."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        directory: Directory,
        *,
        on_change: Callable[[], None],
        instance: str,
        on_local_record: Callable[[MemberRecord], None],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._directory = directory
        self._on_change = on_change
        self._instance = instance
        self._on_local_record = on_local_record
        self.has_read = False
        self._clock = clock

    async def run(self) -> None:
        """Read the records, then watch them, until cancelled."""
        while True:
            reading = await self._store.read(self._prefix)
            if isinstance(reading, StoreFailure):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            now = self._clock()
            found = [decode_record(item.value or b"") for item in reading.items]
            records = [record for record in found if record is not None]
            for record in records:
                if record.instance == self._instance:
                    self._on_local_record(record)
            self._directory.replace_listing(records, now)
            self.has_read = True
            self._on_change()
            await self._watch_changes(reading.revision)

    async def _watch_changes(self, revision: int) -> None:
        """Apply changes until the store has dropped the history that is needed."""
        while True:
            outcome = await self._store.watch(
                self._prefix, after=revision, wait_s=WATCH_TIMEOUT_S
            )
            if isinstance(outcome, StoreSnapshot):
                revision = max(revision, outcome.revision)
                for item in outcome.items:
                    self._apply_change(item)
                if outcome.items:
                    self._on_change()
                    await asyncio.sleep(CHANGE_BATCH_DELAY_S)
                continue
            _LOGGER.info(
                "registry: watch has ended.",
                extra={"why": outcome.problem.value, "detail": outcome.detail},
            )
            await asyncio.sleep(RETRY_DELAY_S)
            if outcome.problem is StoreProblem.COMPACTED:
                return

    def _apply_change(self, item: StoreItem) -> None:
        now = self._clock()
        if item.value is None:
            self._directory.mark_unlisted(item.key.removeprefix(self._prefix), now)
            return
        record = decode_record(item.value)
        if record is None:
            _LOGGER.warning("registry: record is not read.", extra={"key": item.key})
            return
        self._directory.put(record, now)
