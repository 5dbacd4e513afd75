"""Retry budget of one backend server, kept by the daemon beside it."""

from dataclasses import dataclass

NESTED_RESERVE_SHARE = 0.5
"""Fraction of the saved budget reserved for retries of root calls.

Only the retry of a root call yields a complete response to the caller.
"""


@dataclass(frozen=True, slots=True)
class ServerRetryOptions:
    """
    Limits of the retries that one backend server receives.

    `ratio` is the number of retries per first attempt, `saved` the limit of the
    budget. All servers of a pool together stay within the pool's ratio, since each
    attempt passes through the one daemon beside its server.
    """

    ratio: float
    saved: float


class ServerRetryBudget:
    """Budget of the retries that one backend server may receive."""

    def __init__(self, options: ServerRetryOptions) -> None:
        self._options = options
        self._retries_left = options.saved

    @property
    def left(self) -> float:
        """Return the retries left; below 0 after `record_nested_attempt`."""
        return self._retries_left

    def record_first_attempt(self) -> None:
        """Count the first attempt of a call, which adds to the budget."""
        self._retries_left = min(
            self._options.saved, self._retries_left + self._options.ratio
        )

    def spend(self, *, nested: bool) -> bool:
        """
        Spend one retry of the budget; return False if it must not be sent.

        The retry of a nested call must leave the reserve for root calls.
        """
        reserve = NESTED_RESERVE_SHARE * self._options.saved if nested else 0.0
        if self._retries_left < 1.0 + reserve:
            return False
        self._retries_left -= 1.0
        return True

    def give_back(self) -> None:
        """Return a spent retry that was not sent after all."""
        self._retries_left = min(self._options.saved, self._retries_left + 1.0)

    def record_nested_attempt(self) -> None:
        """Count a nested call made by a retried call; it is never refused."""
        self._retries_left -= 1.0
