"""Expected duration of calls, by route."""

from collections import OrderedDict
from dataclasses import dataclass, field

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
"""As for TCP's retransmission timeout (RFC 6298): an outlier is soon forgotten."""

FIRST_DEVIATION_SHARE = 0.25
"""Deviation after the first call, as a part of its duration."""

MAX_ROUTES = 10_000
"""Routes with an estimate; bounds memory while sets with new route names follow."""


@dataclass(slots=True)
class _RouteDurations:
    """
    Durations of the calls of a route; times in seconds.

    `running_since` counts the calls that run by start time, in order, without those
    that began before the one at `overtaken_at`: a later call has ended before them,
    so they are outliers and say nothing about the next call.
    """

    mean_s: float | None = None
    deviation_s: float = 0.0
    running_since: OrderedDict[float, int] = field(default_factory=OrderedDict)
    overtaken_at: float = 0.0

    def record(self, took_s: float) -> None:
        """Record the duration of a call."""
        if self.mean_s is None:
            self.mean_s = took_s
            self.deviation_s = FIRST_DEVIATION_SHARE * took_s
            return
        error = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * error
        self.deviation_s += DEVIATION_GAIN * (abs(error) - self.deviation_s)

    def drop_overtaken(self) -> None:
        """Forget the running calls that a later one has overtaken, and ended ones."""
        running = self.running_since
        while running and next(iter(running)) <= self.overtaken_at:
            running.popitem(last=False)


class DurationEstimates:
    """Estimates how long almost all calls of a route take; seconds, by route name."""

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteDurations] = {}

    def start(self, route: str, now: float) -> None:
        """Record that a call begins; `end` or `discard` has to follow."""
        durations = self._get_or_add(route)
        durations.drop_overtaken()
        running = durations.running_since
        running[now] = running.get(now, 0) + 1

    def end(self, route: str, started_at: float, took_s: float) -> None:
        """Record that a call has ended and how long it took."""
        durations = self._get_or_add(route)
        durations.overtaken_at = max(durations.overtaken_at, started_at)
        durations.record(took_s)

    def discard(self, route: str, started_at: float) -> None:
        """Record that a call has ended without a duration: no server has run it."""
        running = self._get_or_add(route).running_since
        count = running.get(started_at, 0)
        if count > 1:
            running[started_at] = count - 1
        elif count:
            del running[started_at]

    def record(self, route: str, took_s: float) -> None:
        """Record the duration of a call that was not started here."""
        self._get_or_add(route).record(took_s)

    def expected_s(self, route: str, now: float) -> float | None:
        """
        Return the mean and four deviations, None if nothing is known of the route.

        It is not less than the time for which calls run that no later one has
        overtaken: servers may have become slower since the last call that has ended.
        """
        durations = self._by_route.get(route)
        if durations is None:
            return None
        durations.drop_overtaken()
        running_s = None
        if durations.running_since:
            running_s = now - next(iter(durations.running_since))
        if durations.mean_s is None:
            return running_s
        estimate_s = durations.mean_s + DEVIATIONS * durations.deviation_s
        return max(estimate_s, running_s or 0.0)

    def _get_or_add(self, route: str) -> _RouteDurations:
        durations = self._by_route.get(route)
        if durations is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            durations = self._by_route[route] = _RouteDurations()
        return durations
