"""Concurrency limits of a backend server, learned from its latency."""

from dataclasses import dataclass, field
from statistics import median_low
from typing import Protocol

from damaskbay.core.admission.const import (
    CALM_TOLERANCE,
    CROWDED_POWER,
    CUT_LEAST_SHARE,
    CUT_MOST_SHARE,
    FAILED_CUT_SHARE,
    FAILED_SHARE,
    LATENCY_DRIFT_SHARE,
    LATENCY_FALL_SHARE,
    LATENCY_TOLERANCE,
    LIMIT_LOWEST,
    LIMIT_PROBE_SHARE,
    LIMIT_RAISE_SHARE,
    LIMIT_START_SHARE,
    LIMIT_WINDOW_LEAST,
    LIMIT_WINDOW_MOST,
    LIMIT_WINDOW_S,
    SAME_RUNNING_SHARE,
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
    """
    Samples of calls that ended since a time.

    All that end are counted, whenever they started: those that both started and
    ended within a short time would only be the quick ones.
    """

    since: float
    count: int = 0
    failed: int = 0
    latencies_s: list[float] = field(default_factory=list)
    total_running: int = 0
    most_running: int = 0

    def add(self, sample: Sample, running: int) -> None:
        self.count += 1
        self.failed += 0 if sample.succeeded else 1
        self.latencies_s.append(sample.own_s)
        self.total_running += running
        self.most_running = max(self.most_running, running)

    def complete(self, now: float, limit: float) -> bool:
        enough = min(LIMIT_WINDOW_MOST, max(LIMIT_WINDOW_LEAST, int(limit)))
        if self.count % enough:
            return False
        return now - self.since >= max(LIMIT_WINDOW_S, 2.0 * self.median_s)

    @property
    def median_s(self) -> float:
        """Return what most took, without a few left over from a slow spell."""
        return median_low(self.latencies_s)

    @property
    def mean_running(self) -> float:
        return self.total_running / self.count

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
        if sample.cancelled or now < self._window.since:
            return
        self._window.add(sample, running)
        if not self._window.complete(now, self._limit):
            return
        window = self._window
        before = self._limit
        self._learn(window)
        settled_s = 0.0 if self._limit == before else window.median_s
        self._window = _Window(now + settled_s)

    def _learn(self, window: _Window) -> None:
        raise NotImplementedError

    def _set(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(float(LIMIT_LOWEST), limit))

    def _used(self, window: _Window) -> bool:
        return window.most_running >= int(self._limit)


class GradientLimit(_LearnedLimit):
    """
    Cuts by how far latency stands above its baseline at fewer calls at once.

    Latency that rose by more than the calls at once can explain has another
    cause, which a cut would not mend: it becomes the baseline. So does latency
    that a cut did not bring down by half of what it should, and the cut is undone.
    While latency still rises from window to window nothing is concluded, and
    nothing from the first window, which knows the quickest calls only.
    """

    def __init__(self, slots: int, now: float) -> None:
        super().__init__(slots, now)
        self._baseline_s = 0.0
        self._baseline_running = 1.0
        self._ceiling = float(slots)
        self._cut_from = 0.0
        self._cut_at_s = 0.0
        self._slow_start = True
        self._last_s = 0.0

    def _learn(self, window: _Window) -> None:
        median_s = window.median_s
        if not self._last_s:
            self._last_s = median_s
            return
        if not self._baseline_s:
            self._rebase(window)
        slow = median_s > LATENCY_TOLERANCE * self._baseline_s
        steady = median_s <= CALM_TOLERANCE * self._last_s
        self._last_s = median_s
        if window.fails:
            self._slow_start = False
            self._set(self._limit * FAILED_CUT_SHARE)
        elif not slow:
            self._accept_cut()
            self._raise(window)
        elif not self._explained(window) or not self._helped(median_s):
            self._set(max(self._limit, self._cut_from))
            self._rebase(window)
        elif steady:
            self._cut(median_s)
        self._follow(window)

    def _explained(self, window: _Window) -> bool:
        """Tell whether more calls at once can be why latency has risen."""
        crowded = max(1.0, window.mean_running / self._baseline_running)
        rise = float(crowded**CROWDED_POWER)
        return window.median_s <= LATENCY_TOLERANCE * rise * self._baseline_s

    def _helped(self, median_s: float) -> bool:
        """Tell whether the last cut, if there was one, brought latency down."""
        if not self._cut_from:
            return True
        expected = self._limit / self._cut_from
        return median_s < (1.0 + expected) / 2.0 * self._cut_at_s

    def _cut(self, median_s: float) -> None:
        self._slow_start = False
        self._cut_from = self._limit
        self._cut_at_s = median_s
        share = LATENCY_TOLERANCE * self._baseline_s / median_s
        self._set(self._limit * min(CUT_LEAST_SHARE, max(CUT_MOST_SHARE, share)))

    def _rebase(self, window: _Window) -> None:
        self._baseline_s = window.median_s
        self._baseline_running = max(1.0, window.mean_running)
        self._cut_from = 0.0

    def _raise(self, window: _Window) -> None:
        if not self._used(window):
            return
        if self._slow_start:
            self._set(2.0 * self._limit)
            return
        room = max(0.0, self._ceiling - self._limit)
        self._ceiling = min(
            self._slots, self._ceiling + self._slots * LIMIT_PROBE_SHARE
        )
        self._set(
            self._limit + LIMIT_RAISE_SHARE * room + LIMIT_PROBE_SHARE * self._slots
        )

    def _accept_cut(self) -> None:
        """Stay below where a cut has helped, but for slow attempts."""
        if self._cut_from:
            self._ceiling = (self._limit + self._cut_from) / 2.0
            self._cut_from = 0.0

    def _follow(self, window: _Window) -> None:
        """
        Move the baseline towards lower latency fast, towards higher slowly.

        Calls at once that leave latency alone count as uncrowded from then on;
        latency at clearly more calls at once is no higher baseline.
        """
        median_s = window.median_s
        running = max(1.0, window.mean_running)
        gain = LATENCY_DRIFT_SHARE
        if median_s < self._baseline_s:
            gain = LATENCY_FALL_SHARE
        elif running > SAME_RUNNING_SHARE * self._baseline_running:
            gain = 0.0
        if median_s <= CALM_TOLERANCE * self._baseline_s:
            self._baseline_running = max(self._baseline_running, running)
        if median_s * CALM_TOLERANCE < self._baseline_s:
            self._baseline_running = running
        self._baseline_s += gain * (median_s - self._baseline_s)


class AimdLimit(_LearnedLimit):
    """Adds one per window, and cuts by a fixed share on failures or slowness."""

    def __init__(self, slots: int, now: float) -> None:
        super().__init__(slots, now)
        self._lowest_s = 0.0

    def _learn(self, window: _Window) -> None:
        if not self._lowest_s or window.median_s < self._lowest_s:
            self._lowest_s = window.median_s
        slow = window.median_s > LATENCY_TOLERANCE * self._lowest_s
        if window.fails or slow:
            self._set(self._limit * FAILED_CUT_SHARE)
        elif self._used(window):
            self._set(self._limit + 1.0)
