"""The limit of requests to a server that is cold, or may be."""

import math
from collections import deque
from dataclasses import dataclass

from damaskbay.core.admission.const import (
    COLD_BURST_S,
    COLD_LATENCY_S,
    COLD_MAX_COUNT,
    COLD_MAX_WAIT_S,
    COLD_NESTED_WAIT_SHARE,
    COLD_RETURN_DOUBLING_S,
    COLD_RETURN_S,
    COLD_ROOT_WAIT_S,
    COLD_UNKNOWN_COUNT,
    COLD_UNKNOWN_PER_S,
    COLD_WINDOW_MARGIN_S,
    COLD_WINDOW_S,
)
from damaskbay.core.call import CallContext

NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class ColdOptions:
    """
    What a cold server takes.

    `per_s` is the warm-up rate of its pool in requests per second, 0 for no limit and
    None while the configuration is not known. In any second, at most `per_s` times
    `overage`, plus `slack`, requests may be sent to a cold server.
    """

    per_s: float | None = 0.0
    overage: float = 1.0
    slack: float = 1.0

    @property
    def limits(self) -> bool:
        """Return whether cold servers are limited."""
        return self.per_s != 0.0

    @property
    def rate_per_s(self) -> float:
        """Return the rate at which calls start while the server is cold."""
        return COLD_UNKNOWN_PER_S if self.per_s is None else self.per_s

    @property
    def count(self) -> int:
        """Return the requests that may be sent in a window."""
        if self.per_s is None:
            return COLD_UNKNOWN_COUNT
        bound = self.per_s * self.overage + self.slack
        return math.floor(min(COLD_MAX_COUNT, bound))


NO_COLD_LIMIT = ColdOptions()


class ColdLimit:
    """
    Limits the requests to one server while it is cold or may be.

    Starts are paced by the warm-up rate. Besides, the requests written in the last
    second are counted, whatever they were written for, and none is written above the
    bound, so that a cold phase which begins under load or a burst of repeats can't
    exceed it. Only the daemon beside a server sends to it, so the count is complete.
    A daemon that starts assumes a cold server: an earlier daemon may have sent to it.

    After the end of a cold phase the rate doubles every COLD_RETURN_DOUBLING_S, since
    all waiting calls together would overload a server that has just become warm.

    It handles any request rate in constant time a request, and remembers at most as
    many requests as the bound allows. Times are in seconds of one monotonic clock.
    """

    def __init__(self, options: ColdOptions, now: float) -> None:
        self._options = options
        self._sent: deque[float] = deque(maxlen=max(1, options.count))
        self._until = NEVER
        self._assumed_at: float | None = None
        self._ramp = False
        self._tokens = 0.0
        self._tokens_at = now

    @property
    def options(self) -> ColdOptions:
        """Return what a cold server takes."""
        return self._options

    def set_options(self, options: ColdOptions) -> None:
        """Change what a cold server takes."""
        self._options = options
        self._sent = deque(self._sent, maxlen=max(1, options.count))

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold, or is assumed to be."""
        return now < self._until

    @property
    def is_assumed(self) -> bool:
        """Return whether the server may be cold but has not said so."""
        return self._assumed_at is not None

    def left_s(self, now: float) -> float:
        """Return the rest of the announced cold phase, in seconds; may be infinite."""
        return max(0.0, self._until - now)

    def announce(self, cold_s: float, now: float, *, as_of: float) -> None:
        """
        Record how long the server says that it stays cold, 0 if it isn't.

        It said so at `as_of` or later, so that an assumption made since remains.
        """
        if cold_s > 0.0:
            self._begin(now)
            self._until, self._assumed_at, self._ramp = now + cold_s, None, True
        elif self._assumed_at is None:
            self._until = min(self._until, now)
        elif as_of >= self._assumed_at:
            self._until, self._assumed_at = now, None

    def assume(self, now: float) -> None:
        """Assume that the server is cold until it says otherwise."""
        self._begin(now)
        self._until, self._assumed_at, self._ramp = math.inf, now, False

    def rate_per_s(self, now: float) -> float | None:
        """Return the starts per second that are allowed now, None if unlimited."""
        if not self._options.limits:
            return None
        rate_per_s = self._options.rate_per_s
        since_end_s = now - self._until
        if since_end_s < 0.0:
            return rate_per_s
        if not self._ramp or since_end_s >= COLD_RETURN_S:
            return None
        return rate_per_s * math.exp2(since_end_s / COLD_RETURN_DOUBLING_S)

    def allows_start(self, now: float) -> bool:
        """Return whether a call may start."""
        rate_per_s = self.rate_per_s(now)
        if rate_per_s is None:
            return True
        self._refill(rate_per_s, now)
        return self._tokens >= 1.0 and self.allows_write(now)

    def allows_write(self, now: float) -> bool:
        """Return whether a request may be written to the server."""
        return self._write_wait_s(now) <= 0.0

    def record_start(self, now: float) -> None:
        """Count a call that starts."""
        rate_per_s = self.rate_per_s(now)
        if rate_per_s is not None:
            self._refill(rate_per_s, now)
            self._tokens -= 1.0

    def record_write(self, now: float) -> None:
        """Count a request that is written to the server, also a health check."""
        self._sent.append(now)

    def sent_lately(self, now: float) -> int:
        """Return the requests written in the last second, up to the bound."""
        return sum(1 for at in self._sent if now - at < COLD_WINDOW_S)

    def wait_s(self, starts: int, now: float) -> float:
        """Return the seconds until this number of starts is allowed."""
        rate_per_s = self.rate_per_s(now)
        if rate_per_s is None:
            return 0.0
        self._refill(rate_per_s, now)
        paced_s = max(0.0, (starts - self._tokens) / rate_per_s)
        wait_s = max(paced_s, self._write_wait_s(now))
        return min(COLD_MAX_WAIT_S, self._until + COLD_RETURN_S - now, wait_s)

    def waits_too_long(self, context: CallContext, wait_s: float, now: float) -> bool:
        """
        Return whether a call would wait, or has waited, too long for a cold server.

        Its sender can try other servers. Nested calls may wait longer than root calls,
        since their refusal wastes the work that is already done.
        """
        if self.rate_per_s(now) is None:
            return False
        if context.depth == 0:
            return wait_s > COLD_ROOT_WAIT_S
        return wait_s > COLD_NESTED_WAIT_SHARE * (context.deadline - now)

    def capacity(self, slots: int, latency_s: float, now: float) -> int:
        """Return how many of the slots calls of this latency use at the limit."""
        rate_per_s = self.rate_per_s(now)
        if rate_per_s is None:
            return slots
        usable = math.ceil(rate_per_s * (latency_s or COLD_LATENCY_S))
        return min(slots, max(1, usable))

    def missing_tokens(self, now: float) -> float:
        """Return the starts that the server lacks for the next one, 0 if none."""
        rate_per_s = self.rate_per_s(now)
        if rate_per_s is None:
            return 0.0
        self._refill(rate_per_s, now)
        return max(0.0, 1.0 - self._tokens)

    def _begin(self, now: float) -> None:
        """Begin a cold phase: what was saved in a faster one is lost."""
        burst = _burst(self._options.rate_per_s)
        if self.rate_per_s(now) is None:
            self._tokens, self._tokens_at = 0.0, now
        self._tokens = min(self._tokens, burst)

    def _write_wait_s(self, now: float) -> float:
        if not self._options.limits or not self.is_cold(now):
            return 0.0
        count = self._options.count
        if count < 1:
            return self._until - now
        if len(self._sent) < count:
            return 0.0
        window_s = COLD_WINDOW_S + COLD_WINDOW_MARGIN_S
        return max(0.0, self._sent[-count] + window_s - now)

    def _refill(self, rate_per_s: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._tokens_at)
        self._tokens = min(_burst(rate_per_s), self._tokens + elapsed_s * rate_per_s)
        self._tokens_at = now


def _burst(rate_per_s: float) -> float:
    return max(1.0, rate_per_s * COLD_BURST_S)
