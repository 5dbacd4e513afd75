"""Retry budget of a pool, proportional to its recent successes."""

from dataclasses import dataclass

from damaskbay.core.retry.const import (
    BUDGET_MAX_RETRIES,
    BUDGET_MIN_PER_S,
    BUDGET_SHARE,
)


@dataclass(frozen=True, slots=True)
class RetryBudgetOptions:
    """
    Limits of the load that retries add to a pool.

    `share` is the number of retries gained per success, `min_per_s` the number
    gained per second at any load, `max_retries` the limit of the budget.
    """

    share: float = BUDGET_SHARE
    min_per_s: float = BUDGET_MIN_PER_S
    max_retries: float = BUDGET_MAX_RETRIES


class RetryBudget:
    """Budget of the retries that one daemon may send to one pool."""

    def __init__(self, options: RetryBudgetOptions, now: float) -> None:
        self._options = options
        self._available = min(options.max_retries, 1.0 + options.min_per_s)
        self._refilled_at = now

    def succeeded(self) -> None:
        """Record a successful call, which adds to the budget."""
        self._add(self._options.share)

    def available(self, now: float) -> float:
        """Return the number of retries in the budget, fractions included."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._add(elapsed_s * self._options.min_per_s)
        return self._available

    def spend(self, now: float) -> bool:
        """Spend one retry of the budget; return False if none is left."""
        if self.available(now) < 1.0:
            return False
        self._available -= 1.0
        return True

    def _add(self, retries: float) -> None:
        self._available = min(self._options.max_retries, self._available + retries)
