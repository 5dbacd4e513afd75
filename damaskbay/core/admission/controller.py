"""Admission control for the calls to one backend server."""

from dataclasses import dataclass
from random import Random

from damaskbay.core.admission.cold_limit import ColdLimit
from damaskbay.core.admission.const import (
    LATENCY_QUANTILE,
    MEAN_LATENCY_GAIN,
    NESTED_LATENCY_QUANTILE,
    PROBE_INTERVAL_S,
    QUEUE_MIN_LENGTH,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_S,
)
from damaskbay.core.admission.latency import LatencyEstimate
from damaskbay.core.admission.level import LevelController
from damaskbay.core.admission.limit import CallSample
from damaskbay.core.admission.named_limit import NamedLimit
from damaskbay.core.admission.options import AdmissionOptions
from damaskbay.core.admission.queue import PendingCall, QueueEntry, WaitingQueue
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run

LOWER_RANK = 1
"""Any rank less important than 0: only a queue of rank 0 alone may be longer."""


@dataclass(frozen=True, slots=True)
class StartDecision:
    """Decision to send the call to the backend server now."""

    ticket: int


@dataclass(frozen=True, slots=True)
class RefuseDecision:
    """Decision to refuse the call, which has not run."""

    ticket: int
    refusal: Refusal


Decision = StartDecision | RefuseDecision


class AdmissionController:
    """
    Decides which calls run, wait or are refused at one backend server.

    When a call is refused for lack of capacity, no call of a less important rank
    is waiting, none has started since the call arrived, and the number of running
    calls or the rate of starts has reached its limit. Running calls are never
    preempted.

    Each method with a return type of decisions returns all decisions that became
    due. Each offered ticket gets one StartDecision or RefuseDecision unless it is
    withdrawn. Times are in seconds of one monotonic clock.
    """

    def __init__(self, options: AdmissionOptions, rng: Random, now: float) -> None:
        self._options = options
        self._rng = rng
        self._limit = options.limit(options.slots, now)
        self._slots = options.slots
        self._queue = WaitingQueue(deadline_first=options.deadline_first)
        self._latency_by_route_and_rank: dict[tuple[str, int], LatencyEstimate] = {}
        self._level = LevelController(
            now, options.level_headroom, options.nested_wait_share
        )
        self._running: dict[int, CallContext] = {}
        self._waiting_for_nested: set[int] = set()
        self._last_probe_at = now - PROBE_INTERVAL_S
        self._mean_latency_s = 0.0
        self._named_limit = NamedLimit(options.unheard_calls, now)
        self.cold_limit = ColdLimit(options.cold, now)
        self._of_server_start: set[int] = set()
        self._refusals_by_rank: dict[int, float] = {}
        self._last_refusal_at = now

    @property
    def running(self) -> int:
        """Return the number of calls that occupy a slot."""
        return len(self._running)

    @property
    def active(self) -> int:
        """Return the number of running calls that don't wait for nested calls."""
        return len(self._running) - len(self._waiting_for_nested)

    @property
    def waiting(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return the current limit of concurrent calls."""
        return self._limit.value()

    @property
    def named_limit_per_s(self) -> float | None:
        """Return the starts per second that the server takes, None if unlimited."""
        return self._named_limit.rate_per_s

    def has_room(self, now: float) -> bool:
        """Return whether a new call would start immediately."""
        return not self._queue and self._has_free_slot(now)

    @property
    def capacity(self) -> int:
        """Return how many calls can run at once under the slots and the named limit."""
        return self._capacity(self._slots)

    def announced_slots(self, now: float) -> int:
        """
        Return the slots to announce to senders: the capacity, or all of the slots.

        Senders would avoid a server with a low limit for good if they were not asked
        to find out from time to time whether it still holds.
        """
        slots = self._slots if self._named_limit.is_stale(now) else self.capacity
        return self.cold_limit.capacity(slots, self._mean_latency_s, now)

    def load(self, now: float) -> float:
        """
        Return the running and waiting calls as a share of the capacity.

        A cold server is as loaded as if the start that it lacks were a call, so that
        it attracts none before it takes one.
        """
        cold = self.cold_limit
        calls = self.running + self.waiting + cold.missing_tokens(now)
        capacity = cold.capacity(self.capacity, self._mean_latency_s, now)
        return calls / max(1, capacity)

    def starts_per_s(self, now: float) -> float:
        """Return the recent starts per second."""
        return self._named_limit.starts_per_s(now)

    def offer(self, item: PendingCall, now: float) -> tuple[Decision, ...]:
        """Request admission of a call."""
        context = item.context
        self._level.record_arrival(context.priority_rank)
        if self.has_room(now):
            decision = self._start_or_refuse(item, now)
            if isinstance(decision, StartDecision):
                rank, workspace = context.priority_rank, context.workspace
                self._queue.charge_unqueued(rank, workspace, item.weight)
                self._record_wait(context, 0.0, now)
            self._level.update(now)
            return (decision,)
        remaining_s = context.deadline - now
        wait_until = now + remaining_s * self._options.wait_share
        self._queue.push(QueueEntry(item, now, wait_until))
        return self._process_queue(now)

    def finish(
        self, ticket: int, sample: CallSample, now: float
    ) -> tuple[Decision, ...]:
        """Record the end of a started call; ignore an unknown or ended ticket."""
        if ticket not in self._running:
            return ()
        self._waiting_for_nested.discard(ticket)
        self._of_server_start.discard(ticket)
        self._limit.observe(sample, self.active, now)
        context = self._running.pop(ticket)
        if not sample.cancelled:
            self._latency_estimate(context).add(sample.latency_s, now)
            self._mean_latency_s += MEAN_LATENCY_GAIN * (
                sample.own_s - self._mean_latency_s
            )
        return self._process_queue(now)

    def record_nested_start(self, ticket: int, now: float) -> tuple[Decision, ...]:
        """
        Record that a running call waits for nested calls.

        It keeps its slot but no longer counts against the limit. Otherwise a
        nested call to the same pool would wait for its own parent.
        """
        if ticket in self._running:
            self._waiting_for_nested.add(ticket)
        return self._process_queue(now)

    def record_nested_end(self, ticket: int, now: float) -> tuple[Decision, ...]:
        """Record that a running call no longer waits for nested calls."""
        self._waiting_for_nested.discard(ticket)
        return self._process_queue(now)

    def withdraw(self, ticket: int, now: float) -> tuple[Decision, ...]:
        """Remove a queued call; no decision on it follows."""
        self._queue.remove(ticket)
        return self._process_queue(now)

    def expire(self, now: float) -> tuple[Decision, ...]:
        """
        Refuse queued calls after their deadline; call it several times per second.

        Calls of the least important rank are also refused after `wait_until`.
        """
        decisions: list[Decision] = []
        for entry in self._queue.least_important_first():
            refusal = self._expired_refusal(
                entry.item, now
            ) or self._overloaded_refusal(entry, now)
            if refusal is not None:
                decisions.append(self._refuse(entry, refusal, now))
        self._queue.forget_idle()
        return (*decisions, *self._process_queue(now))

    def expected_wait_s(self, rank: int, now: float) -> float:
        """Return the expected wait of a call of this rank for its start, in seconds."""
        if self.has_room(now):
            return 0.0
        ahead = 1 + self._queue.count_up_to(rank)
        slot_wait_s = ahead * self._mean_latency_s / max(1, self.limit)
        return max(
            slot_wait_s,
            self._named_limit.wait_s(ahead, now),
            self.cold_limit.wait_s(ahead, now),
        )

    def refuse_long_wait(self, context: CallContext, now: float) -> Refusal:
        """Return the refusal of a call that was not offered as it would wait long."""
        rank = context.priority_rank
        wait_s = retry_after_s = self.expected_wait_s(rank, now)
        if self._named_limit.rate_per_s is not None:
            self._level.record_arrival(rank)
            self._level.record_refusal()
            self._count_refusal(rank, now)
            retry_after_s = max(wait_s, self._retry_after_s(rank))
        detail = f"expected wait {wait_s:.3f} s"
        detail += ", server is cold" if self.cold_limit.is_cold(now) else ""
        return not_run(Reason.QUEUE_FULL, retry_after_s=retry_after_s, detail=detail)

    def record_response(
        self, limit_per_s: float | None, now: float
    ) -> tuple[Decision, ...]:
        """Record the limit that a response names, None for a response without one."""
        self._named_limit.record_response(limit_per_s, now)
        return self._process_queue(now)

    def record_extra_start(self, now: float) -> None:
        """Count a started call that is sent to the server once more."""
        self._named_limit.record_start(now)
        self.cold_limit.record_start(now)

    def server_restarted(self, now: float) -> None:
        """
        Forget what the responses of an earlier start of the server named.

        Calls that were sent to the earlier start say nothing about the new one, also
        while they still wait for a response.
        """
        self._of_server_start.clear()
        self._named_limit.reset(now)

    def next_start_s(self, now: float) -> float:
        """Return the seconds until the server's limits allow the next start."""
        return max(self._named_limit.wait_s(1, now), self.cold_limit.wait_s(1, now))

    def level(self, now: float) -> int:
        """Return the current admission level, which each response carries."""
        self._level.update(now)
        return self._level.value()

    def set_slots(self, slots: int, now: float) -> tuple[Decision, ...]:
        """Change the maximum number of concurrent calls."""
        self._slots = slots
        self._limit.set_slots(slots)
        return self._process_queue(now)

    def _process_queue(self, now: float) -> tuple[Decision, ...]:
        """Start queued calls in free slots; refuse those beyond the maximum length."""
        if not self._queue:
            self._level.update(now)
            return ()
        decisions: list[Decision] = []
        while self._queue and self._has_free_slot(now):
            decisions.append(self._decide_next_queued(now))
        lower_rank_length = self._max_queue_length(LOWER_RANK)
        while len(self._queue) > lower_rank_length:
            candidate = self._queue.next_to_refuse(now)
            if len(self._queue) <= self._max_queue_length(candidate.rank):
                break
            if len(self._queue) <= self._max_queue_length_with_nested(candidate):
                self._level.record_refusal()
                break
            refusal = self._capacity_refusal(Reason.QUEUE_FULL, candidate.rank)
            decisions.append(self._refuse(candidate, refusal, now))
        self._level.update(now)
        return tuple(decisions)

    def _has_free_slot(self, now: float) -> bool:
        return (
            self.active < self.limit
            and self.running < self._slots
            and self._named_limit.allows_start(len(self._of_server_start), now)
            and self.cold_limit.allows_start(now)
        )

    def _decide_next_queued(self, now: float) -> Decision:
        entry = self._queue.next_to_start(now)
        decision = self._start_or_refuse(entry.item, now)
        if isinstance(decision, StartDecision):
            self._record_wait(entry.item.context, now - entry.arrived_at, now)
            self._queue.remove_started(entry, now)
        else:
            self._queue.remove(entry.item.ticket)
        return decision

    def _start_or_refuse(self, item: PendingCall, now: float) -> Decision:
        """Start a call in a free slot, or refuse it if it can't meet its deadline."""
        refusal = self._expired_refusal(item, now) or self._too_short_refusal(item, now)
        if refusal is not None:
            self._count_refusal(item.context.priority_rank, now)
            return RefuseDecision(item.ticket, refusal)
        self._running[item.ticket] = item.context
        self._of_server_start.add(item.ticket)
        self._named_limit.record_start(now)
        self.cold_limit.record_start(now)
        self._level.record_start()
        return StartDecision(item.ticket)

    def _record_wait(self, context: CallContext, waited_s: float, now: float) -> None:
        """Record the wait of a nested call; that of a root call costs only itself."""
        if context.depth:
            estimate = self._latency_estimate(context)
            usual_s = estimate.current_s(now) if waited_s else 0.0
            self._level.record_wait(waited_s, usual_s)

    def _expired_refusal(self, item: PendingCall, now: float) -> Refusal | None:
        is_late = now >= item.context.deadline
        return not_run(Reason.DEADLINE_PASSED) if is_late else None

    def _overloaded_refusal(self, entry: QueueEntry, now: float) -> Refusal | None:
        """
        Return a refusal after a long wait unless a less important call is queued.

        For a cold server no call waits long, as senders can try another one.
        """
        context = entry.item.context
        if not self.cold_limit.waits_too_long(
            context, now - entry.arrived_at, now
        ) and (
            now < entry.wait_until or entry.rank < self._queue.least_important_rank()
        ):
            return None
        return self._capacity_refusal(Reason.OVERLOADED, entry.rank)

    def _too_short_refusal(self, item: PendingCall, now: float) -> Refusal | None:
        """
        Return a refusal for a call that is unlikely to finish before its deadline.

        One such call per PROBE_INTERVAL_S starts, so that the estimate is updated.
        """
        context = item.context
        if now + self._latency_estimate(context).current_s(now) <= context.deadline:
            return None
        if now - self._last_probe_at >= PROBE_INTERVAL_S:
            self._last_probe_at = now
            return None
        return not_run(Reason.DEADLINE_TOO_SHORT)

    def _latency_estimate(self, context: CallContext) -> LatencyEstimate:
        """
        Return the latency estimate for calls of this route and rank.

        Routes run different work, and the nested calls of a less important call
        wait longer. Nested calls use the median, a lower quantile, because refusing
        one wastes the work already done for its root call.
        """
        key = (context.route, context.priority_rank)
        estimate = self._latency_by_route_and_rank.get(key)
        if estimate is None:
            quantile = NESTED_LATENCY_QUANTILE if context.depth else LATENCY_QUANTILE
            estimate = self._latency_by_route_and_rank[key] = LatencyEstimate(quantile)
        return estimate

    def _refuse(
        self, entry: QueueEntry, refusal: Refusal, now: float
    ) -> RefuseDecision:
        self._queue.remove(entry.item.ticket)
        if refusal.reason is Reason.QUEUE_FULL:
            self._level.record_refusal()
        self._count_refusal(entry.rank, now)
        return RefuseDecision(entry.item.ticket, refusal)

    def _count_refusal(self, rank: int, now: float) -> None:
        """Add one to the rank's count of recent refusals, which halves every second."""
        decay = 0.5 ** max(0.0, now - self._last_refusal_at)
        self._last_refusal_at = now
        refusals = {key: count * decay for key, count in self._refusals_by_rank.items()}
        refusals[rank] = refusals.get(rank, 0.0) + 1.0
        self._refusals_by_rank = refusals

    def _capacity_refusal(self, reason: Reason, rank: int) -> Refusal:
        return not_run(reason, retry_after_s=self._retry_after_s(rank))

    def _retry_after_s(self, rank: int) -> float:
        """
        Return a random retry delay that grows with recent refusals, in seconds.

        Under a named limit it is the time in which the server takes the refused calls
        of this and of more important ranks, so that those return first.
        """
        per_slot = sum(self._refusals_by_rank.values()) / max(1, self._slots)
        mean_s = RETRY_AFTER_S * (1.0 + per_slot)
        rate_per_s = self._named_limit.rate_per_s
        if rate_per_s is not None:
            refused = sum(
                count for key, count in self._refusals_by_rank.items() if key <= rank
            )
            mean_s = max(RETRY_AFTER_S, refused / rate_per_s)
        return self._rng.uniform(0.5, 1.5) * min(RETRY_AFTER_MAX_S, mean_s)

    def _max_queue_length_with_nested(self, candidate: QueueEntry) -> int:
        """Return the maximum queue length if a nested call is refused next, else 0."""
        per_slot = self._options.nested_queue_per_slot
        if per_slot is None or candidate.item.cost == 0:
            return 0
        return max(QUEUE_MIN_LENGTH, int(per_slot * self._capacity(self._slots)))

    def _max_queue_length(self, lowest_rank: int) -> int:
        """
        Return the maximum queue length when the least important rank is `lowest_rank`.

        The length scales with the limit. If all queued calls have rank 0, it scales
        with the slots, so that the low limit of a cold server doesn't refuse the
        most important calls.
        """
        concurrency = self._capacity(self._slots if lowest_rank == 0 else self.limit)
        return max(QUEUE_MIN_LENGTH, int(self._options.queue_per_slot * concurrency))

    def _capacity(self, concurrency: int) -> int:
        """Return how many of these calls can run at once under the named limit."""
        return self._named_limit.capacity(concurrency, self._mean_latency_s)
