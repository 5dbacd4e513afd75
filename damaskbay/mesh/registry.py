"""Keeps the daemon's record in the store, and follows those of the others."""

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
    StoreReading,
)

_LOGGER = logging.getLogger(__name__)

LEASE_S = 8.0
"""Time to live of a record, seconds: longer than a restart or a short outage."""

KEEP_S = 2.5
"""Seconds between renewals: three fit into the lease."""

RETRY_S = 0.4
"""Seconds before a failed store call is tried again: records return within 2 s."""

WATCH_S = 20.0
"""Longest wait of a watch on the records, seconds; changes end it sooner."""

COLLECT_S = 2.0
"""Seconds after a change before the next watch: notes tell of new daemons sooner."""

FORGET_S = 1.0
"""Seconds between looks for daemons that are gone."""


class Registration:
    """Writes the own record under a lease, again whenever it has changed."""

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

    def changed(self) -> None:
        """Have the record written anew soon."""
        self._changed.set()

    async def write_now(self, timeout_s: float) -> bool:
        """Write a changed record at once; return whether it stands in the store."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._write()
        except TimeoutError:
            self.changed()
            return False

    async def run(self) -> None:
        """Keep the record until cancelled."""
        while True:
            pause_s = KEEP_S if await self._renew() else RETRY_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _renew(self) -> bool:
        self._changed.clear()
        if self._lease:
            failure = await self._store.keep(self._lease)
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
                granted = await self._store.grant(LEASE_S)
                if isinstance(granted, StoreFailure):
                    return False
                self._lease, self._written = granted, None
            record = self._record()
            if record == self._written:
                return True
            return await self._put(record)

    async def _put(self, record: MemberRecord) -> bool:
        """Write on condition of the last known revision, so that no late write wins."""
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
    """Follows the records of all daemons."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        directory: Directory,
        *,
        on_change: Callable[[], None],
        own: str,
        on_own: Callable[[MemberRecord], None],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._directory = directory
        self._on_change = on_change
        self._own = own
        self._on_own = on_own
        self.has_read = False
        self._clock = clock

    async def run(self) -> None:
        """Read, then watch, again and again until cancelled."""
        while True:
            reading = await self._store.read(self._prefix)
            if isinstance(reading, StoreFailure):
                await asyncio.sleep(RETRY_S)
                continue
            now = self._clock()
            found = [decode_record(item.value or b"") for item in reading.items]
            records = [record for record in found if record is not None]
            for record in records:
                if record.instance == self._own:
                    self._on_own(record)
            self._directory.listed(records, now)
            self.has_read = True
            self._on_change()
            await self._follow(reading.revision)

    async def _follow(self, revision: int) -> None:
        """Watch until the history is lost."""
        while True:
            outcome = await self._store.watch(
                self._prefix, after=revision, wait_s=WATCH_S
            )
            if isinstance(outcome, StoreReading):
                revision = max(revision, outcome.revision)
                for item in outcome.items:
                    self._take(item)
                if outcome.items:
                    self._on_change()
                    await asyncio.sleep(COLLECT_S)
                continue
            _LOGGER.info(
                "registry: watch has ended.",
                extra={"why": outcome.problem.value, "detail": outcome.detail},
            )
            await asyncio.sleep(RETRY_S)
            if outcome.problem is StoreProblem.COMPACTED:
                return

    def _take(self, item: StoreItem) -> None:
        now = self._clock()
        if item.value is None:
            self._directory.unlisted(item.key.removeprefix(self._prefix), now)
            return
        record = decode_record(item.value)
        if record is None:
            _LOGGER.warning("registry: record is not read.", extra={"key": item.key})
            return
        self._directory.put(record, now)
