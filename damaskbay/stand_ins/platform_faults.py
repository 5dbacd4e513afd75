"""Faults and request counters of the platform stand-in."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

_WINDOW_S = 1.0


class CallKind(Enum):
    """How a request is counted. A waiting watch counts as one request."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class Faults:
    """
    The faults to inject.

    `delay_s` delays each request except watches. `lose_answers` is the number of
    next writes that take effect but whose replies are lost; `drop_writes` is the
    number of next writes that are lost before they take effect. `cut_clients`
    cannot reach the platform. Requests above the maximum rates fail as busy; None
    means no limit.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    drop_writes: int = 0
    cut_clients: frozenset[str] = frozenset()
    max_reads_per_s: int | None = None
    max_writes_per_s: int | None = None

    def unreachable(self, client: str) -> bool:
        """Return whether no request of this client reaches the platform."""
        return self.outage or client in self.cut_clients


@dataclass(slots=True)
class Counters:
    """
    Requests so far, including busy ones; `waiting` is the number of open watches.

    Reads include watches, as in the platform's rate limit.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    busy: int = 0
    waiting: int = 0
    by_client: Counter[str] = field(default_factory=Counter)


class CallMeter:
    """Counts requests and applies the limits per second."""

    def __init__(self) -> None:
        self.counters = Counters()
        self._recent_reads: deque[float] = deque()
        self._recent_writes: deque[float] = deque()

    def exceeds_limit(
        self, kind: CallKind, client: str, faults: Faults, now: float
    ) -> bool:
        """Count one request; return whether it exceeds the limit and fails as busy."""
        counters = self.counters
        counters.by_client[client] += 1
        if kind is CallKind.WRITE:
            counters.writes += 1
            exceeded = _exceeds(self._recent_writes, faults.max_writes_per_s, now)
        else:
            counters.reads += 1
            counters.watches += kind is CallKind.WATCH
            exceeded = _exceeds(self._recent_reads, faults.max_reads_per_s, now)
        counters.busy += exceeded
        return exceeded


def _exceeds(recent: deque[float], limit: int | None, now: float) -> bool:
    if limit is None:
        return False
    while recent and recent[0] <= now - _WINDOW_S:
        recent.popleft()
    if len(recent) >= limit:
        return True
    recent.append(now)
    return False
