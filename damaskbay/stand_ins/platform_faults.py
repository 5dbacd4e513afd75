"""Fault switches and call counters of the platform stand-in."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

_WINDOW_S = 1.0


class CallKind(Enum):
    """What a call counts as. A waiting watch counts as one call."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class Faults:
    """
    What is wrong with the platform.

    `delay_s` slows each call but watches. `lose_answers`: so many of the next
    writes take effect and their answers are lost. `drop_writes`: so many of the
    next writes are lost on the way there. `cut_clients` can't reach it. The
    limits refuse calls above a rate as busy; None means no limit.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    drop_writes: int = 0
    cut_clients: frozenset[str] = frozenset()
    max_reads_per_s: int | None = None
    max_writes_per_s: int | None = None

    def unreachable(self, client: str) -> bool:
        """Tell whether this client's calls have no effect at all."""
        return self.outage or client in self.cut_clients


@dataclass(slots=True)
class Counters:
    """
    Calls so far, refused ones included. `waiting` watches are open now.

    Reads include watches, as the platform's rate does.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    busy: int = 0
    waiting: int = 0
    by_client: Counter[str] = field(default_factory=Counter)


class CallMeter:
    """Counts calls and tells which ones exceed the limits of a second."""

    def __init__(self) -> None:
        self.counters = Counters()
        self._recent_reads: deque[float] = deque()
        self._recent_writes: deque[float] = deque()

    def busy(self, kind: CallKind, client: str, faults: Faults, now: float) -> bool:
        """Count one call; tell whether it has to be refused as busy."""
        counters = self.counters
        counters.by_client[client] += 1
        if kind is CallKind.WRITE:
            counters.writes += 1
            refused = _exceeds(self._recent_writes, faults.max_writes_per_s, now)
        else:
            counters.reads += 1
            counters.watches += kind is CallKind.WATCH
            refused = _exceeds(self._recent_reads, faults.max_reads_per_s, now)
        counters.busy += refused
        return refused


def _exceeds(recent: deque[float], limit: int | None, now: float) -> bool:
    if limit is None:
        return False
    while recent and recent[0] <= now - _WINDOW_S:
        recent.popleft()
    if len(recent) >= limit:
        return True
    recent.append(now)
    return False
