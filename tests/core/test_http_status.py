"""Tests of core.http_status."""

import unittest

from damaskbay.core.http_status import status_of
from damaskbay.core.outcome import Reason, not_run
from tests.common import function_suite


def test_every_reason_has_an_error_status() -> None:
    """No refusal has the status of a successful response."""
    for reason in Reason:
        assert 400 <= status_of(not_run(reason)) <= 599


def test_statuses_that_callers_rely_on() -> None:
    """The statuses of common refusals are stable."""
    assert status_of(not_run(Reason.KEY_WITHDRAWN)) == 401
    assert status_of(not_run(Reason.RATE_EXCEEDED)) == 429
    assert status_of(not_run(Reason.ALREADY_RUNNING)) == 409


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
