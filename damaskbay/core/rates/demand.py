"""Estimates of the demand for a bucket, and max-min fair shares."""

import math
from collections.abc import Mapping

SAMPLE_S = 1.0
STEADY_DECAY_S = 15.0


class DemandEstimator:
    """
    Estimate of the call rate of one bucket, and of the spikes above that rate.

    Both are given as a recent value and as a slowly decaying peak. A spike is the
    number of tokens needed above a steady rate: the level of a leaky bucket that
    drains at that rate.
    """

    def __init__(self, decay_s: float, peak_decay_s: float, now: float) -> None:
        self.last_call_at = float("-inf")
        self._decay_s = decay_s
        self._peak_decay_s = peak_decay_s
        self._sample_started_at = now
        self._sample_count = 0
        self._recent_per_s = 0.0
        self._steady_per_s = 0.0
        self._samples = 0
        self._peak_per_s = 0.0
        self._updated_at = now
        self._leaky_level = 0.0
        self._spike = 0.0
        self._peak_spike = 0.0

    def add(self, count: int, drain_per_s: float, max_spike: float, now: float) -> None:
        """
        Count calls, admitted or refused.

        Spikes are measured above `drain_per_s` or the recent rate, whichever is
        higher, and limited to `max_spike` tokens.
        """
        if count <= 0:
            return
        self._close_sample(now)
        self._sample_count += count
        self.last_call_at = now
        self._spike = self.spike_tokens(now)
        self._peak_spike = self.peak_spike_tokens(now)
        drained = max(0.0, now - self._updated_at) * max(
            drain_per_s, self._recent_per_s
        )
        self._updated_at = now
        self._leaky_level = min(
            max(0.0, self._leaky_level - drained) + count, max_spike
        )
        self._spike = max(self._spike, self._leaky_level)
        self._peak_spike = max(self._peak_spike, self._leaky_level)

    def rate_per_s(self, now: float) -> float:
        """Return the recent rate, calls per second."""
        self._close_sample(now)
        return max(self._recent_per_s, self._sample_count / SAMPLE_S / 2)

    def peak_rate_per_s(self, now: float) -> float:
        """Return the decaying peak of the steady rate, calls per second."""
        self._close_sample(now)
        return self._peak_per_s

    def spike_tokens(self, now: float) -> float:
        """Return the largest recent spike, in tokens."""
        return self._spike * self._decay_factor(self._updated_at, self._decay_s, now)

    def peak_spike_tokens(self, now: float) -> float:
        """Return the decaying peak of the spikes, in tokens."""
        return self._peak_spike * self._decay_factor(
            self._updated_at, self._peak_decay_s, now
        )

    def _decay_factor(self, since: float, decay_s: float, now: float) -> float:
        return math.exp(-max(0.0, now - since) / decay_s)

    def _close_sample(self, now: float) -> None:
        """Update the rates once a sample of at least `SAMPLE_S` is complete."""
        elapsed_s = now - self._sample_started_at
        if elapsed_s < SAMPLE_S:
            return
        measured = self._sample_count / elapsed_s
        if measured > 2 * self._recent_per_s:
            self._recent_per_s = (measured + self._recent_per_s) / 2
        else:
            remaining = self._decay_factor(self._sample_started_at, self._decay_s, now)
            self._recent_per_s = measured + (self._recent_per_s - measured) * remaining
        self._samples += 1
        remaining = min(
            self._decay_factor(self._sample_started_at, STEADY_DECAY_S, now),
            1 - 1 / self._samples,
        )
        self._steady_per_s = measured + (self._steady_per_s - measured) * remaining
        peak = self._peak_per_s * self._decay_factor(
            self._sample_started_at, self._peak_decay_s, now
        )
        self._peak_per_s = max(peak, self._steady_per_s)
        self._sample_count = 0
        self._sample_started_at = now


def max_min_fair_shares(
    total: int, needs_by_holder: Mapping[str, int]
) -> dict[str, int]:
    """
    Return max-min fair shares: small needs in full, equal shares for the others.

    The sum of the shares never exceeds `total`. The result is deterministic.
    """
    shares: dict[str, int] = {}
    remaining = max(0, total)
    by_need = sorted(needs_by_holder.items(), key=lambda item: (item[1], item[0]))
    for index, (holder, need) in enumerate(by_need):
        shares[holder] = min(need, remaining // (len(by_need) - index))
        remaining -= shares[holder]
    return shares
