"""Exponential delays with jitter between attempts."""

from random import Random


class Backoff:
    """Delays that double from `first_s` up to `longest_s`, in seconds."""

    def __init__(self, first_s: float, longest_s: float, rng: Random) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._rng = rng
        self._delay_s = first_s

    def next_delay_s(self) -> float:
        """Return the delay before the next attempt, and double the one after it."""
        delay_s = self._delay_s
        self._delay_s = min(self._longest_s, 2.0 * delay_s)
        return delay_s * self._rng.uniform(0.75, 1.25)

    def reset(self) -> None:
        """Start again with the first delay, after a success."""
        self._delay_s = self._first_s
