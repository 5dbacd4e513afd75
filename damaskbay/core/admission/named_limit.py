"""The limit of requests per second that a backend server names in its responses."""

import math

START_RATE_TIME_CONSTANT_S = 0.5
"""Time constant of the measured rate of starts, in seconds."""


def parse_limit(text: str) -> float | None:
    """Return a limit in requests per second, None if the text is not a valid one."""
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s >= 0.0 else None


class StartRate:
    """Exponential moving average of the starts per second."""

    def __init__(self, now: float) -> None:
        self._per_s = 0.0
        self._updated_at = now

    def record_start(self, now: float) -> None:
        """Count one start."""
        self._per_s = self.per_s(now) + 1.0 / START_RATE_TIME_CONSTANT_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the recent starts per second."""
        elapsed_s = max(0.0, now - self._updated_at)
        return self._per_s * math.exp(-elapsed_s / START_RATE_TIME_CONSTANT_S)
