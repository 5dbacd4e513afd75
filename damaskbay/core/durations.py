"""Expected duration of calls, by route."""

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
"""As for TCP's retransmission timeout (RFC 6298): an outlier is soon forgotten."""

FIRST_DEVIATION_SHARE = 0.25
"""Deviation after the first call, as a part of its duration."""

MAX_ROUTES = 10_000
"""Routes with an estimate; bounds memory while sets with new route names follow."""


class DurationEstimates:
    """Estimates how long almost all calls of a route take; seconds, by route name."""

    def __init__(self) -> None:
        self._means_by_route: dict[str, float] = {}
        self._deviations_by_route: dict[str, float] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record the duration of a call."""
        mean = self._means_by_route.get(route)
        if mean is None:
            if len(self._means_by_route) >= MAX_ROUTES:
                self._means_by_route.clear()
            self._means_by_route[route] = took_s
            self._deviations_by_route[route] = FIRST_DEVIATION_SHARE * took_s
            return
        deviation = self._deviations_by_route[route]
        error = took_s - mean
        self._means_by_route[route] = mean + MEAN_GAIN * error
        deviation += DEVIATION_GAIN * (abs(error) - deviation)
        self._deviations_by_route[route] = deviation

    def expected_s(self, route: str, default_s: float) -> float:
        """Return the mean and four deviations; the default before the first call."""
        mean = self._means_by_route.get(route)
        if mean is None:
            return default_s
        return mean + DEVIATIONS * self._deviations_by_route[route]
