"""Speed of a backend server relative to the others of its pool."""

import heapq
import math
from dataclasses import dataclass

USUAL_GAIN = 0.02
USUAL_DEVIATION_GAIN = 0.05
FIRST_DEVIATION_SHARE = 0.25
USUAL_MAX_RATIO = 3.0
"""Multiple of the usual time at which a duration is cut off in it."""

DEVIATIONS = 4.0
"""Deviations above the usual time within which almost all calls end."""

MAX_ROUTES = 1000
"""Routes with a usual time; bounds memory while sets with new route names follow."""

PRIOR_CALLS = 4.0
"""Calls of usual speed that a server begins with, so that one call says little."""

SPEED_GAIN = 0.05
SPEED_TIME_S = 20.0
"""Time constant of the speed where calls are rare, seconds."""

SPEED_MIN = 0.25
SPEED_MAX = 4.0

RECENT_GAIN = 0.4
RECENT_MIN_RATIO = 1.5
"""Ratio to the server's own usual time from which on it has become slower."""

RECENT_FADE_S = 1.0
"""Time constant with which a slow-down is forgotten without calls, seconds."""

FORGET_S = 90.0
"""Time constant with which a server counts as of usual speed without calls, seconds."""

WAIT_GAIN = 0.3
KEPT_CALLS = 64
"""Ended calls that are kept until the ones before them end; bounds memory."""

MAX_SLOW_DOWN = 20.0


@dataclass(slots=True)
class _RouteTime:
    """Usual time of a route's calls at the servers of a pool, seconds."""

    mean_s: float
    deviation_s: float
    calls: int = 1


class UsualTimes:
    """Usual times of the calls of each pool and route, over all of its servers."""

    def __init__(self) -> None:
        self._by_pool_and_route: dict[tuple[str, str], _RouteTime] = {}

    def get(self, pool: str, route: str) -> _RouteTime | None:
        """Return the usual time, None if it is unknown."""
        return self._by_pool_and_route.get((pool, route))

    def record(self, pool: str, route: str, service_s: float) -> float:
        """Record a call; return its time relative to the usual one."""
        key = pool, route
        usual = self._by_pool_and_route.get(key)
        if usual is None:
            if len(self._by_pool_and_route) >= MAX_ROUTES:
                self._by_pool_and_route.clear()
            deviation_s = FIRST_DEVIATION_SHARE * service_s
            self._by_pool_and_route[key] = _RouteTime(service_s, deviation_s)
            return 1.0
        ratio = service_s / usual.mean_s
        usual.calls += 1
        error = min(service_s, USUAL_MAX_RATIO * usual.mean_s) - usual.mean_s
        usual.mean_s += max(USUAL_GAIN, 1.0 / usual.calls) * error
        usual.deviation_s += max(USUAL_DEVIATION_GAIN, 1.0 / usual.calls) * (
            abs(error) - usual.deviation_s
        )
        return ratio


@dataclass(slots=True, eq=False)
class StartedCall:
    """
    A call that was sent to a server; times in seconds.

    Almost all calls of its route end before `late_at`.
    """

    server: "ServerSpeed"
    pool: str
    route: str
    sent_at: float
    late_at: float = math.inf
    usual_s: float = math.inf
    ended: bool = False

    def __lt__(self, other: "StartedCall") -> bool:
        """Return whether this call is late before the other one."""
        return self.late_at < other.late_at


class ServerSpeed:
    """
    Speed of one incarnation of a server, 1 for the usual one of its pool.

    Two parts: how long its calls take relative to those of the pool, over some twenty
    calls, and by how much it has become slower within the last second or two. A call
    that runs for longer than almost all calls of its route shows the latter before it
    ends. Without calls the latter fades, so that the server is tried again. Times are
    in seconds of one monotonic clock.
    """

    def __init__(self, usual_times: UsualTimes, now: float) -> None:
        self._usual_times = usual_times
        self._ratio = 1.0
        self._calls = PRIOR_CALLS
        self._recent_ratio = 1.0
        self._updated_at = now
        self._wait_s = 0.0
        self._sent: list[StartedCall] = []
        self._running = 0

    def record_start(self, pool: str, route: str, now: float) -> StartedCall:
        """Record a sent call; `record_end` has to follow."""
        call = StartedCall(self, pool, route, now)
        usual = self._usual_times.get(pool, route)
        if usual is not None:
            call.usual_s = usual.mean_s * self._ratio
            longest_s = call.usual_s + DEVIATIONS * usual.deviation_s * self._ratio
            call.late_at = now + self._wait_s + longest_s
            self._running += 1
            heapq.heappush(self._sent, call)
            if len(self._sent) > KEPT_CALLS + 2 * self._running:
                self._sent = [sent for sent in self._sent if not sent.ended]
                heapq.heapify(self._sent)
        return call

    def record_end(
        self, call: StartedCall, service_s: float | None, now: float
    ) -> None:
        """
        Record the end of a call; `service_s` is the time that the server worked on it.

        None if that is unknown or depended on other servers. A call that was sent to an
        earlier incarnation has no effect.
        """
        if call.server is not self or call.ended:
            return
        call.ended = True
        if call.late_at != math.inf:
            self._running -= 1
        if service_s is None or service_s <= 0.0:
            return
        ratio = self._usual_times.record(call.pool, call.route, service_s)
        self._wait_s += WAIT_GAIN * (now - call.sent_at - service_s - self._wait_s)
        age_s = max(0.0, now - self._updated_at)
        own = self._ratio = _faded(self._ratio, age_s / FORGET_S)
        recent = _faded(self._recent_ratio, age_s / RECENT_FADE_S)
        own_ratio = min(MAX_SLOW_DOWN, ratio / own)
        self._recent_ratio = recent + RECENT_GAIN * (own_ratio - recent)
        self._updated_at = now
        self._calls += 1.0
        gain = max(SPEED_GAIN, 1.0 / self._calls)
        if self._recent_ratio < RECENT_MIN_RATIO:
            gain = max(gain, 1.0 - math.exp(-age_s / SPEED_TIME_S))
        own += gain * (min(USUAL_MAX_RATIO, ratio) - own)
        self._ratio = min(1.0 / SPEED_MIN, max(1.0 / SPEED_MAX, own))

    def value(self, now: float) -> float:
        """Return the speed, 1 for the usual one of the pool."""
        age_s = max(0.0, now - self._updated_at)
        own = _faded(self._ratio, age_s / FORGET_S)
        slow_down = _faded(self._recent_ratio, age_s / RECENT_FADE_S)
        if slow_down < RECENT_MIN_RATIO:
            slow_down = 1.0
        return 1.0 / (own * max(slow_down, self._running_ratio(now)))

    def _running_ratio(self, now: float) -> float:
        """Return the time of the call that is late first if it is late, else 1."""
        sent = self._sent
        while sent and sent[0].ended:
            heapq.heappop(sent)
        if not sent or now <= sent[0].late_at:
            return 1.0
        call = sent[0]
        running_s = now - call.sent_at - self._wait_s
        return min(MAX_SLOW_DOWN, max(1.0, running_s / call.usual_s))


def _faded(ratio: float, time_constants: float) -> float:
    """Return a ratio that goes back to 1."""
    return 1.0 + (ratio - 1.0) * math.exp(-time_constants)
