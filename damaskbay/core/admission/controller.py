"""Admission of calls to one backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damaskbay.core.admission.const import (
    LATENCY_QUANTILE,
    LEVEL_HEADROOM,
    MEAN_GAIN,
    NESTED_QUANTILE,
    QUEUE_PER_SLOT,
    QUEUE_SHORTEST,
    QUEUE_WAIT_SHARE,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_S,
    TRICKLE_S,
)
from damaskbay.core.admission.latency import LatencyEstimate
from damaskbay.core.admission.level import LevelMeter
from damaskbay.core.admission.limit import ConcurrencyLimit, GradientLimit, Sample
from damaskbay.core.admission.queue import Entry, Waiting, WaitingQueue
from damaskbay.core.call import CallContext
from damaskbay.core.outcome import Reason, Refusal, not_run

LEAST_RANK = 1
"""Stands for every rank but the most important one, whose queue may be longer."""

LimitFactory = Callable[[int, float], ConcurrencyLimit]
"""Makes a limit from slots and the present time in seconds."""


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """
    What admission to one backend server goes by.

    `slots` is the ceiling of calls at once. The queue holds `queue_per_slot`
    calls for each slot, and a call waits in it for at most `wait_share` of the
    time it had left when it came. With `nested_queue_per_slot` nested calls may
    wait in a longer queue, since refusing one wastes what its root has cost; the
    level falls all the same once the plain length is reached.
    """

    slots: int
    queue_per_slot: float = QUEUE_PER_SLOT
    wait_share: float = QUEUE_WAIT_SHARE
    nested_queue_per_slot: float | None = None
    level_headroom: float = LEVEL_HEADROOM
    limit: LimitFactory = GradientLimit


@dataclass(frozen=True, slots=True)
class Start:
    """Send the call to the backend server now."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the call with this refusal; it has not run."""

    ticket: int
    refusal: Refusal


Decision = Start | Refuse


class AdmissionController:
    """
    Decides which calls run, wait or are refused at one backend server.

    When a call is refused for want of capacity, no call of a less important rank
    waits here, none has started since it came, and as many calls run as the limit
    allows. Calls that already run aren't stopped for it.

    Every method that returns decisions returns all that became due; each
    offered ticket gets one Start or Refuse unless it is withdrawn. Times are in
    seconds of one monotonic clock.
    """

    def __init__(self, options: AdmissionOptions, rng: Random, now: float) -> None:
        self._options = options
        self._rng = rng
        self._limit = options.limit(options.slots, now)
        self._slots = options.slots
        self._queue = WaitingQueue()
        self._latencies: dict[tuple[str, int], LatencyEstimate] = {}
        self._level = LevelMeter(now, options.level_headroom)
        self._running: dict[int, CallContext] = {}
        self._nested: set[int] = set()
        self._trickled_at = now - TRICKLE_S
        self._mean_s = 0.0
        self._turned_away = 0.0
        self._counted_at = now

    @property
    def running(self) -> int:
        """Return the number of calls that hold a slot."""
        return len(self._running)

    @property
    def active(self) -> int:
        """Return how many of them work, and don't wait for nested calls."""
        return len(self._running) - len(self._nested)

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return the present limit of calls at once."""
        return self._limit.value()

    def has_room(self) -> bool:
        """Tell whether a call would start at once."""
        return not self._queue and self._may_start()

    def offer(self, item: Waiting, now: float) -> tuple[Decision, ...]:
        """Ask for admission of a call."""
        context = item.context
        self._level.offered(context.priority_rank)
        if self.has_room():
            decision = self._decided(item, now)
            if isinstance(decision, Start):
                rank, workspace = context.priority_rank, context.workspace
                self._queue.charge(rank, workspace, item.weight)
            self._level.update(now)
            return (decision,)
        left_s = context.deadline - now
        wait_until = now + left_s * self._options.wait_share
        self._queue.push(Entry(item, now, wait_until))
        return self._settle(now)

    def finish(self, ticket: int, sample: Sample, now: float) -> tuple[Decision, ...]:
        """Take note that a started call has ended; a second time is ignored."""
        if ticket not in self._running:
            return ()
        self._nested.discard(ticket)
        self._limit.observe(sample, self.active, now)
        context = self._running.pop(ticket)
        if not sample.cancelled:
            self._latency(context).add(sample.latency_s, now)
            self._mean_s += MEAN_GAIN * (sample.own_s - self._mean_s)
        return self._settle(now)

    def nested_began(self, ticket: int, now: float) -> tuple[Decision, ...]:
        """
        Take note that a running call waits for nested calls.

        It keeps its slot but counts no longer against the limit: else a call
        into its own pool would wait behind the one that made it.
        """
        if ticket in self._running:
            self._nested.add(ticket)
        return self._settle(now)

    def nested_ended(self, ticket: int, now: float) -> tuple[Decision, ...]:
        """Take note that a running call works on by itself."""
        self._nested.discard(ticket)
        return self._settle(now)

    def withdraw(self, ticket: int, now: float) -> tuple[Decision, ...]:
        """Forget a call that waits; nothing is decided on it any more."""
        self._queue.remove(ticket)
        return self._settle(now)

    def expire(self, now: float) -> tuple[Decision, ...]:
        """Refuse what has waited too long; call several times a second."""
        decisions: list[Decision] = []
        for entry in self._queue.from_last():
            refusal = self._passed(entry.item, now) or self._waited(entry, now)
            if refusal is not None:
                decisions.append(self._refuse(entry, refusal, now))
        self._queue.forget_idle()
        return (*decisions, *self._settle(now))

    def expected_wait_s(self, rank: int) -> float:
        """Return how long a call of a rank would wait for a slot, in seconds."""
        if self.has_room():
            return 0.0
        ahead = 1 + self._queue.count_up_to(rank)
        return ahead * self._mean_s / max(1, self.limit)

    def level(self, now: float) -> int:
        """Return the admission level that rides back on answers."""
        self._level.update(now)
        return self._level.value()

    def set_slots(self, slots: int, now: float) -> tuple[Decision, ...]:
        """Change the ceiling of calls at once."""
        self._slots = slots
        self._limit.set_slots(slots)
        return self._settle(now)

    def _settle(self, now: float) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        while self._queue and self._may_start():
            decisions.append(self._decide_next(now))
        shortest = self._queue_length(LEAST_RANK)
        while len(self._queue) > shortest:
            last = self._queue.last(now)
            if len(self._queue) <= self._queue_length(last.rank):
                break
            if len(self._queue) <= self._nested_length(last):
                self._level.refused()
                break
            refusal = self._capacity(Reason.QUEUE_FULL)
            decisions.append(self._refuse(last, refusal, now))
        self._level.update(now)
        return tuple(decisions)

    def _may_start(self) -> bool:
        return self.active < self.limit and self.running < self._slots

    def _decide_next(self, now: float) -> Decision:
        entry = self._queue.next(now)
        decision = self._decided(entry.item, now)
        if isinstance(decision, Start):
            self._queue.started(entry, now)
        else:
            self._queue.remove(entry.item.ticket)
        return decision

    def _decided(self, item: Waiting, now: float) -> Decision:
        """Start a call for which there is room, or refuse one that is too late."""
        refusal = self._passed(item, now) or self._too_short(item, now)
        if refusal is not None:
            self._count_refusal(now)
            return Refuse(item.ticket, refusal)
        self._running[item.ticket] = item.context
        self._level.started()
        return Start(item.ticket)

    def _passed(self, item: Waiting, now: float) -> Refusal | None:
        if now >= item.context.deadline:
            return not_run(Reason.DEADLINE_PASSED)
        return None

    def _waited(self, entry: Entry, now: float) -> Refusal | None:
        """Refuse what has waited long, but nothing before less important calls."""
        if now < entry.wait_until or entry.rank < self._queue.last_rank():
            return None
        return self._capacity(Reason.OVERLOADED)

    def _too_short(self, item: Waiting, now: float) -> Refusal | None:
        """Refuse what can't end in time, but let one through now and then."""
        context = item.context
        if now + self._latency(context).seconds(now) <= context.deadline:
            return None
        if now - self._trickled_at >= TRICKLE_S:
            self._trickled_at = now
            return None
        return not_run(Reason.DEADLINE_TOO_SHORT)

    def _latency(self, context: CallContext) -> LatencyEstimate:
        """
        Return the estimate for calls of this route and rank.

        What one route runs says little of another, and the calls below a less
        important call wait longer. Nested calls are judged by their median, since
        refusing one wastes what its root has cost.
        """
        key = (context.route, context.priority_rank)
        known = self._latencies.get(key)
        if known is None:
            quantile = NESTED_QUANTILE if context.depth else LATENCY_QUANTILE
            known = self._latencies[key] = LatencyEstimate(quantile)
        return known

    def _refuse(self, entry: Entry, refusal: Refusal, now: float) -> Refuse:
        self._queue.remove(entry.item.ticket)
        if refusal.reason is Reason.QUEUE_FULL:
            self._level.refused()
        self._count_refusal(now)
        return Refuse(entry.item.ticket, refusal)

    def _count_refusal(self, now: float) -> None:
        elapsed_s = now - self._counted_at
        self._counted_at = now
        self._turned_away *= 0.5**elapsed_s
        self._turned_away += 1.0

    def _capacity(self, reason: Reason) -> Refusal:
        """Return a refusal whose time to return is spread over the backlog."""
        rounds = self._turned_away / max(1, self._slots)
        longest_s = min(RETRY_AFTER_MAX_S, RETRY_AFTER_S * (1.0 + rounds))
        return not_run(reason, retry_after_s=self._rng.uniform(0.5, 1.5) * longest_s)

    def _nested_length(self, last: Entry) -> int:
        """Return how many calls may wait where the last of them is a nested one."""
        per_slot = self._options.nested_queue_per_slot
        if per_slot is None or last.item.cost == 0:
            return 0
        return int(per_slot * self._slots)

    def _queue_length(self, last_rank: int) -> int:
        """
        Return how many calls may wait when the least important is of this rank.

        The queue is as long as the limit. Only where all that waits is of the
        first rank it may be as long as the slots, so that a low limit, as that of
        a cold server, does not refuse the most important calls.
        """
        room = self._slots if last_rank == 0 else self.limit
        return max(QUEUE_SHORTEST, int(self._options.queue_per_slot * room))
