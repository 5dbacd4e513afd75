"""Tests of helpers.logs."""

import io
import logging
import threading
import unittest

from damaskbay.helpers.keys import new_key_secret
from damaskbay.helpers.logs import (
    MAX_QUEUED_LINES,
    RateLimitFilter,
    RedactFilter,
    set_up_queued_logging,
)
from tests.common import function_suite


def _record(message: str, *arguments: object) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "f", 1, message, arguments, None)


def test_storms_are_cut_and_counted() -> None:
    """Each message is limited per second; a later line has the suppressed count."""
    now = 0.0
    limiter = RateLimitFilter(3, clock=lambda: now)
    passed = sum(limiter.filter(_record("edge: %s.", number)) for number in range(10))
    assert (passed, limiter.dropped) == (3, 7)
    assert limiter.filter(_record("other"))
    now = 1.5
    late = _record("edge: %s.", 11)
    assert limiter.filter(late)
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


class _BlockedStream(io.StringIO):
    """A stream whose writes block until `unblocked` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text: str) -> int:
        self.unblocked.wait(10)
        return super().write(text)


def test_a_flood_never_blocks_and_stays_bounded() -> None:
    """Lines are dropped and counted while writes to the stream block."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = _BlockedStream()
    handler, writer = set_up_queued_logging(
        level="INFO", lines_per_s=1e9, stream=stream
    )
    logger = logging.getLogger("tests.flood")
    try:
        for number in range(3 * MAX_QUEUED_LINES):
            logger.info("ingress: request refused.", extra={"request_id": number})
        assert handler.dropped >= 2 * MAX_QUEUED_LINES - 10
        assert not writer.stop(timeout_s=0.1)
        stream.unblocked.set()
        assert writer.stop(timeout_s=60.0)
    finally:
        stream.unblocked.set()
        root.handlers[:], root.level = handlers, level


def test_lines_of_one_reason_are_cut_and_counted() -> None:
    """Lines with another `why` are limited separately."""
    now = [100.0]
    limiter = RateLimitFilter(3.0, lambda: now[0])

    def record(why: str) -> logging.LogRecord:
        made = logging.LogRecord("n", logging.INFO, "f", 1, "m", (), None)
        made.why = why
        return made

    assert [limiter.filter(record("a")) for _ in range(5)] == [True] * 3 + [False] * 2
    assert limiter.filter(record("b"))
    now[0] += 1.5
    later = record("a")
    assert limiter.filter(later)
    assert "2 more like this suppressed" in later.msg


def test_lines_that_are_suppressed_before_they_are_made_are_counted() -> None:
    """Asking first suppresses as many lines, and the later line has their count."""
    now = [100.0]
    limiter = RateLimitFilter(3.0, lambda: now[0])

    def is_logged() -> bool:
        if limiter.suppresses("x", "edge.", "a"):
            return False
        record = _record("edge.")
        record.why = "a"
        return limiter.filter(record)

    assert [is_logged() for _ in range(5)] == [True] * 3 + [False] * 2
    assert limiter.dropped == 2
    assert not limiter.suppresses("x", "edge.", "b")
    now[0] += 1.5
    assert not limiter.suppresses("x", "edge.", "a")
    later = _record("edge.")
    later.why = "a"
    assert limiter.filter(later)
    assert "2 more like this suppressed" in later.msg


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
