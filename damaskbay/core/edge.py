"""Limits on the caller-facing threads that calls of each priority may occupy."""

from dataclasses import dataclass
from typing import Final

from damaskbay.core.outcome import Reason, Refusal, not_run

RANK_STEP_SHARE: Final = 0.15
LOWEST_SHARE: Final = 0.4
RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class EdgeRoom:
    """
    Concurrency limit of the caller-facing listener, by priority rank.

    The most important priority may use all threads. Each lower rank has a lower
    limit, so that waiting calls of low priority cannot block important ones.
    """

    threads: int

    def limit_for(self, rank: int) -> int:
        """Return the number of calls in flight at which this rank is refused."""
        share = max(LOWEST_SHARE, 1.0 - RANK_STEP_SHARE * rank)
        return max(1, int(self.threads * share))

    def refuse(self, inside: int, rank: int) -> Refusal | None:
        """Refuse a call of this rank if `inside` calls in flight reach its limit."""
        if inside < self.limit_for(rank):
            return None
        return not_run(
            Reason.OVERLOADED,
            retry_after_s=RETRY_AFTER_S,
            detail="too many calls wait at this daemon",
        )
