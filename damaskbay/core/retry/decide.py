"""Decision whether to retry a call, after which delay and without which instance."""

from dataclasses import dataclass
from random import Random

from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.outcome import Refusal
from damaskbay.core.retry.budget import RetryBudget
from damaskbay.core.retry.const import (
    BACKOFF_BASE_S,
    BACKOFF_MAX_S,
    MIN_TIME_LEFT_S,
    OVERLOAD_STATUS,
    RETRYABLE_REASONS,
)


@dataclass(frozen=True, slots=True)
class Retry:
    """
    A retry to send after `delay_s` seconds to any instance except `excluded`.

    It costs the call one of its retry tokens.
    """

    delay_s: float
    excluded: str


def decide_retry(
    result: CallResult,
    context: CallContext,
    budget: RetryBudget,
    tokens: int,
    attempts: int,
    now: float,
    rng: Random,
) -> Retry | None:
    """
    Return a retry and spend it from the pool's budget, or None for no retry.

    `tokens` is the number of retry tokens that the call has now: those it kept and
    those handed back. `attempts` is the number of attempts so far, 1 or more.
    `result.served_by` is the instance that failed; without one, the call was refused
    before any attempt and is not retried. The caller subtracts one token for a
    `Retry`.
    """
    if not result.served_by:
        return None
    if tokens < 1 or not _is_retryable(result.result, context):
        return None
    delay_s = _backoff_s(attempts, rng)
    if now + delay_s + MIN_TIME_LEFT_S >= context.deadline:
        return None
    if not budget.spend(now):
        return None
    return Retry(delay_s, result.served_by)


def _is_retryable(result: Response | Refusal, context: CallContext) -> bool:
    """Return whether the call may run again, on another instance, after this result."""
    if isinstance(result, Response):
        return context.idempotent and result.status == OVERLOAD_STATUS
    if result.reason not in RETRYABLE_REASONS:
        return False
    return result.not_run or context.idempotent


def _backoff_s(attempts: int, rng: Random) -> float:
    """Return a random delay from 0 to a ceiling that doubles with each attempt."""
    ceiling_s: float = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** (attempts - 1))
    return rng.uniform(0.0, ceiling_s)
