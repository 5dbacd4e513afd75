"""A recent quantile of latencies that ages when no new ones come."""

from collections import deque

from damaskbay.core.admission.const import (
    LATENCY_HALF_LIFE_S,
    LATENCY_QUANTILE,
    LATENCY_REFRESH_S,
    LATENCY_SAMPLES,
    LATENCY_WINDOW_S,
)


class LatencyEstimate:
    """
    Estimates how long a call will run, in seconds.

    Only samples of the last moments count, so that a few calls after a slow
    spell suffice to see its end. Without any, the estimate halves again and again.
    """

    def __init__(self, quantile: float = LATENCY_QUANTILE) -> None:
        self._quantile = quantile
        self._samples: deque[tuple[float, float]] = deque(maxlen=LATENCY_SAMPLES)
        self._estimate_s = 0.0
        self._refresh_at = 0.0
        self._sampled_at = 0.0

    def add(self, latency_s: float, now: float) -> None:
        """Take one latency into account."""
        self._samples.append((now, latency_s))
        self._sampled_at = now

    def seconds(self, now: float) -> float:
        """Return the estimate, 0 where nothing is known."""
        if now >= self._refresh_at:
            self._refresh_at = now + LATENCY_REFRESH_S
            self._refresh(now)
        silent_s = now - self._sampled_at - LATENCY_WINDOW_S
        if silent_s <= 0.0:
            return self._estimate_s
        return float(self._estimate_s * 0.5 ** (silent_s / LATENCY_HALF_LIFE_S))

    def _refresh(self, now: float) -> None:
        while self._samples and self._samples[0][0] < now - LATENCY_WINDOW_S:
            self._samples.popleft()
        if self._samples:
            ordered = sorted(latency_s for _, latency_s in self._samples)
            self._estimate_s = ordered[int(self._quantile * (len(ordered) - 1))]
