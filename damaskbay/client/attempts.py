"""Retry policy of a call, and the overall result of its attempts."""

import random
from dataclasses import dataclass

from damaskbay.client.const import FINAL_REASONS, MIN_ATTEMPT_S
from damaskbay.client.options import ClientOptions
from damaskbay.core.call import Response
from damaskbay.core.outcome import Outcome, Reason, Refusal


@dataclass(slots=True)
class Attempts:
    """
    Attempts of one call.

    `retry_unknown` means that a retry after an `unknown` outcome is safe: the
    request is idempotent or has a request id. `first_unknown` is kept, since a
    `not_run` of a later attempt does not apply to the earlier one.
    """

    options: ClientOptions
    deadline: float
    retry_unknown: bool
    finished_attempts: int = 0
    first_unknown: Refusal | None = None

    def record(self, result: Response | Refusal) -> None:
        """Record the result of one attempt."""
        self.finished_attempts += 1
        if isinstance(result, Refusal) and not result.not_run:
            self.first_unknown = self.first_unknown or result

    def retry_delay_s(
        self, result: Response | Refusal, now: float, rng: random.Random
    ) -> float | None:
        """Return the delay before the next attempt in seconds, None for no retry."""
        if isinstance(result, Response) or not self._may_retry(result):
            return None
        delay_s = self._back_off_delay_s(rng)
        if result.retry_after_s is not None:
            spread = 1.0 + rng.uniform(0.0, self.options.retry_after_spread)
            delay_s = max(delay_s, result.retry_after_s * spread)
        if now + delay_s + MIN_ATTEMPT_S > self.deadline:
            return None
        return delay_s

    def result(self, last: Response | Refusal) -> Response | Refusal:
        """Return the result of the call, given the result of the last attempt."""
        if isinstance(last, Response) or not last.not_run:
            return last
        return self.first_unknown or last

    def _may_retry(self, refusal: Refusal) -> bool:
        if self.finished_attempts >= self.options.max_attempts:
            return False
        if refusal.reason in FINAL_REASONS:
            return False
        return refusal.not_run or self.retry_unknown

    def _back_off_delay_s(self, rng: random.Random) -> float:
        ceiling_s = self.options.back_off_s * 2.0 ** (self.finished_attempts - 1)
        return rng.uniform(0.0, min(ceiling_s, self.options.back_off_max_s))


def refusal_from_headers(
    outcome: str, reason: str, retry_after: str, detail: str
) -> Refusal:
    """Return the refusal described by the headers of a daemon's response."""
    try:
        known_reason = Reason(reason)
    except ValueError:
        known_reason = Reason.INTERNAL_ERROR
    not_run = outcome == Outcome.NOT_RUN.value
    return Refusal(
        known_reason,
        Outcome.NOT_RUN if not_run else Outcome.UNKNOWN,
        _parse_retry_after_s(retry_after),
        detail,
    )


def _parse_retry_after_s(text: str) -> float | None:
    """Return the seconds of a Retry-After header, None if absent or a date."""
    return float(text) if text.isascii() and text.isdigit() else None
