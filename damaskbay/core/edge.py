"""Limits on the caller-facing threads that calls of each priority may occupy."""

from dataclasses import dataclass
from typing import Final

from damaskbay.core.outcome import Reason, Refusal, not_run

SHARE_STEP_PER_RANK: Final = 0.15
MIN_SHARE: Final = 0.4
RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class EdgeConcurrencyLimit:
    """
    Concurrency limit of the caller-facing listener, by priority rank.

    The most important priority may use all threads. Each lower rank has a lower
    limit, so that waiting calls of low priority cannot block important ones.
    """

    threads: int

    def limit_for(self, rank: int) -> int:
        """Return the number of calls in flight at which this rank is refused."""
        share = max(MIN_SHARE, 1.0 - SHARE_STEP_PER_RANK * rank)
        return max(1, int(self.threads * share))

    def refuse(self, in_flight: int, rank: int) -> Refusal | None:
        """Refuse a call if `in_flight` has reached the limit of its rank."""
        if in_flight < self.limit_for(rank):
            return None
        return not_run(
            Reason.OVERLOADED,
            retry_after_s=RETRY_AFTER_S,
            detail="too many calls wait at this daemon",
        )
