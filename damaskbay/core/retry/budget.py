"""Retry budget of a pool: a share of its recent successes."""

from dataclasses import dataclass

from damaskbay.core.retry.const import (
    BUDGET_MAX_RETRIES,
    BUDGET_MIN_PER_S,
    BUDGET_SHARE,
)


@dataclass(frozen=True, slots=True)
class RetryBudgetOptions:
    """
    How much a pool's retries may add to its load.

    `share` is retries per success, `min_per_s` is what a quiet pool may retry,
    `max_retries` is the most that can be saved up.
    """

    share: float = BUDGET_SHARE
    min_per_s: float = BUDGET_MIN_PER_S
    max_retries: float = BUDGET_MAX_RETRIES


class RetryBudget:
    """Counts what one daemon may still retry towards one pool."""

    def __init__(self, options: RetryBudgetOptions, now: float) -> None:
        self._options = options
        self._available = min(options.max_retries, 1.0 + options.min_per_s)
        self._refilled_at = now

    def succeeded(self) -> None:
        """Take note of a call that succeeded."""
        self._add(self._options.share)

    def available(self, now: float) -> float:
        """Return the number of retries that may be made now."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._add(elapsed_s * self._options.min_per_s)
        return self._available

    def spend(self, now: float) -> bool:
        """Take one retry out of the budget; return False where none is left."""
        if self.available(now) < 1.0:
            return False
        self._available -= 1.0
        return True

    def _add(self, retries: float) -> None:
        self._available = min(self._options.max_retries, self._available + retries)
