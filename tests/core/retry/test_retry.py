"""Tests of core.retry."""

import unittest
from random import Random

from hypothesis import given, settings, strategies as st

from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.call_tree import CallTree
from damaskbay.core.outcome import Reason, not_run, unknown
from damaskbay.core.retry import (
    Retry,
    RetryBudget,
    RetryBudgetOptions,
    decide_retry,
    split,
)
from tests.common import function_suite
from tests.core.common import make_context, make_route

MAX_LEVELS = 9
MAX_CALLS_PER_LEVEL = 3
CALLS_PER_TREE = 400


def unlimited_budget() -> RetryBudget:
    """Return a budget too large to limit the retries."""
    return RetryBudget(RetryBudgetOptions(min_per_s=1e9, max_retries=1e9), 0.0)


def decide(
    result: CallResult, context: CallContext, *, tokens: int = 1
) -> Retry | None:
    """Decide on a retry after one attempt, at time 0."""
    return decide_retry(result, context, unlimited_budget(), tokens, 1, 0.0, Random(1))


class RandomCallTree:
    """A random call tree, run as by the daemons; counts its calls and attempts."""

    def __init__(self, seed: int, failure_rate: float) -> None:
        self.rng = Random(seed)
        self.failure_rate = failure_rate
        self.calls = 0
        self.attempts = 0
        self.tree = CallTree()
        self.budget = unlimited_budget()
        self.failed = CallResult(unknown(Reason.PEER_LOST), served_by="a")

    def call(self, context: CallContext, levels: int) -> int:
        """Make one call with its retries; return the number of tokens handed back."""
        self.calls += 1
        tokens = context.retry_tokens
        attempts = 0
        while True:
            attempts += 1
            self.attempts += 1
            parts = split(tokens)
            tokens = parts.kept + self.run(context, parts.moved, levels)
            if self.rng.random() >= self.failure_rate:
                return tokens
            retry = decide_retry(
                self.failed, context, self.budget, tokens, attempts, 0.0, self.rng
            )
            if retry is None:
                return tokens
            tokens -= 1

    def run(self, context: CallContext, tokens: int, levels: int) -> int:
        """Run one attempt with its nested calls; return the number of tokens left."""
        if self.rng.random() < self.failure_rate / 2:
            return 0
        token = f"token-{self.attempts}"
        opened = make_context(depth=context.depth, retry_tokens=tokens)
        self.tree.open(opened, token)
        for ticket in range(self.rng.randint(0, MAX_CALLS_PER_LEVEL)):
            if levels <= 1 or self.calls > CALLS_PER_TREE:
                break
            nested = self.tree.child_context(token, make_route(), 0.0)
            assert isinstance(nested, CallContext)
            self.tree.started(token, ticket, nested)
            left = self.call(nested, levels - 1)
            self.tree.finished(token, ticket, left)
        return self.tree.close(token).retry_tokens_left


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.integers(0, 2**32),
    st.integers(0, 8),
    st.integers(1, MAX_LEVELS),
    st.floats(0.0, 1.0),
)
def test_attempts_of_a_tree_are_bounded(
    seed: int, allowance: int, levels: int, failure_rate: float
) -> None:
    """A tree makes at most as many attempts as it has calls and root retry tokens."""
    tree_run = RandomCallTree(seed, failure_rate)
    left = tree_run.call(make_context(retry_tokens=allowance), levels)
    assert tree_run.attempts + left <= tree_run.calls + allowance


@given(st.integers(0, 1000), st.booleans())
def test_split_keeps_the_sum(tokens: int, nested: bool) -> None:
    """A split neither adds nor loses tokens."""
    parts = split(tokens, nested=nested)
    assert parts.kept + parts.moved == tokens
    assert min(parts.kept, parts.moved) >= 0


def test_never_after_a_non_idempotent_send() -> None:
    """A call that is not idempotent is retried only if it certainly did not run."""
    context = make_context(idempotent=False)
    lost = CallResult(unknown(Reason.PEER_LOST), served_by="a")
    assert decide(lost, context) is None
    assert decide(CallResult(Response(503), served_by="a"), context) is None
    full = CallResult(not_run(Reason.QUEUE_FULL), served_by="a")
    assert decide(full, context) is not None


def test_not_to_the_instance_that_failed() -> None:
    """The retry excludes the instance that failed."""
    lost = CallResult(unknown(Reason.PEER_LOST), served_by="a")
    retry = decide(lost, make_context())
    assert retry is not None
    assert retry.excluded == "a"


def test_early_refusal_stands() -> None:
    """A call refused before any attempt is not retried, as this undoes the refusal."""
    early = CallResult(not_run(Reason.OVERLOADED), attempts=0)
    assert decide(early, make_context()) is None


def test_what_waiting_cannot_mend_is_not_retried() -> None:
    """Refusals due to the caller, cancellations and responses are not retried."""
    context = make_context()
    for reason in (Reason.KEY_WITHDRAWN, Reason.CANCELLED, Reason.RATE_EXCEEDED):
        assert decide(CallResult(not_run(reason), served_by="a"), context) is None
    assert decide(CallResult(Response(200), served_by="a"), context) is None
    lost = CallResult(unknown(Reason.PEER_LOST), served_by="a")
    assert decide(lost, context, tokens=0) is None
    assert decide(lost, make_context(deadline=0.005)) is None


def test_budget_is_a_share_of_successes() -> None:
    """A pool without successes gets no more retries."""
    options = RetryBudgetOptions(share=0.1, min_per_s=0.0, max_retries=50.0)
    budget = RetryBudget(options, 0.0)
    while budget.spend(0.0):
        pass
    for _ in range(100):
        budget.succeeded()
    assert sum(budget.spend(0.0) for _ in range(100)) in (9, 10)
    assert not budget.spend(1000.0)


def test_no_retry_without_budget() -> None:
    """A call is not retried if the retry budget of its pool is spent."""
    budget = RetryBudget(RetryBudgetOptions(min_per_s=0.0), 0.0)
    lost = CallResult(unknown(Reason.PEER_LOST), served_by="a")
    retries = [
        decide_retry(lost, make_context(), budget, 1, 1, 0.0, Random(1))
        for _ in range(10)
    ]
    assert retries[0] is not None
    assert retries[1:] == [None] * 9


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
