"""The platform's key-value service inside this process, with fault switches."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from threading import Condition
from typing import Any

from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.platform import Conflict, Entry, PlatformFailure, PlatformProblem
from damaskbay.stand_ins.platform_faults import CallKind, CallMeter, Counters, Faults
from damaskbay.stand_ins.platform_store import PlatformStore


class _Shared:
    """What all clients of one stand-in have in common."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.changed = Condition()
        self.store = PlatformStore()
        self.meter = CallMeter()
        self.faults = Faults()


class MemoryPlatform:
    """
    Implements ports.platform.Platform; safe from any thread.

    `client(name)` gives another client of the same store, which `inject` can
    cut off by name.
    """

    def __init__(
        self, *, clock: Callable[[], float] = monotonic_s, name: str = ""
    ) -> None:
        self._shared = _Shared(clock)
        self.name = name

    def client(self, name: str) -> "MemoryPlatform":
        """Return a client of the same store under a name of its own."""
        other = MemoryPlatform(name=name)
        other._shared = self._shared
        return other

    @property
    def faults(self) -> Faults:
        """Return the faults that hold now."""
        return self._shared.faults

    @property
    def counters(self) -> Counters:
        """Return the live counters of calls by all clients."""
        return self._shared.meter.counters

    def inject(self, **changes: Any) -> Faults:
        """Change fault switches by name (see Faults) and return what holds now."""
        with self._shared.changed:
            self._shared.faults = replace(self._shared.faults, **changes)
            self._shared.changed.notify_all()
            return self._shared.faults

    @contextmanager
    def fault(self, **changes: Any) -> Iterator[None]:
        """Hold faults for the length of a `with` block."""
        before = self.faults
        self.inject(**changes)
        try:
            yield
        finally:
            self.inject(**{name: getattr(before, name) for name in changes})

    def get(self, key: str, *, timeout_s: float) -> Entry | PlatformFailure | None:
        """Return the entry, or None where there is none."""
        failure = self._begin(CallKind.READ, timeout_s)
        if failure is not None:
            return failure
        with self._shared.changed:
            return self._shared.store.get(key, self._shared.clock())

    def list(
        self, prefix: str, *, timeout_s: float
    ) -> tuple[Entry, ...] | PlatformFailure:
        """Return all entries whose key starts with the prefix, in key order."""
        failure = self._begin(CallKind.READ, timeout_s)
        if failure is not None:
            return failure
        with self._shared.changed:
            return self._shared.store.list(prefix, self._shared.clock())

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None = None,
        timeout_s: float,
    ) -> Entry | Conflict | PlatformFailure:
        """Write if the entry's revision is the expected one; 0 means absent."""
        failure = self._begin(CallKind.WRITE, timeout_s)
        if failure is not None:
            return failure
        with self._shared.changed:
            result = self._shared.store.compare_and_swap(
                key,
                value,
                expected_revision=expected_revision,
                lease_s=lease_s,
                now=self._shared.clock(),
            )
            self._shared.changed.notify_all()
        return self._end_write(timeout_s) or result

    def delete(
        self, key: str, *, expected_revision: int, timeout_s: float
    ) -> Entry | Conflict | PlatformFailure | None:
        """Delete if the entry's revision is the expected one."""
        failure = self._begin(CallKind.WRITE, timeout_s)
        if failure is not None:
            return failure
        with self._shared.changed:
            now = self._shared.clock()
            result = self._shared.store.delete(
                key, expected_revision=expected_revision, now=now
            )
            self._shared.changed.notify_all()
        return self._end_write(timeout_s) or result

    def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> Entry | PlatformFailure | None:
        """Wait until the entry's revision exceeds the given one; None: time is up."""
        failure = self._begin(CallKind.WATCH, timeout_s)
        if failure is not None:
            return failure
        give_up_at = time.monotonic() + timeout_s
        with self._shared.changed:
            self.counters.waiting += 1
            try:
                return self._wait(key, after_revision, give_up_at)
            finally:
                self.counters.waiting -= 1

    def _wait(
        self, key: str, after_revision: int, give_up_at: float
    ) -> Entry | PlatformFailure | None:
        """Wait for a newer entry with the condition held."""
        while True:
            if self.faults.unreachable(self.name):
                return _unavailable("the watch ended")
            entry = self._shared.store.get(key, self._shared.clock())
            if entry is not None and entry.revision > after_revision:
                return entry
            left_s = give_up_at - time.monotonic()
            if left_s <= 0:
                return None
            self._shared.changed.wait(left_s)

    def _begin(self, kind: CallKind, timeout_s: float) -> PlatformFailure | None:
        """Count the call and bring about the faults that come before its effect."""
        with self._shared.changed:
            faults = self.faults
            if faults.unreachable(self.name):
                return _unavailable("outage")
            now = self._shared.clock()
            if self._shared.meter.busy(kind, self.name, faults, now):
                return PlatformFailure(PlatformProblem.BUSY, "above the call rate")
            if kind is CallKind.WRITE and faults.drop_writes > 0:
                self._shared.faults = replace(
                    faults, drop_writes=faults.drop_writes - 1
                )
                return _answer_lost()
        if kind is CallKind.READ and faults.delay_s > 0:
            time.sleep(min(faults.delay_s, timeout_s))
            if faults.delay_s >= timeout_s:
                return _unavailable("no answer in time")
        return None

    def _end_write(self, timeout_s: float) -> PlatformFailure | None:
        """Bring about the faults that come after the effect of a write."""
        with self._shared.changed:
            faults = self.faults
            lost = faults.lose_answers > 0
            if lost:
                self._shared.faults = replace(
                    faults, lose_answers=faults.lose_answers - 1
                )
        if faults.delay_s > 0:
            time.sleep(min(faults.delay_s, timeout_s))
            lost = lost or faults.delay_s >= timeout_s
        return _answer_lost() if lost else None


def _unavailable(detail: str) -> PlatformFailure:
    return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)


def _answer_lost() -> PlatformFailure:
    return PlatformFailure(PlatformProblem.ANSWER_LOST, "the answer was lost")
