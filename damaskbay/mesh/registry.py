"""Keeps the daemon's record in the store."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from random import Random

from damaskbay.helpers.arrivals import timeout_after_reading
from damaskbay.helpers.backoff import Backoff
from damaskbay.mesh.directory import MemberRecord
from damaskbay.mesh.records import encode_record
from damaskbay.ports.store import (
    Store,
    StoreConflict,
    StoreFailure,
    StoreProblem,
    epoch_of,
)

_LOGGER = logging.getLogger(__name__)

LEASE_S = 8.0
"""Time to live of a record, seconds; longer than a restart or a short outage."""

RENEW_INTERVAL_S = 2.5
"""Seconds between lease renewals; three fit into the lease."""

RETRY_DELAY_S = 0.4
"""First delay before a store request is retried, seconds."""

MAX_RETRY_DELAY_S = 1.5
"""Longest mean delay before a store request is retried, seconds.

A lost record must be back in the store within 2 s. Each refused request is priced, and
a store that refuses some daemons for a while got two to three from each per second.
"""

DRAIN_WRITE_TIMEOUT_S = 0.5
"""Timeout of the store write before a server's drain report is confirmed, seconds."""

REWRITES_PER_S = 150.0
"""
Records a second that all daemons together write after the store was restored.

Each takes two writes, for the lease and the record. That is three quarters of the 400
writes a second that the smallest store takes, and 300 daemons are done in 2 s.
"""


def rewrite_window_s(daemons: int) -> float:
    """Return over how long daemons spread the writes of their records, in seconds."""
    return daemons / REWRITES_PER_S


class Registration:
    """
    Writes the daemon's record under a lease whenever it has changed.

    `may_replace` returns whether a record may replace that of an earlier daemon start.

    When a new epoch of the store begins, lease and record are lost. All daemons notice
    that at about the same time, so that each waits for a random part of a window that
    grows with `fleet_size` before it writes.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        record: Callable[[], MemberRecord],
        may_replace: Callable[[MemberRecord], bool] = lambda _record: True,
        *,
        fleet_size: Callable[[], int] = lambda: 1,
        rng: Random | None = None,
    ) -> None:
        self._store = store
        self._key = key
        self._record = record
        self._may_replace = may_replace
        self._fleet_size = fleet_size
        self._rng = rng or Random()
        self._backoff = Backoff(RETRY_DELAY_S, MAX_RETRY_DELAY_S, self._rng)
        self._epoch = 0
        self._epoch_heard = 0
        self._must_wait = False
        self._is_rewriting = False
        self._lease = 0
        self._revision = 0
        self._written: MemberRecord | None = None
        self._changed = asyncio.Event()
        self._lock = asyncio.Lock()

    def schedule_write(self) -> None:
        """Wake `run` to write a changed record."""
        self._changed.set()

    def record_listing(self, is_listed: bool, revision: int) -> None:
        """
        Write again what the records of all daemons lack, as known up to a revision.

        Whether the lease of an earlier epoch is lost is left to the store.
        """
        epoch = epoch_of(revision)
        if epoch > self._epoch:
            self._hear_of_epoch(epoch)
        elif not is_listed and self._written is not None and revision > self._revision:
            _LOGGER.warning("registry: record is missing.", extra={"epoch": epoch})
            self._written = None
            self.schedule_write()

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
            if await self._renew():
                self._is_rewriting = self._must_wait
                self._backoff.reset()
                pause_s = RENEW_INTERVAL_S
            else:
                pause_s = self._retry_delay_s()
            try:
                async with asyncio.timeout(pause_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _retry_delay_s(self) -> float:
        """Return the delay before a retry, which keeps rewrites spread over time."""
        delay_s = self._backoff.next_delay_s()
        if not self._is_rewriting:
            return delay_s
        return max(delay_s, rewrite_window_s(self._fleet_size()))

    async def _renew(self) -> bool:
        self._changed.clear()
        if self._must_wait:
            await self._wait_in_window()
        lease = self._lease
        if lease:
            failure = await self._store.renew_lease(lease)
            if failure is not None:
                _LOGGER.warning(
                    "registry: lease is not renewed.",
                    extra={"why": failure.problem.value, "detail": failure.detail},
                )
                if failure.problem is not StoreProblem.NO_LEASE:
                    return False
                if lease == self._lease:
                    self._lease, self._written = 0, None
                self._hear_of_epoch(self._store.epoch)
                if self._must_wait:
                    await self._wait_in_window()
        return await self._write()

    def _hear_of_epoch(self, epoch: int) -> None:
        """Let `run` write the record again, once for each epoch after a write."""
        if epoch <= self._epoch_heard:
            return
        self._epoch_heard = epoch
        if self._revision:
            self._must_wait = self._is_rewriting = True
            self.schedule_write()

    async def _wait_in_window(self) -> None:
        """Wait for a random part of the window; a further change ends the wait."""
        self._must_wait = False
        self._changed.clear()
        delay_s = self._rng.uniform(0.0, rewrite_window_s(self._fleet_size()))
        _LOGGER.info(
            "registry: record of an earlier epoch is written again.",
            extra={"epoch": self._epoch_heard, "delay_s": round(delay_s, 3)},
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._changed.wait()

    def _forget_lost(self) -> None:
        """Forget a lease and a record of an earlier epoch."""
        if self._epoch < self._store.epoch:
            self._epoch = self._store.epoch
            self._epoch_heard = max(self._epoch_heard, self._epoch)
            self._lease, self._written = 0, None

    async def _write(self) -> bool:
        async with self._lock:
            self._forget_lost()
            if not self._lease:
                granted = await self._store.create_lease(LEASE_S)
                if isinstance(granted, StoreFailure):
                    return False
                self._forget_lost()
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
