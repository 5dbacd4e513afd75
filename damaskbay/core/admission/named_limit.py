"""The limit of requests per second that a backend server names in its responses."""

import math

from damaskbay.core.admission.const import (
    LIMIT_BURST_S,
    LIMIT_MIN_PER_S,
    LIMIT_RETURN_DOUBLING_S,
    LIMIT_RETURN_MAX_STEP_S,
    LIMIT_RETURN_S,
    LIMIT_STALE_S,
    START_RATE_TIME_CONSTANT_S,
)


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


class NamedLimit:
    """
    Limits the starts at a server to the rate that its responses name.

    The starts of all callers are counted here, since only the daemon beside a server
    sends to it. Until the first response of a server's start, only `unheard_calls`
    calls run at once: a daemon that restarts or a new one does not know yet whether
    there is a limit. None lets any number run.

    A response without a limit doesn't end it at once, since responses of several
    connections may be read out of order, and a server that recovers should not get
    all waiting calls together. The rate doubles every LIMIT_RETURN_DOUBLING_S
    while such responses arrive, and is unlimited after LIMIT_RETURN_S.
    """

    def __init__(self, unheard_calls: int | None, now: float) -> None:
        self._unheard_calls = unheard_calls
        self._start_rate = StartRate(now)
        self.reset(now)

    def reset(self, now: float) -> None:
        """Forget the limit and the responses of an earlier start of the server."""
        self._heard = self._unheard_calls is None
        self._rate_per_s: float | None = None
        self._tokens = 0.0
        self._tokens_at = now
        self._response_at = now
        self._return_s = 0.0

    @property
    def rate_per_s(self) -> float | None:
        """Return the starts per second that are allowed now, None if unlimited."""
        return self._rate_per_s

    def starts_per_s(self, now: float) -> float:
        """Return the recent starts per second."""
        return self._start_rate.per_s(now)

    def record_response(self, limit_per_s: float | None, now: float) -> None:
        """Record the limit that a response names, None for a response without one."""
        self._heard = True
        if limit_per_s is not None:
            self._set_rate(max(LIMIT_MIN_PER_S, limit_per_s), now)
            self._return_s = 0.0
        elif self._rate_per_s is not None:
            self._raise_rate(self._rate_per_s, now)
        self._response_at = now

    def is_stale(self, now: float) -> bool:
        """Return whether a limit holds that no recent response has confirmed."""
        return self._rate_per_s is not None and now - self._response_at > LIMIT_STALE_S

    def record_start(self, now: float) -> None:
        """Count a request that is sent to the server."""
        self._start_rate.record_start(now)
        if self._rate_per_s is not None:
            self._refill(self._rate_per_s, now)
            self._tokens -= 1.0

    def allows_start(self, running: int, now: float) -> bool:
        """
        Return whether a call may start.

        `running` is the number of calls that run at the server since its start.
        """
        if not self._heard and self._unheard_calls is not None:
            return running < self._unheard_calls
        if self._rate_per_s is None:
            return True
        self._refill(self._rate_per_s, now)
        return self._tokens >= 1.0

    def wait_s(self, starts: int, now: float) -> float:
        """Return the seconds until this number of starts is allowed."""
        if self._rate_per_s is None:
            return 0.0
        self._refill(self._rate_per_s, now)
        return max(0.0, (starts - self._tokens) / self._rate_per_s)

    def capacity(self, slots: int, latency_s: float) -> int:
        """Return how many of the slots calls of this latency use at the limit."""
        if self._rate_per_s is None or latency_s <= 0.0:
            return slots
        return min(slots, max(1, math.ceil(self._rate_per_s * latency_s)))

    def _set_rate(self, rate_per_s: float, now: float) -> None:
        if self._rate_per_s is None:
            self._tokens, self._tokens_at = 0.0, now
        else:
            self._refill(self._rate_per_s, now)
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, _burst(rate_per_s))

    def _raise_rate(self, rate_per_s: float, now: float) -> None:
        """Raise the rate by the time since the last response, and end it at last."""
        step_s = min(LIMIT_RETURN_MAX_STEP_S, max(0.0, now - self._response_at))
        self._return_s += step_s
        if self._return_s >= LIMIT_RETURN_S:
            self._rate_per_s = None
            return
        self._set_rate(rate_per_s * 2.0 ** (step_s / LIMIT_RETURN_DOUBLING_S), now)

    def _refill(self, rate_per_s: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._tokens_at)
        self._tokens = min(_burst(rate_per_s), self._tokens + elapsed_s * rate_per_s)
        self._tokens_at = now


def _burst(rate_per_s: float) -> float:
    return max(1.0, rate_per_s * LIMIT_BURST_S)
