"""In-memory stand-in for the platform's key-value store, with fault injection."""

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


class _SharedState:
    """State that all clients of one stand-in share."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.changed = Condition()
        self.store = PlatformStore()
        self.meter = CallMeter()
        self.faults = Faults()


class MemoryPlatform:
    """
    A thread-safe implementation of ports.platform.Platform.

    `client(name)` returns another client of the same store; `inject` can cut off
    clients by name.
    """

    def __init__(
        self, *, clock: Callable[[], float] = monotonic_s, name: str = ""
    ) -> None:
        self._shared = _SharedState(clock)
        self.name = name

    def client(self, name: str) -> "MemoryPlatform":
        """Return a client of the same store with another name."""
        other = MemoryPlatform(name=name)
        other._shared = self._shared
        return other

    @property
    def faults(self) -> Faults:
        """Return the active faults."""
        return self._shared.faults

    @property
    def counters(self) -> Counters:
        """Return the live counters of the requests of all clients."""
        return self._shared.meter.counters

    def inject(self, **changes: Any) -> Faults:
        """Change faults by field name (see Faults); return the active faults."""
        with self._shared.changed:
            self._shared.faults = replace(self._shared.faults, **changes)
            self._shared.changed.notify_all()
            return self._shared.faults

    @contextmanager
    def fault(self, **changes: Any) -> Iterator[None]:
        """Inject faults for the duration of a `with` block."""
        before = self.faults
        self.inject(**changes)
        try:
            yield
        finally:
            self.inject(**{name: getattr(before, name) for name in changes})

    def get(self, key: str, *, timeout_s: float) -> Entry | PlatformFailure | None:
        """Return the entry, or None if there is none."""
        failure = self._faults_before_effect(CallKind.READ, timeout_s)
        if failure is not None:
            return failure
        with self._shared.changed:
            return self._shared.store.get(key, self._shared.clock())

    def list(
        self, prefix: str, *, timeout_s: float
    ) -> tuple[Entry, ...] | PlatformFailure:
        """Return all entries whose key starts with the prefix, in key order."""
        failure = self._faults_before_effect(CallKind.READ, timeout_s)
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
        """Write if the entry has the expected revision; 0 means absent."""
        failure = self._faults_before_effect(CallKind.WRITE, timeout_s)
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
        return self._faults_after_write(timeout_s) or result

    def delete(
        self, key: str, *, expected_revision: int, timeout_s: float
    ) -> Entry | Conflict | PlatformFailure | None:
        """Delete if the entry has the expected revision; return None if absent."""
        failure = self._faults_before_effect(CallKind.WRITE, timeout_s)
        if failure is not None:
            return failure
        with self._shared.changed:
            now = self._shared.clock()
            result = self._shared.store.delete(
                key, expected_revision=expected_revision, now=now
            )
            self._shared.changed.notify_all()
        return self._faults_after_write(timeout_s) or result

    def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> Entry | PlatformFailure | None:
        """Wait until the entry has a newer revision; return None after the timeout."""
        failure = self._faults_before_effect(CallKind.WATCH, timeout_s)
        if failure is not None:
            return failure
        deadline = time.monotonic() + timeout_s
        with self._shared.changed:
            self.counters.waiting += 1
            try:
                return self._wait(key, after_revision, deadline)
            finally:
                self.counters.waiting -= 1

    def _wait(
        self, key: str, after_revision: int, deadline: float
    ) -> Entry | PlatformFailure | None:
        """Wait for a newer entry; the caller holds the condition's lock."""
        while True:
            if self.faults.unreachable(self.name):
                return _unavailable("the platform became unreachable during the watch")
            entry = self._shared.store.get(key, self._shared.clock())
            if entry is not None and entry.revision > after_revision:
                return entry
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return None
            self._shared.changed.wait(remaining_s)

    def _faults_before_effect(
        self, kind: CallKind, timeout_s: float
    ) -> PlatformFailure | None:
        """Count the request; return the failure injected before its effect, or None."""
        with self._shared.changed:
            faults = self.faults
            if faults.unreachable(self.name):
                return _unavailable("outage")
            now = self._shared.clock()
            if self._shared.meter.exceeds_limit(kind, self.name, faults, now):
                return PlatformFailure(
                    PlatformProblem.BUSY, "request rate above the limit"
                )
            if kind is CallKind.WRITE and faults.drop_writes > 0:
                self._shared.faults = replace(
                    faults, drop_writes=faults.drop_writes - 1
                )
                return _reply_lost()
        if kind is CallKind.READ and faults.delay_s > 0:
            time.sleep(min(faults.delay_s, timeout_s))
            if faults.delay_s >= timeout_s:
                return _unavailable("no reply in time")
        return None

    def _faults_after_write(self, timeout_s: float) -> PlatformFailure | None:
        """Return the failure injected after the effect of a write, or None."""
        with self._shared.changed:
            faults = self.faults
            reply_lost = faults.lose_answers > 0
            if reply_lost:
                self._shared.faults = replace(
                    faults, lose_answers=faults.lose_answers - 1
                )
        if faults.delay_s > 0:
            time.sleep(min(faults.delay_s, timeout_s))
            reply_lost = reply_lost or faults.delay_s >= timeout_s
        return _reply_lost() if reply_lost else None


def _unavailable(detail: str) -> PlatformFailure:
    return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)


def _reply_lost() -> PlatformFailure:
    return PlatformFailure(PlatformProblem.ANSWER_LOST, "the reply was lost")
