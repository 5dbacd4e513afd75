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


class Spike:
    """
    Follows how many tokens requests take beside a steady rate.

    That is the depth of a bucket that drains at the rate; the deepest counts and
    decays slowly.
    """

    def __init__(self, decay_s: float, now: float) -> None:
        self._decay_s = decay_s
        self._at = now
        self._depth = 0.0
        self._deepest = 0.0

    def add(self, count: int, drain_per_s: float, most: float, now: float) -> None:
        """Count requests; the depth is never above `most`."""
        if count <= 0:
            return
        self._deepest = self.tokens(now)
        drained = max(0.0, now - self._at) * drain_per_s
        self._at = now
        self._depth = min(max(0.0, self._depth - drained) + count, most)
        self._deepest = max(self._deepest, self._depth)

    def tokens(self, now: float) -> float:
        """Return the tokens to reckon with."""
        elapsed_s = max(0.0, now - self._at)
        return self._deepest * math.exp(-elapsed_s / self._decay_s)


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
