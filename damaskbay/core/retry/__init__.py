"""Retry decisions: retry tokens of a call tree, retry budget of a pool, backoff."""

from damaskbay.core.retry.budget import RetryBudget, RetryBudgetOptions
from damaskbay.core.retry.decide import Retry, decide_retry
from damaskbay.core.retry.tokens import TokenSplit, split

__all__ = [
    "Retry",
    "RetryBudget",
    "RetryBudgetOptions",
    "TokenSplit",
    "decide_retry",
    "split",
]
