"""A token bucket whose rate and depth may change between two requests."""

from dataclasses import dataclass

from damaskbay.core.quota.const import BACKLOG_HALF_LIFE_S, RETRY_AFTER_MOST_S


@dataclass(slots=True)
class Bucket:
    """
    Tokens at hand, as of `at` in seconds.

    `refused` requests have been told to come back, each counted for a while.
    """

    tokens: float
    at: float
    refused: float = 0.0
    refused_at: float = 0.0

    def take(self, rate_per_s: float, depth: float, now: float) -> float:
        """Take one token and return 0.0, or return the seconds until there is one."""
        gained = max(0.0, now - self.at) * rate_per_s
        self.tokens = min(depth, self.tokens + gained)
        self.at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / max(rate_per_s, 1e-6)

    def come_back_s(self, rate_per_s: float, next_s: float, now: float) -> float:
        """
        Return when a refused request may find a token, in seconds.

        Tokens before that go to those refused before it, who come back, too.
        """
        age_s = max(0.0, now - self.refused_at)
        self.refused *= 0.5 ** (age_s / BACKLOG_HALF_LIFE_S)
        wait_s = next_s + self.refused / max(rate_per_s, 1e-6)
        self.refused += 1.0
        self.refused_at = now
        return min(RETRY_AFTER_MOST_S, wait_s)
