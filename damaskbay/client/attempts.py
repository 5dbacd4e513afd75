"""Decides whether a call is sent again, and merges what its sends brought."""

import random
from dataclasses import dataclass

from damaskbay.client.const import FINAL_REASONS, MIN_ATTEMPT_S
from damaskbay.client.options import ClientOptions
from damaskbay.core.call import Answer
from damaskbay.core.outcome import Outcome, Reason, Refusal


@dataclass(slots=True)
class Attempts:
    """
    The sends of one call.

    `repeatable` tells that a send after an `unknown` outcome is harmless: the
    request is idempotent, or bears a request id. `first_unknown` is kept, since
    a later `not_run` says nothing of the send before it.
    """

    options: ClientOptions
    deadline: float
    repeatable: bool
    sent: int = 0
    first_unknown: Refusal | None = None

    def ended(self, result: Answer | Refusal) -> None:
        """Take note of the end of one send."""
        self.sent += 1
        if isinstance(result, Refusal) and not result.not_run:
            self.first_unknown = self.first_unknown or result

    def delay_s(
        self, result: Answer | Refusal, now: float, rng: random.Random
    ) -> float | None:
        """Return the pause before the next send, None where there is none."""
        if isinstance(result, Answer) or not self._may_repeat(result):
            return None
        delay_s = self._back_off_s(rng)
        if result.retry_after_s is not None:
            spread = 1.0 + rng.uniform(0.0, self.options.retry_after_spread)
            delay_s = max(delay_s, result.retry_after_s * spread)
        if now + delay_s + MIN_ATTEMPT_S > self.deadline:
            return None
        return delay_s

    def result(self, last: Answer | Refusal) -> Answer | Refusal:
        """Return what the call as a whole brought."""
        if isinstance(last, Answer) or not last.not_run:
            return last
        return self.first_unknown or last

    def _may_repeat(self, refusal: Refusal) -> bool:
        if self.sent >= self.options.max_attempts:
            return False
        if refusal.reason in FINAL_REASONS:
            return False
        return refusal.not_run or self.repeatable

    def _back_off_s(self, rng: random.Random) -> float:
        ceiling_s = self.options.back_off_s * 2.0 ** (self.sent - 1)
        return rng.uniform(0.0, min(ceiling_s, self.options.back_off_max_s))


def refusal_of(outcome: str, reason: str, retry_after: str, detail: str) -> Refusal:
    """Return the refusal that a daemon's headers tell of."""
    try:
        known_reason = Reason(reason)
    except ValueError:
        known_reason = Reason.INTERNAL_ERROR
    not_run = outcome == Outcome.NOT_RUN.value
    return Refusal(
        known_reason,
        Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
        _seconds(retry_after),
        detail,
    )


def _seconds(text: str) -> float | None:
    """Return the seconds of a Retry-After header; dates are not used."""
    return float(text) if text.isascii() and text.isdigit() else None
