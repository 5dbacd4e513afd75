"""Tests of adapters.telemetry.bound."""

import unittest

from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.adapters.telemetry.const import LABEL_OTHER, MAX_WORKSPACE_LABELS
from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.outcome import Reason, not_run
from tests.common import function_suite

CONTEXT = CallContext("", "w", 2, 10.0, "r", "p", True)


def test_calls_are_counted_by_outcome_and_reason() -> None:
    """Responses, refusals and calls refused before routing are counted separately."""
    telemetry = BoundTelemetry()
    answered = CallResult(Response(200), attempts=2, backend_s=0.01)
    telemetry.call_ended(CONTEXT, answered, took_s=0.02)
    refused = CallResult(not_run(Reason.QUEUE_FULL), attempts=0)
    telemetry.call_ended(CONTEXT, refused, took_s=0.02)
    telemetry.record_refusal("w", not_run(Reason.RATE_EXCEEDED))
    telemetry.record_queue_wait(CONTEXT, 0.001)
    telemetry.gauge("links_up", "text", lambda: 3.0)
    text = telemetry.scrape().decode()
    for line in (
        'calls_total{outcome="answer",priority="2",reason="",workspace="w"} 1.0',
        'calls_total{outcome="not_run",priority="2",reason="queue_full",'
        'workspace="w"} 1.0',
        'calls_total{outcome="not_run",priority="",reason="rate_exceeded",'
        'workspace="w"} 1.0',
        'retries_total{priority="2",workspace="w"} 1.0',
        'call_duration_seconds_count{priority="2",workspace="w"} 2.0',
        'queue_wait_seconds_count{priority="2",workspace="w"} 1.0',
        "links_up 3.0",
    ):
        assert line in text, line


def test_labels_are_bounded() -> None:
    """Workspaces beyond the limit share one label."""
    telemetry = BoundTelemetry()
    refusal = not_run(Reason.RATE_EXCEEDED)
    for number in range(MAX_WORKSPACE_LABELS + 50):
        telemetry.record_refusal(f"w{number}", refusal)
    text = telemetry.scrape().decode()
    assert f'workspace="{LABEL_OTHER}"}} 50.0' in text


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
