"""Retry budget of one backend server, kept by the daemon beside it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

WINDOW_S = 10.0
"""Window for which the pool's rule compares retries with first attempts, seconds."""

ECHO_DELAYS_S = (0.5 * WINDOW_S, WINDOW_S)
"""
Delays after which a first attempt adds to the budget again, seconds.

The rule allows the first attempts of a window, of the one before or of the one shifted
back by half, whichever has most. A third of the ratio at once and after each of these
delays adds, in any window, the mean of the three. A mean is at most the maximum, and
sums over servers stay so. The plain mean of the last ten seconds adds up to 1.5 times
the maximum, with pulses of load that are five seconds apart.
"""

SAVED_S = 2.0
"""Seconds of the recent refill that may be saved."""

MERGE_S = 0.001
"""First attempts within this time are stored as one; bounds memory, seconds."""

DEMAND_HALF_LIFE_S = 0.25
"""Half-life of the count of retries that a rank asked for, seconds."""

MIN_DEMAND = 0.1
"""Count of asked retries below which a rank no longer counts."""

POOL_SIZE_AGE_S = 5.0
"""Seconds for which a counted number of servers is used."""


@dataclass(frozen=True, slots=True)
class ServerRetryOptions:
    """
    Limits of the retries that one backend server receives.

    `ratio` is the number of retries per first attempt. An idle server saves up to
    `saved` retries, but all servers of its pool together no more than `pool_saved`.
    """

    ratio: float
    saved: float
    pool_saved: float = float("inf")


@dataclass(slots=True)
class _Attempts:
    """First attempts at a time, seconds."""

    at: float
    count: int


class ServerRetryBudget:
    """
    Budget of the retries that one backend server may receive.

    All servers of a pool together stay within the pool's ratio, since each attempt
    passes through the one daemon beside its server. `count_servers` returns the number
    of servers of the pool. A daemon that starts has no first attempts yet, so only the
    saved budget of an idle server. Times are in seconds of one monotonic clock.
    """

    def __init__(
        self, options: ServerRetryOptions, count_servers: Callable[[], int] = lambda: 1
    ) -> None:
        self._options = options
        self._count_servers = count_servers
        self._servers_counted_at = -float("inf")
        self._idle_saved = options.saved
        self._retries_left = options.saved
        self._ratio_per_echo = options.ratio / (1 + len(ECHO_DELAYS_S))
        self._younger: deque[_Attempts] = deque()
        self._older: deque[_Attempts] = deque()
        self._recent = 0
        self._demand_by_rank: dict[int, float] = {}
        self._demand_at = 0.0

    @property
    def left(self) -> float:
        """Return the retries left; below 0 after `record_nested_attempt`."""
        return self._retries_left

    def record_first_attempt(self, now: float) -> None:
        """Count the first attempt of a call, which adds to the budget."""
        self._refill(now)
        younger = self._younger
        if younger and now - younger[-1].at < MERGE_S:
            younger[-1].count += 1
        else:
            younger.append(_Attempts(now, 1))
        self._recent += 1
        self._add(self._ratio_per_echo)

    def spend(self, rank: int, now: float) -> bool:
        """
        Spend one retry of the budget; return False if it must not be sent.

        What more important ranks recently asked for is left to them, but a full budget
        may always be spent, so that rare calls of theirs block nobody.
        """
        self._update_idle_saved(now)
        self._refill(now)
        reserve = min(self._demand_above(rank, now), self._saved() - 1.0)
        self._demand_by_rank[rank] = self._demand_by_rank.get(rank, 0.0) + 1.0
        if self._retries_left < 1.0 + max(0.0, reserve):
            return False
        self._retries_left -= 1.0
        return True

    def give_back(self) -> None:
        """Return a spent retry that was not sent after all."""
        self._add(1.0)

    def record_nested_attempt(self) -> None:
        """Count a nested call made by a retried call; it is never refused."""
        self._retries_left -= 1.0

    def _saved(self) -> float:
        """Return the largest budget that may be saved now."""
        refill_per_s = self._options.ratio * self._recent / WINDOW_S
        return max(self._idle_saved, SAVED_S * refill_per_s)

    def _add(self, retries: float) -> None:
        self._retries_left = min(self._saved(), self._retries_left + retries)

    def _refill(self, now: float) -> None:
        """Add what first attempts add after each of ECHO_DELAYS_S."""
        younger, older = self._younger, self._older
        first_s, second_s = ECHO_DELAYS_S
        echoes = 0
        while younger and now - younger[0].at >= first_s:
            attempts = younger.popleft()
            echoes += attempts.count
            older.append(attempts)
        while older and now - older[0].at >= second_s:
            count = older.popleft().count
            echoes += count
            self._recent -= count
        if echoes:
            self._add(echoes * self._ratio_per_echo)

    def _update_idle_saved(self, now: float) -> None:
        """Limit the saved budget by the number of servers that share the pool's."""
        if now - self._servers_counted_at < POOL_SIZE_AGE_S:
            return
        self._servers_counted_at = now
        options = self._options
        share = options.pool_saved / max(1, self._count_servers())
        # Less than 1 would refuse all retries of a server with few calls.
        self._idle_saved = max(1.0, min(options.saved, share))
        self._add(0.0)

    def _demand_above(self, rank: int, now: float) -> float:
        """Return the retries that more important ranks recently asked for."""
        elapsed_s = max(0.0, now - self._demand_at)
        self._demand_at = now
        decay = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        self._demand_by_rank = {
            key: count * decay
            for key, count in self._demand_by_rank.items()
            if count * decay >= MIN_DEMAND
        }
        return sum(count for key, count in self._demand_by_rank.items() if key < rank)
