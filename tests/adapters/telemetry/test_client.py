"""Tests of adapters.telemetry.client."""

import unittest

from damaskbay.adapters.telemetry.client import Telemetry
from damaskbay.adapters.telemetry.const import MAX_WORKSPACE_LABELS
from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.outcome import Reason, not_run
from tests.common import function_suite


def _context(workspace: str, rank: int = 0) -> CallContext:
    return CallContext("c", workspace, rank, 1.0, "r", "p", idempotent=True)


def test_histograms_per_workspace_and_priority() -> None:
    """Durations, added time and queue wait have both labels; refusals are counted."""
    telemetry = Telemetry(instance="campo-1", failure_domain="centro-a")
    answered = CallResult(Response(200), backend_s=0.01)
    telemetry.call_ended(_context("w", 1), answered, took_s=0.0125)
    refused = CallResult(not_run(Reason.RATE_EXCEEDED), attempts=0)
    telemetry.call_ended(_context("w", 1), refused, took_s=0.0)
    telemetry.record_queue_wait(_context("w", 1), 0.004)
    text = telemetry.scrape().decode()
    telemetry.close()
    count_lines = [
        line
        for line in text.splitlines()
        if line.startswith("call_duration_seconds_count{")
    ]
    assert len(count_lines) == 1
    assert 'priority="1"' in count_lines[0]
    assert 'workspace="w"' in count_lines[0]
    assert "added_time_seconds_bucket" in text
    assert "queue_wait_seconds_sum" in text
    assert 'reason="rate_exceeded"' in text


def test_labels_are_bounded_whatever_callers_send() -> None:
    """Workspaces beyond the limit share one label; calls without context add none."""
    telemetry = Telemetry(instance="campo-1", failure_domain="centro-a")
    result = CallResult(not_run(Reason.KEY_UNKNOWN), attempts=0)
    for number in range(2 * MAX_WORKSPACE_LABELS):
        telemetry.call_ended(_context(f"w{number}"), result, took_s=0.0)
    telemetry.call_ended(None, result, took_s=0.0)
    text = telemetry.scrape().decode()
    telemetry.close()
    lines = [line for line in text.splitlines() if line.startswith("calls_total{")]
    assert len(lines) == MAX_WORKSPACE_LABELS + 2
    assert 'workspace="other"' in text


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
