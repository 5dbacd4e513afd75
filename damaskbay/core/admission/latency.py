"""A quantile of recent latencies that decays without new samples."""

from collections import deque

from damaskbay.core.admission.const import (
    LATENCY_HALF_LIFE_S,
    LATENCY_MAX_SAMPLES,
    LATENCY_QUANTILE,
    LATENCY_REFRESH_S,
    LATENCY_WINDOW_S,
)


class LatencyEstimate:
    """
    Estimate of the latency of a call, in seconds.

    Only samples of the last LATENCY_WINDOW_S count, so that a few calls suffice to
    detect the end of a slow period. Without samples the estimate decays
    exponentially.
    """

    def __init__(self, quantile: float = LATENCY_QUANTILE) -> None:
        self._quantile = quantile
        self._samples: deque[tuple[float, float]] = deque(maxlen=LATENCY_MAX_SAMPLES)
        self._estimate_s = 0.0
        self._refresh_due_at = 0.0
        self._last_sample_at = 0.0

    def add(self, latency_s: float, now: float) -> None:
        """Add one latency sample."""
        self._samples.append((now, latency_s))
        self._last_sample_at = now

    def current_s(self, now: float) -> float:
        """Return the estimate in seconds, 0 before the first sample."""
        if now >= self._refresh_due_at:
            self._refresh_due_at = now + LATENCY_REFRESH_S
            self._refresh(now)
        stale_s = now - self._last_sample_at - LATENCY_WINDOW_S
        if stale_s <= 0.0:
            return self._estimate_s
        return float(self._estimate_s * 0.5 ** (stale_s / LATENCY_HALF_LIFE_S))

    def _refresh(self, now: float) -> None:
        while self._samples and self._samples[0][0] < now - LATENCY_WINDOW_S:
            self._samples.popleft()
        if self._samples:
            ordered = sorted(latency_s for _, latency_s in self._samples)
            self._estimate_s = ordered[int(self._quantile * (len(ordered) - 1))]
