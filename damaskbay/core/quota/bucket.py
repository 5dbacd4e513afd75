"""A token bucket whose rate and depth may change between two requests."""

from dataclasses import dataclass


@dataclass(slots=True)
class Bucket:
    """Tokens at hand, as of `at` in seconds."""

    tokens: float
    at: float

    def take(self, rate_per_s: float, depth: float, now: float) -> float:
        """Take one token and return 0.0, or return the seconds until there is one."""
        gained = max(0.0, now - self.at) * rate_per_s
        self.tokens = min(depth, self.tokens + gained)
        self.at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / max(rate_per_s, 1e-6)
