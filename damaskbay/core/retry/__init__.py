"""Decisions on retries: tokens of a call tree, budget of a pool, when and where."""

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
