"""The decision whether, when and where not to send a call again."""

from dataclasses import dataclass
from random import Random

from damaskbay.core.call import Answer, CallContext, CallResult
from damaskbay.core.outcome import Refusal
from damaskbay.core.retry.budget import RetryBudget
from damaskbay.core.retry.const import (
    BACK_OFF_BASE_S,
    BACK_OFF_MAX_S,
    MIN_TIME_LEFT_S,
    RETRIED_ELSEWHERE,
    STATUS_SERVER_SHEDS,
)


@dataclass(frozen=True, slots=True)
class Retry:
    """
    One more attempt, which costs the caller one of its retry tokens.

    Wait `delay_s` seconds, then send to any instance but `excluded`.
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
    Decide on another attempt and take it out of the pool's budget.

    `tokens` are those the call holds now: the kept ones and those handed back.
    `attempts` counts the sends of this call so far, 1 or more. `result.served_by`
    is the instance that failed; a refusal without one was made before any send
    and stands. The caller subtracts one token for a `Retry`.
    """
    if not result.served_by:
        return None
    if tokens < 1 or not _may_run_again(result.result, context):
        return None
    delay_s = _back_off_s(attempts, rng)
    if now + delay_s + MIN_TIME_LEFT_S >= context.deadline:
        return None
    if not budget.spend(now):
        return None
    return Retry(delay_s, result.served_by)


def _may_run_again(result: Answer | Refusal, context: CallContext) -> bool:
    if isinstance(result, Answer):
        return context.idempotent and result.status == STATUS_SERVER_SHEDS
    if result.reason not in RETRIED_ELSEWHERE:
        return False
    return result.not_run or context.idempotent


def _back_off_s(attempts: int, rng: Random) -> float:
    """Return a delay between nothing and a ceiling that doubles per attempt."""
    ceiling_s: float = min(BACK_OFF_MAX_S, BACK_OFF_BASE_S * 2.0 ** (attempts - 1))
    return rng.uniform(0.0, ceiling_s)
