"""Concurrency limits of a backend server, adapted to its latency."""

from dataclasses import dataclass, field
from typing import Protocol

from damaskbay.core.admission.const import (
    BASELINE_FALL_GAIN,
    BASELINE_RISE_GAIN,
    CONCURRENCY_LATENCY_EXPONENT,
    DECREASE_MAX_FACTOR,
    DECREASE_MIN_FACTOR,
    FAILURE_DECREASE_FACTOR,
    LIMIT_INCREASE_SHARE,
    LIMIT_MIN,
    LIMIT_MIN_WINDOW_S,
    LIMIT_PROBE_SHARE,
    LIMIT_START_SHARE,
    LIMIT_WINDOW_MAX_CALLS,
    LIMIT_WINDOW_MIN_CALLS,
    MAX_FAILED_SHARE,
    SAME_CONCURRENCY_RATIO,
    SLOW_LATENCY_RATIO,
    STEADY_LATENCY_RATIO,
)


@dataclass(frozen=True, slots=True)
class CallSample:
    """
    Result of one admitted call at the backend server, times in seconds.

    `nested_s` is the part of the latency spent waiting for nested calls, 0 where it is
    not known; `has_nested` means that there were some. A cancelled call gives no
    information about the server.
    """

    latency_s: float
    succeeded: bool = True
    cancelled: bool = False
    nested_s: float = 0.0
    route: str = ""
    has_nested: bool = False

    @property
    def own_s(self) -> float:
        """Return the latency in seconds without the time spent in nested calls."""
        return max(0.0, self.latency_s - self.nested_s)


class ConcurrencyLimit(Protocol):
    """Limit of the number of concurrent calls."""

    def value(self) -> int:
        """Return the limit, 1 up to the slots."""
        ...

    def set_slots(self, slots: int) -> None:
        """Change the maximum of the limit."""
        ...

    def observe(self, sample: CallSample, running: int, now: float) -> None:
        """Update from an ended call; `running` is the concurrency including it."""
        ...


class FixedLimit:
    """Limit that always equals the slots."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def value(self) -> int:
        """Return the number of slots."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Change the number of slots."""
        self._slots = slots

    def observe(self, sample: CallSample, running: int, now: float) -> None:
        """Ignore the sample."""


@dataclass(slots=True)
class _Window:
    """
    Samples of the calls that ended since `since`.

    Calls that started earlier count too. Counting only calls that both start and
    end within a short window would favour fast calls.
    """

    since: float
    count: int = 0
    failed: int = 0
    latencies_s: list[float] = field(default_factory=list)
    sum_running: int = 0
    max_running: int = 0

    def add(self, sample: CallSample, running: int) -> None:
        self.count += 1
        self.failed += 0 if sample.succeeded else 1
        self.latencies_s.append(sample.own_s)
        self.sum_running += running
        self.max_running = max(self.max_running, running)

    def is_complete(self, now: float, limit: float) -> bool:
        min_calls = min(LIMIT_WINDOW_MAX_CALLS, max(LIMIT_WINDOW_MIN_CALLS, int(limit)))
        if self.count % min_calls:
            return False
        return now - self.since >= max(LIMIT_MIN_WINDOW_S, 2.0 * self.median_s)

    @property
    def median_s(self) -> float:
        """Return the median latency, robust to a few late calls of a slow period."""
        return sorted(self.latencies_s)[(len(self.latencies_s) - 1) // 2]

    @property
    def mean_running(self) -> float:
        return self.sum_running / self.count

    @property
    def failing(self) -> bool:
        return self.failed > MAX_FAILED_SHARE * self.count


class _AdaptiveLimit:
    """Base of the adaptive limits: maximum, initial value and sample windows."""

    def __init__(self, slots: int, now: float) -> None:
        self._slots = slots
        self._limit = max(float(LIMIT_MIN), slots * LIMIT_START_SHARE)
        self._window = _Window(now)

    def value(self) -> int:
        """Return the limit, 1 up to the slots."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Change the maximum; a limit below it stays."""
        self._slots = slots
        self._set_limit(self._limit)

    def observe(self, sample: CallSample, running: int, now: float) -> None:
        """Update from an ended call; `running` is the concurrency including it."""
        if sample.cancelled or now < self._window.since:
            return
        self._window.add(sample, running)
        if not self._window.is_complete(now, self._limit):
            return
        window = self._window
        previous_limit = self._limit
        self._update_limit(window)
        settling_s = 0.0 if self._limit == previous_limit else window.median_s
        self._window = _Window(now + settling_s)

    def _update_limit(self, window: _Window) -> None:
        raise NotImplementedError

    def _set_limit(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(float(LIMIT_MIN), limit))

    def _limit_reached(self, window: _Window) -> bool:
        return window.max_running >= int(self._limit)


class GradientLimit(_AdaptiveLimit):
    """
    Limit that decreases with the ratio of latency to its baseline.

    The baseline is the latency at a lower concurrency. If latency rose by more than
    the concurrency can explain, it has another cause, which a lower limit would not
    fix, and the new latency becomes the baseline. The same applies, and the
    decrease is reverted, if a decrease achieved less than half of the expected
    effect. The limit doesn't decrease while latency still rises from window to
    window. The first window is ignored, because it holds only the fastest calls.
    """

    def __init__(self, slots: int, now: float) -> None:
        super().__init__(slots, now)
        self._baseline_latency_s = 0.0
        self._baseline_concurrency = 1.0
        # Increases are proportional to the distance from the limit to this target.
        self._fast_increase_target = float(slots)
        self._limit_before_decrease = 0.0
        self._latency_before_decrease_s = 0.0
        self._slow_start = True
        self._previous_latency_s = 0.0

    def _update_limit(self, window: _Window) -> None:
        median_s = window.median_s
        if not self._previous_latency_s:
            self._previous_latency_s = median_s
            return
        if not self._baseline_latency_s:
            self._reset_baseline(window)
        slow = median_s > SLOW_LATENCY_RATIO * self._baseline_latency_s
        steady = median_s <= STEADY_LATENCY_RATIO * self._previous_latency_s
        self._previous_latency_s = median_s
        if window.failing:
            self._slow_start = False
            self._set_limit(self._limit * FAILURE_DECREASE_FACTOR)
        elif not slow:
            self._confirm_decrease()
            self._increase(window)
        elif not self._explained_by_concurrency(window) or not self._decrease_helped(
            median_s
        ):
            self._set_limit(max(self._limit, self._limit_before_decrease))
            self._reset_baseline(window)
        elif steady:
            self._decrease(median_s)
        self._update_baseline(window)

    def _explained_by_concurrency(self, window: _Window) -> bool:
        """Return whether higher concurrency can explain the rise of latency."""
        concurrency_ratio = max(1.0, window.mean_running / self._baseline_concurrency)
        expected_rise = float(concurrency_ratio**CONCURRENCY_LATENCY_EXPONENT)
        return (
            window.median_s
            <= SLOW_LATENCY_RATIO * expected_rise * self._baseline_latency_s
        )

    def _decrease_helped(self, median_s: float) -> bool:
        """Return whether the last decrease had at least half of its expected effect."""
        if not self._limit_before_decrease:
            return True
        expected_ratio = self._limit / self._limit_before_decrease
        return median_s < (1.0 + expected_ratio) / 2.0 * self._latency_before_decrease_s

    def _decrease(self, median_s: float) -> None:
        self._slow_start = False
        self._limit_before_decrease = self._limit
        self._latency_before_decrease_s = median_s
        share = SLOW_LATENCY_RATIO * self._baseline_latency_s / median_s
        self._set_limit(
            self._limit * min(DECREASE_MAX_FACTOR, max(DECREASE_MIN_FACTOR, share))
        )

    def _reset_baseline(self, window: _Window) -> None:
        self._baseline_latency_s = window.median_s
        self._baseline_concurrency = max(1.0, window.mean_running)
        self._limit_before_decrease = 0.0

    def _increase(self, window: _Window) -> None:
        if not self._limit_reached(window):
            return
        if self._slow_start:
            self._set_limit(2.0 * self._limit)
            return
        distance = max(0.0, self._fast_increase_target - self._limit)
        self._fast_increase_target = min(
            self._slots, self._fast_increase_target + self._slots * LIMIT_PROBE_SHARE
        )
        self._set_limit(
            self._limit
            + LIMIT_INCREASE_SHARE * distance
            + LIMIT_PROBE_SHARE * self._slots
        )

    def _confirm_decrease(self) -> None:
        """End fast increases halfway to the limit from before a helpful decrease."""
        if self._limit_before_decrease:
            self._fast_increase_target = (
                self._limit + self._limit_before_decrease
            ) / 2.0
            self._limit_before_decrease = 0.0

    def _update_baseline(self, window: _Window) -> None:
        """
        Move the baseline quickly towards lower latency, slowly towards higher.

        A concurrency that doesn't raise latency becomes the baseline concurrency.
        Latency at a clearly higher concurrency doesn't raise the baseline.
        """
        median_s = window.median_s
        running = max(1.0, window.mean_running)
        gain = BASELINE_RISE_GAIN
        if median_s < self._baseline_latency_s:
            gain = BASELINE_FALL_GAIN
        elif running > SAME_CONCURRENCY_RATIO * self._baseline_concurrency:
            gain = 0.0
        if median_s <= STEADY_LATENCY_RATIO * self._baseline_latency_s:
            self._baseline_concurrency = max(self._baseline_concurrency, running)
        if median_s * STEADY_LATENCY_RATIO < self._baseline_latency_s:
            self._baseline_concurrency = running
        self._baseline_latency_s += gain * (median_s - self._baseline_latency_s)


class AimdLimit(_AdaptiveLimit):
    """Limit that adds 1 per window and decreases on failures or high latency."""

    def __init__(self, slots: int, now: float) -> None:
        super().__init__(slots, now)
        self._min_latency_s = 0.0

    def _update_limit(self, window: _Window) -> None:
        if not self._min_latency_s or window.median_s < self._min_latency_s:
            self._min_latency_s = window.median_s
        slow = window.median_s > SLOW_LATENCY_RATIO * self._min_latency_s
        if window.failing or slow:
            self._set_limit(self._limit * FAILURE_DECREASE_FACTOR)
        elif self._limit_reached(window):
            self._set_limit(self._limit + 1.0)
