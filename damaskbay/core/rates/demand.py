"""How much of a bucket a holder needs, and what part of it is fair."""

import math
from collections.abc import Mapping

BIN_S = 1.0
STEADY_S = 15.0


class Demand:
    """
    Follows the requests for one bucket: their rate, and spikes beside it.

    Each as it is lately and as the highest of a longer time. A spike is how many
    tokens requests take beside a steady rate: the depth of a bucket that drains
    at that rate.
    """

    def __init__(self, decay_s: float, keep_decay_s: float, now: float) -> None:
        self.last_at = float("-inf")
        self._decay_s = decay_s
        self._keep_decay_s = keep_decay_s
        self._started_at = now
        self._count = 0
        self._per_s = 0.0
        self._steady_per_s = 0.0
        self._bins = 0
        self._kept_per_s = 0.0
        self._at = now
        self._depth = 0.0
        self._spike = 0.0
        self._kept_spike = 0.0

    def add(self, count: int, drain_per_s: float, most: float, now: float) -> None:
        """Count requests, admitted or not; a spike is never above `most`."""
        if count <= 0:
            return
        self._roll(now)
        self._count += count
        self.last_at = now
        self._spike = self.spike_tokens(now)
        self._kept_spike = self.kept_spike_tokens(now)
        drained = max(0.0, now - self._at) * max(drain_per_s, self._per_s)
        self._at = now
        self._depth = min(max(0.0, self._depth - drained) + count, most)
        self._spike = max(self._spike, self._depth)
        self._kept_spike = max(self._kept_spike, self._depth)

    def rate_per_s(self, now: float) -> float:
        """Return the rate lately."""
        self._roll(now)
        return max(self._per_s, self._count / BIN_S / 2)

    def kept_rate_per_s(self, now: float) -> float:
        """Return the highest steady rate of a longer time."""
        self._roll(now)
        return self._kept_per_s

    def spike_tokens(self, now: float) -> float:
        """Return the greatest spike lately."""
        return self._spike * self._left(self._at, self._decay_s, now)

    def kept_spike_tokens(self, now: float) -> float:
        """Return the greatest spike of a longer time."""
        return self._kept_spike * self._left(self._at, self._keep_decay_s, now)

    def _left(self, since: float, decay_s: float, now: float) -> float:
        return math.exp(-max(0.0, now - since) / decay_s)

    def _roll(self, now: float) -> None:
        elapsed_s = now - self._started_at
        if elapsed_s < BIN_S:
            return
        measured = self._count / elapsed_s
        if measured > 2 * self._per_s:
            self._per_s = (measured + self._per_s) / 2
        else:
            left = self._left(self._started_at, self._decay_s, now)
            self._per_s = measured + (self._per_s - measured) * left
        self._bins += 1
        left = min(self._left(self._started_at, STEADY_S, now), 1 - 1 / self._bins)
        self._steady_per_s = measured + (self._steady_per_s - measured) * left
        kept = self._kept_per_s * self._left(self._started_at, self._keep_decay_s, now)
        self._kept_per_s = max(kept, self._steady_per_s)
        self._count = 0
        self._started_at = now


def fair_parts(total: int, needs_by_holder: Mapping[str, int]) -> dict[str, int]:
    """
    Split a total max-min fairly: small needs in full, the rest in equal parts.

    The parts' sum never exceeds the total; equal arguments give equal parts.
    """
    parts: dict[str, int] = {}
    left = max(0, total)
    waiting = sorted(needs_by_holder.items(), key=lambda item: (item[1], item[0]))
    for index, (holder, need) in enumerate(waiting):
        parts[holder] = min(need, left // (len(waiting) - index))
        left -= parts[holder]
    return parts
