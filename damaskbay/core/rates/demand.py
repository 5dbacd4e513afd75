"""How much of a bucket a holder needs, and what part of it is fair."""

import math
from collections.abc import Mapping

BIN_S = 1.0


class Demand:
    """Follows a rate of requests: rises within a second, decays slowly."""

    def __init__(self, decay_s: float, now: float) -> None:
        self._decay_s = decay_s
        self._started_at = now
        self._count = 0
        self._peak_per_s = 0.0
        self.last_at = float("-inf")

    def add(self, count: int, now: float) -> None:
        """Count requests, admitted or not."""
        if count <= 0:
            return
        self._roll(now)
        self._count += count
        self.last_at = now

    def rate_per_s(self, now: float) -> float:
        """Return the rate to reckon with."""
        self._roll(now)
        return max(self._peak_per_s, self._count / BIN_S)

    def _roll(self, now: float) -> None:
        elapsed_s = now - self._started_at
        if elapsed_s < BIN_S:
            return
        measured = self._count / elapsed_s
        decayed = self._peak_per_s * math.exp(-elapsed_s / self._decay_s)
        smoothed = (measured + min(self._peak_per_s, measured)) / 2
        self._peak_per_s = max(decayed, smoothed)
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
