"""Limits that the servers of the soak name, and the check that they hold."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field

CONTACT_S = 3.0
"""Time after a server first named a limit from which it binds, seconds."""

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
"""In each window a server may get OVERAGE times what its limit allows, plus SLACK."""

TOLD_S = 0.5
"""Time after which a lower limit binds, seconds."""


WARMUP_PER_S = 2.0
COLD_OVERAGE = 1.5
COLD_SLACK = 4.0
COLD_CONTACT_S = 1.0
"""Time after a confirmed report of a cold phase from which its bound is checked."""


@dataclass
class ColdRecord:
    """
    When a server is cold, when its daemon confirmed a report of it, and its arrivals.

    Only one phase is counted at a time: a further one extends it.
    """

    arrivals: list[float] = field(default_factory=list)
    until: float = 0.0
    spans: list[tuple[float, float]] = field(default_factory=list)

    def begin(self, cold_s: float) -> None:
        """Let the server be cold for a while from now on."""
        self.until = time.monotonic() + cold_s

    def left_ms(self) -> int:
        """Return how long the server stays cold, in milliseconds."""
        return max(0, int(1000.0 * (self.until - time.monotonic())))

    def record_told(self, reported_ms: int) -> None:
        """Record that the daemon has confirmed a report."""
        if reported_ms:
            self.spans.append((time.monotonic() + COLD_CONTACT_S, self.until))

    def find_excess(self) -> Iterator[str]:
        """Yield a description of each span with a second of too many arrivals."""
        allowed = WARMUP_PER_S * COLD_OVERAGE + COLD_SLACK
        for start, end in self.spans:
            within = [at for at in self.arrivals if start <= at < end]
            for first in within:
                count = sum(1 for at in within if first <= at < first + 1.0)
                if count > allowed:
                    yield f"{count} in a second, {allowed:.1f} allowed"
                    break


@dataclass
class _Span:
    """Time in which a server names limits; `steps` are when it named which."""

    steps: list[tuple[float, float]]
    ended_at: float | None = None

    def allowed(self, start: float, end: float) -> float:
        """Return the requests that the limits allow between two times."""
        total = 0.0
        for number, (begins_at, limit) in enumerate(self.steps):
            last = number + 1 == len(self.steps)
            ends_at = end if last else self._binds_at(number + 1)
            begins_at = self._binds_at(number) if number else begins_at
            total += limit * max(0.0, min(end, ends_at) - max(start, begins_at))
        return OVERAGE * total + SLACK

    def _binds_at(self, number: int) -> float:
        at, limit = self.steps[number]
        return at + TOLD_S if limit < self.steps[number - 1][1] else at


@dataclass
class LimitRecord:
    """The limits that one server names, and the arrivals of its requests."""

    arrivals: list[float] = field(default_factory=list)
    spans: list[_Span] = field(default_factory=list)
    _limit: float | None = None

    def set_limit(self, limit: float | None, now: float) -> None:
        """Set the limit that responses name from now on, None for none."""
        self._limit = limit
        if limit is None and self.spans and self.spans[-1].ended_at is None:
            self.spans[-1].ended_at = now

    def name_limit(self, now: float) -> float | None:
        """Return the limit to name in a response that is sent now."""
        limit = self._limit
        if limit is None:
            return None
        if not self.spans or self.spans[-1].ended_at is not None:
            self.spans.append(_Span([(now, limit)]))
        steps = self.spans[-1].steps
        if steps[-1][1] != limit:
            steps.append((now, limit))
        return limit

    def find_excess(self) -> Iterator[str]:
        """Yield a description of each span with a window of too many arrivals."""
        for span in self.spans:
            binds_at = span.steps[0][0] + CONTACT_S
            until = span.ended_at
            binding = [
                at
                for at in self.arrivals
                if at >= binds_at and (until is None or at <= until)
            ]
            for number, start in enumerate(binding):
                end = (
                    start + WINDOW_S if until is None else min(until, start + WINDOW_S)
                )
                count = sum(1 for at in binding[number:] if at < end)
                allowed = span.allowed(start, start + WINDOW_S)
                if count > allowed:
                    limits = [limit for _, limit in span.steps]
                    yield f"{count} in {WINDOW_S} s, {allowed:.1f} allowed by {limits}"
                    break
