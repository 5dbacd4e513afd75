"""What one daemon has measured of one backend server."""

from dataclasses import dataclass
from enum import Enum
from random import Random

from damaskbay.core.admission.level import OPEN_LEVEL, pass_share
from damaskbay.core.outcome import Reason
from damaskbay.core.routing.const import (
    EJECTED_FIRST_S,
    EJECTED_JITTER_SHARE,
    EJECTED_LONGEST_S,
    FAILING_CALLS,
    FAILING_SHARE,
    FAILURES_IN_A_ROW,
    HINT_AGE_S,
    HINT_WEIGHT,
    LEVEL_FRESH_S,
    LEVEL_GONE_S,
    LOAD_FRESH_S,
    LOAD_GONE_S,
    SLOW_START_S,
    SUCCESS_GAIN,
    SUCCESS_LOWEST,
    TRICKLE_S,
    TRICKLE_SUCCESSES,
    WARMTH_LOWEST,
)
from damaskbay.ports.fleet import ServerView


class FailureKind(Enum):
    """How a call that brought no whole answer ended."""

    REFUSED = "refused"
    """The target's admission refused: it is alive and says how loaded it is."""

    CANCELLED = "cancelled"
    """The caller gave up: says nothing of the server."""

    UNREACHABLE = "unreachable"
    LOST = "lost"
    FAILED = "failed"
    TIMEOUT = "timeout"


FAILURES_BY_REASON = {
    Reason.PEER_UNREACHABLE: FailureKind.UNREACHABLE,
    Reason.PEER_LOST: FailureKind.LOST,
    Reason.BACKEND_SERVER_FAILED: FailureKind.FAILED,
    Reason.ANSWER_INCOMPLETE: FailureKind.FAILED,
    Reason.INTERNAL_ERROR: FailureKind.FAILED,
    Reason.DEADLINE_PASSED: FailureKind.TIMEOUT,
    Reason.CANCELLED: FailureKind.CANCELLED,
}
"""How a refusal after a send counts against the server."""

_OF_THE_SERVER = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.LOST,
        FailureKind.FAILED,
        FailureKind.TIMEOUT,
    }
)


@dataclass(frozen=True, slots=True)
class RouteOutcome:
    """How one send ended: seconds it took, level and load that rode back, failure."""

    latency_s: float
    admission_level: int | None = None
    failure: FailureKind | None = None
    load: float | None = None


class Health:
    """Own outstanding work, admission level and outcomes of one incarnation."""

    def __init__(self, view: ServerView, now: float) -> None:
        self.incarnation = view.incarnation
        self.outstanding = 0
        self.seen_at = now
        self._level = OPEN_LEVEL
        self._level_at = now
        self._success = 1.0
        self._calls = 0
        self._failed_in_a_row = 0
        self._ejected_until: float | None = None
        self._ejections = 0
        self._trickle_at = now
        self._trickle_successes = 0
        self._warm_from: float | None = None
        self._load = view.load
        self._load_at = now
        self._outstanding_then = 0

    def look(self, view: ServerView, now: float) -> None:
        """Take in what is reported; only a changed load counts as fresh."""
        self.seen_at = now
        if view.load != self._load and now - self._load_at > LOAD_FRESH_S:
            self._reported(view.load, now)

    def pass_share(self, rank: int, now: float) -> float:
        """Return the share of calls of a rank that the server can take, 0 to 1."""
        share = pass_share(self._level, rank)
        age_s = now - self._level_at
        if age_s <= LEVEL_FRESH_S:
            return share
        if age_s >= LEVEL_GONE_S:
            return 1.0
        faded = (age_s - LEVEL_FRESH_S) / (LEVEL_GONE_S - LEVEL_FRESH_S)
        return share + (1.0 - share) * faded

    def warmth(self, view: ServerView, now: float) -> float:
        """Return the share of its capacity that a server can be trusted with."""
        since = view.ready_at
        if self._warm_from is not None and self._warm_from > since:
            since = self._warm_from
        if now - since >= SLOW_START_S:
            return 1.0
        return max(WARMTH_LOWEST, (now - since) / SLOW_START_S)

    def occupancy(self, view: ServerView, now: float) -> float:
        """Return own outstanding work, one more call added, per trusted slot."""
        return (self.outstanding + 1) / (max(1, view.slots) * self.warmth(view, now))

    def trusted_occupancy(self, view: ServerView, now: float) -> float:
        """Return the same by what the target's daemon counted, while that is fresh."""
        warmth = self.warmth(view, now)
        slots = view.slots or 1
        per_slot = (self.outstanding + 1) / slots
        if now - self._load_at <= LOAD_GONE_S:
            since = self.outstanding - self._outstanding_then + 1
            counted = self._load + since / slots
            if counted > per_slot:
                per_slot = counted
        return per_slot / warmth

    def trusted_score(self, view: ServerView, now: float) -> float:
        """Return how unwelcome one more call is, by what its daemon counted."""
        return self.trusted_occupancy(view, now) / max(SUCCESS_LOWEST, self._success)

    def score(self, view: ServerView, rank: int, now: float) -> float:
        """Return how unwelcome one more call is; lower is better."""
        age_s = now - self._load_at
        trust = max(0.0, 1.0 - age_s / HINT_AGE_S)
        hint = 1.0 + HINT_WEIGHT * trust * min(1.0, max(0.0, view.load))
        usable = max(SUCCESS_LOWEST, self._success * self.pass_share(rank, now))
        return self.occupancy(view, now) * hint / usable

    def ejected(self) -> bool:
        """Tell whether the server gets a trickle only."""
        return self._ejected_until is not None

    def trickle_due(self, now: float) -> bool:
        """Tell whether an ejected server should get one real call."""
        until = self._ejected_until
        return until is not None and now >= max(until, self._trickle_at)

    def started(self, now: float) -> None:
        """Count a call that is sent."""
        self.outstanding += 1
        self._trickle_at = now + TRICKLE_S

    def finished(self, outcome: RouteOutcome, now: float) -> None:
        """Count the end of a call."""
        self.outstanding = max(0, self.outstanding - 1)
        if outcome.admission_level is not None:
            self._level = outcome.admission_level
            self._level_at = now
        if outcome.load is not None:
            self._reported(outcome.load, now)
        if outcome.failure in (FailureKind.REFUSED, FailureKind.CANCELLED):
            return
        failed = outcome.failure in _OF_THE_SERVER
        self._calls += 1
        self._success += SUCCESS_GAIN * ((0.0 if failed else 1.0) - self._success)
        self._failed_in_a_row = self._failed_in_a_row + 1 if failed else 0
        if self.ejected():
            self._trickled(failed, now)

    def failing(self) -> bool:
        """Tell whether measured outcomes make the server an outlier."""
        if self._failed_in_a_row >= FAILURES_IN_A_ROW:
            return True
        return self._calls >= FAILING_CALLS and self._success < FAILING_SHARE

    def eject(self, now: float, rng: Random) -> None:
        """Give the server no calls for a while, longer each time in a row."""
        longest_s = min(EJECTED_LONGEST_S, EJECTED_FIRST_S * 2.0**self._ejections)
        jitter = rng.uniform(1.0 - EJECTED_JITTER_SHARE, 1.0)
        self._ejected_until = now + longest_s * jitter
        self._ejections += 1
        self._trickle_successes = 0
        self._trickle_at = now

    def _reported(self, load: float, now: float) -> None:
        self._load = load
        self._load_at = now
        self._outstanding_then = self.outstanding

    def _trickled(self, failed: bool, now: float) -> None:
        if failed:
            self._trickle_successes = 0
            return
        self._trickle_successes += 1
        if self._trickle_successes >= TRICKLE_SUCCESSES:
            self._restore(now)

    def _restore(self, now: float) -> None:
        self._ejected_until = None
        self._ejections = max(0, self._ejections - 1)
        self._calls = 0
        self._success = 1.0
        self._warm_from = now
