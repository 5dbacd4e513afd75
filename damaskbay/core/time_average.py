"""Average of a value over recent time."""

import math


class TimeAverage:
    """Exponential moving average with a time constant in seconds."""

    def __init__(self, time_constant_s: float, now: float) -> None:
        self._time_constant_s = time_constant_s
        self._updated_at = now
        self._value = 0.0

    def add(self, value: float, now: float) -> float:
        """Add the value since the last call; return the average."""
        elapsed_s = max(0.0, now - self._updated_at)
        weight = 1.0 - math.exp(-elapsed_s / self._time_constant_s)
        self._value += weight * (value - self._value)
        self._updated_at = now
        return self._value
