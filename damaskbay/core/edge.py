"""How much of the caller-facing threads each priority may hold."""

from dataclasses import dataclass
from typing import Final

from damaskbay.core.outcome import Reason, Refusal, not_run

RANK_STEP_SHARE: Final = 0.15
LOWEST_SHARE: Final = 0.4
RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class EdgeRoom:
    """
    Room of the caller-facing side, in calls at once.

    The most important priority may fill it all; each lower rank stops earlier, so
    that waiting calls of low priority can't keep important ones out.
    """

    threads: int

    def limit_for(self, rank: int) -> int:
        """Return how many calls may be inside for one of this rank to enter."""
        share = max(LOWEST_SHARE, 1.0 - RANK_STEP_SHARE * rank)
        return max(1, int(self.threads * share))

    def refuse(self, inside: int, rank: int) -> Refusal | None:
        """Refuse a call of this rank when `inside` calls fill its room."""
        if inside < self.limit_for(rank):
            return None
        return not_run(
            Reason.OVERLOADED,
            retry_after_s=RETRY_AFTER_S,
            detail="too many calls wait at this daemon",
        )
