"""Guard of the daemon's own processor time: how many root calls may be in progress."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from damaskbay.core.admission.controller import (
    Decision,
    RefuseDecision,
    StartDecision,
)
from damaskbay.core.admission.queue import PendingCall, QueueEntry, WaitingQueue
from damaskbay.core.outcome import Reason, Refusal, not_run

LATE_S: Final = 0.012
"""Mean lateness of the event loop, seconds, from which calls are limited."""

DECREASE_LATE_S: Final = 0.02
"""Mean lateness, seconds, from which the limit of a limited daemon decreases."""

SLOW_LATE_S: Final = 0.01
"""The same where calls take more than SLOW_SHARE of their time limit."""

SLOW_SHARE: Final = 0.25
"""Mean part of its time limit that a call takes, from which calls count as slow."""

ON_TIME_SHARE: Final = 0.8
"""Part of these values below which more calls may be in progress."""

DURATION_GAIN: Final = 0.1
"""Weight of the newest call in the moving average of the durations."""

LATENESS_TIME_CONSTANT_S: Final = 0.2
"""Time constant of the moving average of the lateness, seconds."""

MAX_GAIN: Final = 0.24
MAX_SAMPLE_S: Final = 4.0 * LATE_S
"""Limit of a sample, seconds: one long pause says little about the next moment."""

HEADROOM: Final = 4.0
"""Calls that may start between two samples while the loop is on time."""

HEADROOM_SHARE: Final = 0.25
"""The same, as a part of the calls in progress."""

FIRST_FACTOR: Final = 0.7
"""Factor of the limit as the loop becomes late: more was begun than has shown yet."""

DECREASE_FACTOR: Final = 0.85
DECREASE_INTERVAL_S: Final = 0.2
INCREASE_SHARE: Final = 0.03
MIN_INCREASE: Final = 0.25
MIN_LIMIT: Final = 4.0

CALM_AFTER_S: Final = 2.0
"""Seconds with the limit hardly used, and the loop not late, until it is lifted."""

USED_SHARE: Final = 0.7
"""Part of the limit from which it counts as used."""

MAX_WAIT_SHARE: Final = 0.125
"""Part of its time limit that a call may wait for its start."""

QUEUE_S: Final = 0.15
"""Length of the queue of a limited daemon, in seconds of starts."""

MIN_QUEUE: Final = 4
MAX_QUEUE: Final = 256
"""Calls that wait for the next sample while the loop is on time."""

MAX_REFUSALS_PER_START: Final = 8.0
"""Refusals for each start from which callers are read later, as they cost too much."""

RATE_TIME_CONSTANT_S: Final = 1.0
MIN_STARTS_PER_S: Final = 0.5
MIN_RETRY_AFTER_S: Final = 0.4
MAX_RETRY_AFTER_S: Final = 5.0


@dataclass(slots=True)
class _DecayingRate:
    """Events per second, averaged over RATE_TIME_CONSTANT_S."""

    value_per_s: float = 0.0
    updated_at: float = 0.0

    def add(self, count: float, now: float) -> None:
        self.value_per_s = self.at(now) + count / RATE_TIME_CONSTANT_S
        self.updated_at = now

    def at(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.value_per_s * math.exp(-age_s / RATE_TIME_CONSTANT_S)


class ProcessorGuard:
    """
    Decides which root calls a daemon begins, so that its event loop stays on time.

    While the loop is on time, nothing is refused. If it is late, the processor is
    short: every call in progress takes longer, and without a limit most would end
    after their time limit, though the work for them was done. The limit of the calls
    in progress then decreases until the loop is on time again. Serving many calls makes
    it late without harm, so it may be later as long as calls take a small part of their
    time limit. Calls beyond the limit wait for a small part of theirs, by priority and
    fairly among workspaces. Nested calls belong to calls that were begun, and are not
    limited.

    Each offered ticket gets one StartDecision or RefuseDecision unless it is
    withdrawn; each started one needs a `finish`. Times are in seconds of one monotonic
    clock.
    """

    def __init__(self, rng: Random, now: float) -> None:
        self._rng = rng
        self._queue = WaitingQueue()
        self._limit = HEADROOM
        self._late_s = 0.0
        self._duration_share = 0.0
        self._sampled_at = now
        self._decrease_not_before = now
        self._used_at = self._late_at = now
        self._starts = _DecayingRate(updated_at=now)
        self._refusals_by_rank: dict[int, _DecayingRate] = {}
        self.in_progress = 0
        self.is_limiting = False

    @property
    def limit(self) -> int:
        """Return how many root calls may be in progress."""
        return max(1, int(self._limit))

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for their start."""
        return len(self._queue)

    @property
    def late_s(self) -> float:
        """Return the mean lateness of the event loop, in seconds."""
        return self._late_s

    @property
    def excess_load(self) -> float:
        """
        Return what is added to the load that peers see, 0 to 1.

        It exceeds 0 if the loop is late although calls are limited, as other processes
        or the calls of peers take the processor.
        """
        return min(1.0, max(0.0, self._late_s / DECREASE_LATE_S - 1.0))

    def is_full(self, now: float) -> bool:
        """Return whether one more call would have this or another one refused."""
        if not self.is_limiting or self.in_progress < self.limit:
            return False
        return len(self._queue) >= self._max_queue_length(now)

    def refuse_at_once(self, rank: int, now: float) -> Refusal | None:
        """Return a refusal for a call that would find no place in the queue."""
        if not self.is_full(now) or rank < self._queue.least_important_rank():
            return None
        return self._refusal(rank, now)

    def refuses_too_many(self, now: float) -> bool:
        """Return whether refusals take the processor from the calls that are begun."""
        if not self.is_limiting:
            return False
        starts_per_s = max(MIN_LIMIT, self._starts.at(now))
        refused_per_s = sum(rate.at(now) for rate in self._refusals_by_rank.values())
        return refused_per_s > MAX_REFUSALS_PER_START * starts_per_s

    def start_at_once(self, now: float) -> bool:
        """Start a call if it doesn't have to wait; return whether it started."""
        if self._queue or self.in_progress >= self.limit:
            return False
        self._start(now)
        return True

    def offer(self, item: PendingCall, now: float) -> Sequence[Decision]:
        """Let a call wait; return the decisions that became due."""
        wait_s = MAX_WAIT_SHARE * max(0.0, item.context.deadline - now)
        self._queue.push(QueueEntry(item, now, now + wait_s))
        return self._decide(now)

    def withdraw(self, ticket: int) -> None:
        """Remove a waiting call; no decision on it follows."""
        self._queue.remove(ticket)

    def finish(self, now: float) -> Sequence[Decision]:
        """Record the end of a started call; return the decisions that became due."""
        self.in_progress -= 1
        return self._decide(now)

    def record_lateness(self, late_s: float, now: float) -> Sequence[Decision]:
        """Adapt the limit to a sample; return the decisions that became due."""
        gain = min(MAX_GAIN, (now - self._sampled_at) / LATENESS_TIME_CONSTANT_S)
        self._sampled_at = now
        sample_s = min(MAX_SAMPLE_S, max(0.0, late_s))
        self._late_s += gain * (sample_s - self._late_s)
        if self._is_late(1.0):
            self._decrease(now)
        elif not self.is_limiting:
            self._limit = HEADROOM + (1.0 + HEADROOM_SHARE) * self.in_progress
        else:
            self._relax(now)
        return self._decide(now)

    def record_duration(self, took_s: float, timeout_s: float) -> None:
        """Record how long a call took, and its time limit, in seconds."""
        share = took_s / timeout_s if took_s < timeout_s else 1.0
        self._duration_share += DURATION_GAIN * (share - self._duration_share)

    def _is_late(self, part: float) -> bool:
        """Return whether the loop is later than a part of what is allowed."""
        if not self.is_limiting:
            return self._late_s > part * LATE_S
        is_slow = self._duration_share > part * SLOW_SHARE
        return self._late_s > part * (SLOW_LATE_S if is_slow else DECREASE_LATE_S)

    def _decrease(self, now: float) -> None:
        self._late_at = now
        if self._is_used():
            self._used_at = now
        if not self.is_limiting:
            self.is_limiting = True
            used = min(self._limit, float(self.in_progress))
            self._limit = max(MIN_LIMIT, FIRST_FACTOR * used)
        # Calls beyond the limit are still ending; it has had no effect yet.
        if now < self._decrease_not_before or self.in_progress > self.limit:
            return
        self._decrease_not_before = now + DECREASE_INTERVAL_S
        used = min(self._limit, float(self.in_progress))
        self._limit = max(MIN_LIMIT, DECREASE_FACTOR * used)

    def _relax(self, now: float) -> None:
        is_on_time = not self._is_late(ON_TIME_SHARE)
        if self._is_used():
            self._used_at = now
            if is_on_time:
                self._limit += max(MIN_INCREASE, INCREASE_SHARE * self._limit)
            return
        # A limit that nothing uses doesn't mend the lateness that is left.
        calm_since = self._used_at if is_on_time else max(self._used_at, self._late_at)
        if now - calm_since > CALM_AFTER_S:
            self.is_limiting = False

    def _is_used(self) -> bool:
        return bool(self._queue) or self.in_progress >= USED_SHARE * self._limit

    def _decide(self, now: float) -> Sequence[Decision]:
        """Start what may start; end long waits; refuse what finds no place."""
        decisions: list[Decision] = []
        while self._queue and self.in_progress < self.limit:
            decisions.append(self._start_waiting(self._queue.next_to_start(now), now))
        # A loop that is on time gives no reason to refuse what has waited.
        end_wait = self._refuse if self.is_limiting else self._start_waiting
        for entry in self._queue.least_important_first():
            if now >= entry.wait_until:
                decisions.append(end_wait(entry, now))
        while len(self._queue) > self._max_queue_length(now):
            decisions.append(self._refuse(self._queue.next_to_refuse(now), now))
        return decisions

    def _start(self, now: float) -> None:
        self.in_progress += 1
        self._starts.add(1.0, now)

    def _start_waiting(self, entry: QueueEntry, now: float) -> StartDecision:
        self._queue.remove_started(entry, now)
        self._start(now)
        return StartDecision(entry.item.ticket)

    def _refuse(self, entry: QueueEntry, now: float) -> RefuseDecision:
        self._queue.remove(entry.item.ticket)
        return RefuseDecision(entry.item.ticket, self._refusal(entry.rank, now))

    def _refusal(self, rank: int, now: float) -> Refusal:
        self._refusals_by_rank.setdefault(rank, _DecayingRate()).add(1.0, now)
        detail = f"event loop is {self._late_s:.3f} s late"
        wait_s = self._retry_after_s(rank, now)
        return not_run(Reason.OVERLOADED, retry_after_s=wait_s, detail=detail)

    def _retry_after_s(self, rank: int, now: float) -> float:
        """
        Return a random retry delay, in seconds.

        Its mean is the time in which the daemon starts the calls of this and of more
        important ranks that it has refused in a second, so that those return first.
        """
        refused = sum(
            rate.at(now)
            for refused_rank, rate in self._refusals_by_rank.items()
            if refused_rank <= rank
        )
        mean_s = refused / max(MIN_STARTS_PER_S, self._starts.at(now))
        bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, mean_s))
        return self._rng.uniform(0.5, 1.5) * bounded_s

    def _max_queue_length(self, now: float) -> int:
        if not self.is_limiting:
            return MAX_QUEUE
        return max(MIN_QUEUE, int(QUEUE_S * self._starts.at(now)))
