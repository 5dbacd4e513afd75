"""Health of a backend server as measured by one daemon."""

import math
from dataclasses import dataclass
from enum import Enum
from random import Random

from damaskbay.core.admission.level import OPEN_LEVEL, pass_share
from damaskbay.core.outcome import Reason
from damaskbay.core.routing.const import (
    EJECT_BELOW_SUCCESS_SHARE,
    EJECT_CONSECUTIVE_FAILURES,
    EJECT_MIN_CALLS,
    EJECTION_BASE_S,
    EJECTION_JITTER_SHARE,
    EJECTION_MAX_S,
    LEVEL_EXPIRY_S,
    LEVEL_FULL_WEIGHT_S,
    LOAD_EXPIRY_S,
    LOAD_FRESH_S,
    LOAD_MEAN_S,
    LOAD_REPLACE_AFTER_S,
    MIN_SUCCESS_SHARE,
    MIN_WARMTH,
    PROBE_INTERVAL_S,
    PROBE_SUCCESSES,
    REPORTED_LOAD_MAX_AGE_S,
    REPORTED_LOAD_WEIGHT,
    SLOW_START_S,
    SUCCESS_GAIN,
)
from damaskbay.core.routing.speed import ServerSpeed, UsualTimes
from damaskbay.ports.fleet import ServerView


class FailureKind(Enum):
    """How a call without a complete response ended."""

    REFUSED = "refused"
    """Admission control at the target refused the call, so the server is alive."""

    CANCELLED = "cancelled"
    """The caller cancelled the call, which gives no information about the server."""

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
"""Failure kind by the reason with which a call was refused after it was sent."""

_SERVER_FAILURES = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.LOST,
        FailureKind.FAILED,
        FailureKind.TIMEOUT,
    }
)


@dataclass(frozen=True, slots=True)
class RouteOutcome:
    """
    Result of one attempt, with the level and load that the response carried.

    `service_s` is the time that the server worked on the call, None if it is unknown or
    depended on nested calls.
    """

    latency_s: float
    admission_level: int | None = None
    failure: FailureKind | None = None
    load: float | None = None
    service_s: float | None = None


class Health:
    """Calls in flight, admission level and outcomes of one server incarnation."""

    def __init__(
        self, view: ServerView, now: float, usual_times: UsualTimes | None = None
    ) -> None:
        self.incarnation = view.incarnation
        self.speed = ServerSpeed(usual_times or UsualTimes(), now)
        self.in_flight = 0
        self.last_seen_at = now
        self._level = OPEN_LEVEL
        self._level_updated_at = now
        self._success_share = 1.0
        self._calls = 0
        self._consecutive_failures = 0
        self._ejected_until: float | None = None
        self._ejections = 0
        self._probe_not_before = now
        self._probe_successes = 0
        self._restored_at: float | None = None
        self._load = self._mean_load = view.load
        self._load_updated_at = now
        self._in_flight_at_load_update = 0

    def update(self, view: ServerView, now: float) -> None:
        """
        Update from a fleet report.

        A changed load replaces one older than LOAD_REPLACE_AFTER_S; an unchanged one
        doesn't count as fresh.
        """
        self.last_seen_at = now
        if (
            view.load != self._load
            and now - self._load_updated_at > LOAD_REPLACE_AFTER_S
        ):
            self._update_load(view.load, now)

    def pass_share(self, rank: int, now: float) -> float:
        """Return the share of a rank's calls to let pass, 0 to 1; 1 without a level."""
        share = pass_share(self._level, rank)
        age_s = now - self._level_updated_at
        if age_s <= LEVEL_FULL_WEIGHT_S:
            return share
        if age_s >= LEVEL_EXPIRY_S:
            return 1.0
        expired_fraction = (age_s - LEVEL_FULL_WEIGHT_S) / (
            LEVEL_EXPIRY_S - LEVEL_FULL_WEIGHT_S
        )
        return share + (1.0 - share) * expired_fraction

    def warmth(self, view: ServerView, now: float) -> float:
        """Return the usable share of the capacity, below 1 during slow start."""
        warming_since = view.ready_at
        if self._restored_at is not None and self._restored_at > warming_since:
            warming_since = self._restored_at
        if now - warming_since >= SLOW_START_S:
            return 1.0
        return max(MIN_WARMTH, (now - warming_since) / SLOW_START_S)

    def measured_occupancy(self, view: ServerView, now: float) -> float:
        """Return the calls in flight from this daemon, plus one, per warm slot."""
        return (self.in_flight + 1) / (max(1, view.slots) * self.warmth(view, now))

    def reported_occupancy(self, view: ServerView, now: float) -> float:
        """
        Return the calls per warm slot, including one more call.

        Counts the target's reported load and the calls sent since, or the calls in
        flight from this daemon if they are more or the report has expired. A report
        that ages counts less than the mean of the last ones: what others have sent
        since is unknown, and all would choose the server with the lowest old report.
        """
        warmth = self.warmth(view, now)
        slots = view.slots or 1
        per_slot = (self.in_flight + 1) / slots
        age_s = now - self._load_updated_at
        if age_s <= LOAD_EXPIRY_S:
            sent_since = self.in_flight - self._in_flight_at_load_update + 1
            load = self._mean_load
            load += (self._load - load) * math.exp(-age_s / LOAD_FRESH_S)
            occupancy = load + sent_since / slots
            if occupancy > per_slot:
                per_slot = occupancy
        return per_slot / warmth

    def reported_score(self, view: ServerView, now: float) -> float:
        """
        Return the expected time until one more call ends; lower is better.

        The unit is the usual time of a call at a server of the pool.
        """
        own_and_wait = 1.0 + self.reported_occupancy(view, now)
        success_share = max(MIN_SUCCESS_SHARE, self._success_share)
        return own_and_wait / (self.speed.value(now) * success_share)

    def measured_score(self, view: ServerView, rank: int, now: float) -> float:
        """Return the cost of one more call by local measurement; lower is better."""
        age_s = now - self._load_updated_at
        freshness = max(0.0, 1.0 - age_s / REPORTED_LOAD_MAX_AGE_S)
        load_factor = 1.0 + REPORTED_LOAD_WEIGHT * freshness * min(
            1.0, max(0.0, view.load)
        )
        expected_success_share = max(
            MIN_SUCCESS_SHARE, self._success_share * self.pass_share(rank, now)
        )
        return self.measured_occupancy(view, now) * load_factor / expected_success_share

    def is_ejected(self) -> bool:
        """Return whether the server is ejected and gets only probe calls."""
        return self._ejected_until is not None

    def probe_due(self, now: float) -> bool:
        """Return whether the ejected server should get one real call as a probe."""
        ejected_until = self._ejected_until
        return ejected_until is not None and now >= max(
            ejected_until, self._probe_not_before
        )

    def record_start(self, now: float) -> None:
        """Record a sent call."""
        self.in_flight += 1
        self._probe_not_before = now + PROBE_INTERVAL_S

    def record_end(self, outcome: RouteOutcome, now: float) -> None:
        """Record the end of a call."""
        self.in_flight = max(0, self.in_flight - 1)
        if outcome.admission_level is not None:
            self._level = outcome.admission_level
            self._level_updated_at = now
        if outcome.load is not None:
            self._update_load(outcome.load, now)
        if outcome.failure in (FailureKind.REFUSED, FailureKind.CANCELLED):
            return
        failed = outcome.failure in _SERVER_FAILURES
        self._calls += 1
        self._success_share += SUCCESS_GAIN * (
            (0.0 if failed else 1.0) - self._success_share
        )
        self._consecutive_failures = self._consecutive_failures + 1 if failed else 0
        if self.is_ejected():
            self._record_probe(failed, now)

    def is_outlier(self) -> bool:
        """Return whether measured outcomes make the server an outlier."""
        if self._consecutive_failures >= EJECT_CONSECUTIVE_FAILURES:
            return True
        return (
            self._calls >= EJECT_MIN_CALLS
            and self._success_share < EJECT_BELOW_SUCCESS_SHARE
        )

    def eject(self, now: float, rng: Random) -> None:
        """Eject the server; the time doubles with each ejection, up to a maximum."""
        duration_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**self._ejections)
        jitter = rng.uniform(1.0 - EJECTION_JITTER_SHARE, 1.0)
        self._ejected_until = now + duration_s * jitter
        self._ejections += 1
        self._probe_successes = 0
        self._probe_not_before = now

    def _update_load(self, load: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._load_updated_at)
        weight = 1.0 - math.exp(-elapsed_s / LOAD_MEAN_S)
        self._mean_load += weight * (load - self._mean_load)
        self._load = load
        self._load_updated_at = now
        self._in_flight_at_load_update = self.in_flight

    def _record_probe(self, failed: bool, now: float) -> None:
        if failed:
            self._probe_successes = 0
            return
        self._probe_successes += 1
        if self._probe_successes >= PROBE_SUCCESSES:
            self._restore(now)

    def _restore(self, now: float) -> None:
        """End the ejection; the server starts slowly, as after a restart."""
        self._ejected_until = None
        self._ejections = max(0, self._ejections - 1)
        self._calls = 0
        self._success_share = 1.0
        self._restored_at = now
