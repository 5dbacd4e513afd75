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


@dataclass(frozen=True, slots=True, eq=False)
class StartedCall:
    """A call of a route that began at a time, seconds."""

    route: str
    started_at: float


@dataclass(slots=True)
class _RouteDurations:
    """
    Durations of the calls of a route; times in seconds.

    `running` holds the calls that run, the first recorded one first, without those that
    began before the one at `overtaken_at`: a later call has been completed before them,
    so they are outliers and say nothing about the next call.
    """

    mean_s: float | None = None
    deviation_s: float = 0.0
    running: OrderedDict[StartedCall, None] = field(default_factory=OrderedDict)
    overtaken_at: float = 0.0

    def record(self, took_s: float) -> None:
        """Record a duration."""
        if self.mean_s is None:
            self.mean_s = took_s
            self.deviation_s = FIRST_DEVIATION_SHARE * took_s
            return
        error = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * error
        self.deviation_s += DEVIATION_GAIN * (abs(error) - self.deviation_s)

    def drop_overtaken(self) -> None:
        """Forget the running calls that a later one has overtaken."""
        while (call := self.first_running()) and call.started_at <= self.overtaken_at:
            del self.running[call]

    def first_running(self) -> StartedCall | None:
        """Return the call that has been running for the longest time."""
        return next(iter(self.running), None)


class DurationEstimates:
    """Estimates how long almost all calls of a route take; seconds, by route name."""

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteDurations] = {}

    def start(self, route: str, now: float) -> StartedCall:
        """Record that a call begins; `end` has to follow."""
        call = StartedCall(route, now)
        durations = self._get_or_add(route)
        durations.drop_overtaken()
        durations.running[call] = None
        return call

    def end(self, call: StartedCall, now: float, *, completed: bool) -> None:
        """
        Record the end of a call; it is `completed` if a server has served it.

        A call that was refused, failed or cancelled would have taken longer than it
        did, so its duration counts only if it is above the mean.
        """
        durations = self._get_or_add(call.route)
        durations.running.pop(call, None)
        took_s = now - call.started_at
        if completed:
            durations.overtaken_at = max(durations.overtaken_at, call.started_at)
            durations.record(took_s)
        elif durations.mean_s is not None and took_s > durations.mean_s:
            durations.record(took_s)

    def expected_s(self, route: str, now: float) -> float | None:
        """
        Return the mean and four deviations, None if nothing is known of the route.

        It is not less than the time for which calls run that no later one has
        overtaken: servers may have become slower since the last call was completed.
        """
        durations = self._by_route.get(route)
        if durations is None:
            return None
        durations.drop_overtaken()
        call = durations.first_running()
        running_s = None if call is None else now - call.started_at
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
