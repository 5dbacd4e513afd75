"""How many repeated sends one backend server may get, kept beside it."""

from dataclasses import dataclass

NESTED_RESERVE_SHARE = 0.5
"""Part of what is saved that is kept for root requests: they bring whole answers."""


@dataclass(frozen=True, slots=True)
class RepeatOptions:
    """
    `ratio` is repeats per first send; `saved` is the most that can be saved up.

    All servers of a pool together stay within the pool's ratio, since each send
    passes the one daemon beside its server.
    """

    ratio: float
    saved: float


class RepeatBudget:
    """Counts first sends and repeats at one server."""

    def __init__(self, options: RepeatOptions) -> None:
        self._options = options
        self._left = options.saved

    @property
    def left(self) -> float:
        """Return how many repeats may come now; below 0 where nested ones came."""
        return self._left

    def first(self) -> None:
        """Count the first send of a request."""
        self._left = min(self._options.saved, self._left + self._options.ratio)

    def repeat(self, *, nested: bool) -> bool:
        """Take one repeat out of the budget; return False where it must not be sent."""
        reserve = NESTED_RESERVE_SHARE * self._options.saved if nested else 0.0
        if self._left < 1.0 + reserve:
            return False
        self._left -= 1.0
        return True

    def inherited(self) -> None:
        """Count a call of a run that was itself a repeat; it is never refused."""
        self._left -= 1.0
