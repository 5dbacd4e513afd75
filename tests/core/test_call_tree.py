"""Tests of core.call_tree."""

import unittest

from damaskbay.core.call import CallContext
from damaskbay.core.call_tree import CallTree
from damaskbay.core.outcome import Reason, Refusal
from tests.common import function_suite
from tests.core.common import make_context, make_route


def child(tree: CallTree, token: str, now: float = 0.0) -> CallContext:
    """Return the context of a nested call; fail if it is refused."""
    context = tree.child_context(token, make_route(), now)
    assert isinstance(context, CallContext)
    return context


def test_child_inherits_from_the_root() -> None:
    """A nested call gets the workspace, priority, call id and earlier deadline."""
    tree = CallTree()
    tree.open(make_context(priority_rank=0, deadline=3.0), "t")
    context = child(tree, "t")
    assert (context.workspace, context.priority_rank) == ("fitters", 0)
    assert (context.call_id, context.depth, context.deadline) == ("call-1", 1, 3.0)
    assert (context.route, context.pool) == ("file", "registro")


def test_route_may_shorten_the_deadline() -> None:
    """The deadline of the route applies if it is the earlier one."""
    tree = CallTree()
    tree.open(make_context(deadline=30.0), "t")
    assert child(tree, "t", 1.0).deadline == 6.0


def test_token_is_void_after_close_and_after_the_deadline() -> None:
    """A call token is valid only while its request runs."""
    tree = CallTree()
    tree.open(make_context(), "t")
    tree.close("t")
    closed = tree.child_context("t", make_route(), 0.0)
    assert isinstance(closed, Refusal)
    assert closed.reason is Reason.CALL_TOKEN_UNKNOWN
    tree.open(make_context(deadline=2.0), "u")
    late = tree.child_context("u", make_route(), 2.0)
    assert isinstance(late, Refusal)
    assert late.reason is Reason.DEADLINE_PASSED


def test_depth_is_bounded() -> None:
    """A nested call beyond the maximum depth is refused."""
    tree = CallTree(max_depth=2)
    tree.open(make_context(depth=2), "t")
    refusal = tree.child_context("t", make_route(), 0.0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.CALL_TOO_DEEP


def test_tokens_are_moved_and_come_back_once() -> None:
    """Siblings share the parent's tokens; a second return has no effect."""
    tree = CallTree()
    tree.open(make_context(retry_tokens=3), "t")
    first = child(tree, "t")
    second = child(tree, "t")
    assert first.retry_tokens + second.retry_tokens <= 3
    tree.started("t", 1, first)
    tree.finished("t", 1, first.retry_tokens + 5)
    tree.finished("t", 1, first.retry_tokens)
    assert tree.close("t").retry_tokens_left == 3 - second.retry_tokens


def test_cancel_reaches_the_whole_subtree() -> None:
    """Cancelling a call ends its nested calls, over two levels at one daemon."""
    tree = CallTree()
    tree.open(make_context(), "root")
    tree.started("root", 1, child(tree, "root"))
    tree.open(make_context(depth=1), "inner", parent="root")
    tree.started("inner", 2, child(tree, "inner"))
    assert tree.cancel("root") == (2, 1)
    assert len(tree) == 0
    assert not tree.started("inner", 3, make_context())


def test_passed_deadline_cancels_the_subtree() -> None:
    """All calls below a call are cancelled when its deadline passes."""
    tree = CallTree()
    tree.open(make_context(deadline=1.0), "t")
    tree.started("t", 7, child(tree, "t"))
    assert tree.expire(0.9) == ()
    assert tree.expire(1.0) == (7,)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
