"""A token bucket whose rate and depth may change between two requests."""

from dataclasses import dataclass

from damaskbay.core.quota.const import BACKLOG_HALF_LIFE_S, RETRY_AFTER_MAX_S


@dataclass(slots=True)
class Bucket:
    """
    Available tokens, as of `updated_at` in seconds.

    `refused_backlog` estimates the refused calls that are still to be retried, as of
    `refused_at`; it decays exponentially.
    """

    tokens: float
    updated_at: float
    refused_backlog: float = 0.0
    refused_at: float = 0.0

    def spend(self, rate_per_s: float, depth: float, now: float) -> float:
        """Spend one token and return 0.0, or return the seconds until the next one."""
        gained = max(0.0, now - self.updated_at) * rate_per_s
        self.tokens = min(depth, self.tokens + gained)
        self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / max(rate_per_s, 1e-6)

    def retry_after_s(self, rate_per_s: float, next_s: float, now: float) -> float:
        """
        Count a refused call; return the delay in seconds after which to retry it.

        The delay allows for the calls refused earlier, whose retries need tokens too.
        """
        age_s = max(0.0, now - self.refused_at)
        self.refused_backlog *= 0.5 ** (age_s / BACKLOG_HALF_LIFE_S)
        wait_s = next_s + self.refused_backlog / max(rate_per_s, 1e-6)
        self.refused_backlog += 1.0
        self.refused_at = now
        return min(RETRY_AFTER_MAX_S, wait_s)
