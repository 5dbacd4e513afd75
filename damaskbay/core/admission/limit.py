"""Concurrency limits of a backend server, learned from its latency."""

from dataclasses import dataclass
from math import sqrt
from typing import Protocol

from damaskbay.core.admission.const import (
    CUT_HELPED_SHARE,
    CUT_LARGEST_SHARE,
    FAILED_CUT_SHARE,
    FAILED_SHARE,
    LATENCY_DRIFT_SHARE,
    LATENCY_TOLERANCE,
    LIMIT_LOWEST,
    LIMIT_START_SHARE,
    LIMIT_WINDOW_S,
    LIMIT_WINDOW_SAMPLES,
)


@dataclass(frozen=True, slots=True)
class Sample:
    """
    How one admitted call went at the backend server, in seconds.

    `nested_s` is the part of the latency spent waiting for nested calls. A call
    that was cancelled says nothing about the server.
    """

    latency_s: float
    succeeded: bool = True
    cancelled: bool = False
    nested_s: float = 0.0

    @property
    def own_s(self) -> float:
        """Return the latency without that of nested calls."""
        return max(0.0, self.latency_s - self.nested_s)


class ConcurrencyLimit(Protocol):
    """Says how many calls may run at once."""

    def value(self) -> int:
        """Return the limit, 1 up to the slots."""
        ...

    def set_slots(self, slots: int) -> None:
        """Change the ceiling."""
        ...

    def observe(self, sample: Sample, running: int, now: float) -> None:
        """Learn from a call that has ended; `running` counted it."""
        ...


class FixedLimit:
    """Always the slots."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def value(self) -> int:
        """Return the slots."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Change the slots."""
        self._slots = slots

    def observe(self, sample: Sample, running: int, now: float) -> None:
        """Learn nothing."""


@dataclass(slots=True)
class _Window:
    """Samples of calls that all started under the present limit."""

    since: float
    count: int = 0
    failed: int = 0
    total_s: float = 0.0
    most_running: int = 0

    def add(self, sample: Sample, running: int, now: float) -> None:
        if now - sample.latency_s < self.since:
            return
        self.count += 1
        self.failed += 0 if sample.succeeded else 1
        self.total_s += sample.own_s
        self.most_running = max(self.most_running, running)

    def complete(self, now: float) -> bool:
        enough = self.count >= LIMIT_WINDOW_SAMPLES
        return enough and now - self.since >= LIMIT_WINDOW_S

    @property
    def mean_s(self) -> float:
        return self.total_s / self.count

    @property
    def fails(self) -> bool:
        return self.failed > FAILED_SHARE * self.count


class _LearnedLimit:
    """What the learned limits share: ceiling, start, windows."""

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        self._limit = max(float(LIMIT_LOWEST), slots * LIMIT_START_SHARE)
        self._window = _Window(now)

    def value(self) -> int:
        """Return the limit, 1 up to the slots."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Change the ceiling; a limit below it stays."""
        self._slots = slots
        self._set(self._limit)

    def observe(self, sample: Sample, running: int, now: float) -> None:
        """Learn from a call that has ended; `running` counted it."""
        if sample.cancelled:
            return
        self._window.add(sample, running, now)
        if self._window.complete(now):
            window = self._window
            self._window = _Window(now)
            self._learn(window)

    def _learn(self, window: _Window) -> None:
        raise NotImplementedError

    def _set(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(float(LIMIT_LOWEST), limit))

    def _used(self, window: _Window) -> bool:
        return window.most_running >= int(self._limit)


class GradientLimit(_LearnedLimit):
    """
    Cuts by how far latency stands above its baseline, and undoes useless cuts.

    A cut after which latency stays where it was did not help: the server is slow
    for another reason, so the limit goes back and the baseline moves.
    """

    def __init__(self, slots: int, now: float) -> None:
        super().__init__(slots, now)
        self._baseline_s = 0.0
        self._cut_from = 0.0
        self._cut_at_s = 0.0
        self._slow_start = True

    def _learn(self, window: _Window) -> None:
        mean_s = window.mean_s
        if not self._baseline_s:
            self._baseline_s = mean_s
        slow = mean_s > LATENCY_TOLERANCE * self._baseline_s
        if window.fails:
            self._slow_start = False
            self._set(self._limit * FAILED_CUT_SHARE)
        elif slow and self._cut_from and mean_s > CUT_HELPED_SHARE * self._cut_at_s:
            self._undo(mean_s)
        elif slow:
            self._cut(mean_s)
        else:
            self._cut_from = 0.0
            self._raise(window)
        self._follow(mean_s)

    def _cut(self, mean_s: float) -> None:
        self._slow_start = False
        self._cut_from = self._limit
        self._cut_at_s = mean_s
        share = LATENCY_TOLERANCE * self._baseline_s / mean_s
        self._set(self._limit * max(CUT_LARGEST_SHARE, share))

    def _undo(self, mean_s: float) -> None:
        self._set(self._cut_from)
        self._baseline_s = mean_s
        self._cut_from = 0.0

    def _raise(self, window: _Window) -> None:
        if not self._used(window):
            return
        step = self._limit if self._slow_start else max(1.0, sqrt(self._limit))
        self._set(self._limit + step)

    def _follow(self, mean_s: float) -> None:
        if mean_s < self._baseline_s:
            self._baseline_s = (self._baseline_s + mean_s) / 2
        else:
            self._baseline_s += LATENCY_DRIFT_SHARE * (mean_s - self._baseline_s)


class AimdLimit(_LearnedLimit):
    """Adds one per window, and cuts by a fixed share on failures or slowness."""

    def __init__(self, slots: int, now: float) -> None:
        super().__init__(slots, now)
        self._lowest_s = 0.0

    def _learn(self, window: _Window) -> None:
        if not self._lowest_s or window.mean_s < self._lowest_s:
            self._lowest_s = window.mean_s
        slow = window.mean_s > LATENCY_TOLERANCE * self._lowest_s
        if window.fails or slow:
            self._set(self._limit * FAILED_CUT_SHARE)
        elif self._used(window):
            self._set(self._limit + 1.0)
