"""Tests of core.explain."""

import unittest

from damaskbay.core.explain import (
    MAX_PER_WORKSPACE,
    MAX_WORKSPACES,
    Decision,
    DecisionLog,
)
from tests.common import function_suite


def _decision(number: int, workspace: str = "w") -> Decision:
    return Decision(float(number), f"c{number}", workspace, "refused", "reason", 1)


def test_found_by_call_and_by_workspace() -> None:
    """Decisions are found by call id and by workspace, oldest first."""
    log = DecisionLog()
    for number in range(3):
        log.record(_decision(number))
    log.record(_decision(1))
    assert [item.at for item in log.by_call("c1")] == [1.0, 1.0]
    assert [item.call_id for item in log.by_workspace("w")] == ["c0", "c1", "c2", "c1"]
    assert log.by_call("other") == ()


def test_memory_is_bounded() -> None:
    """Arbitrary call ids and workspaces replace only the oldest decisions."""
    log = DecisionLog(max_decisions=100)
    for number in range(5 * MAX_WORKSPACES):
        log.record(_decision(number, f"w{number}"))
    assert len(log) == 100
    assert log.by_call("c0") == ()
    assert log.by_workspace("w0") == ()
    for number in range(2 * MAX_PER_WORKSPACE):
        log.record(_decision(number, "busy"))
    assert len(log.by_workspace("busy")) == MAX_PER_WORKSPACE


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
