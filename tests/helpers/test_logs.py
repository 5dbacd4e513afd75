"""Tests of helpers.logs."""

import logging
import unittest

from damaskbay.helpers.keys import new_key_secret
from damaskbay.helpers.logs import RedactFilter, StormFilter
from tests.common import function_suite


def _record(message: str, *arguments: object) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "f", 1, message, arguments, None)


def test_storms_are_cut_and_counted() -> None:
    """Only so many of one message pass in a second; the next one tells how many."""
    now = 0.0
    storms = StormFilter(3, clock=lambda: now)
    passed = sum(storms.filter(_record("edge: %s.", number)) for number in range(10))
    assert (passed, storms.dropped) == (3, 7)
    assert storms.filter(_record("other"))
    now = 1.5
    late = _record("edge: %s.", 11)
    assert storms.filter(late)
    assert "7 more" in late.getMessage()


def test_keys_never_reach_a_log() -> None:
    """Keys in messages, arguments and tracebacks are replaced."""
    key = new_key_secret()
    record = _record("edge: %s.", key)
    try:
        raise ValueError(key)
    except ValueError as error:
        record.exc_info = (type(error), error, error.__traceback__)
    assert RedactFilter().filter(record)
    assert key not in logging.Formatter().format(record)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
