"""Tests of cli.progress."""

import io
import unittest

from damaskbay.cli.progress import UPDATE_INTERVAL, Progress
from tests.common import function_suite


class _Terminal(io.StringIO):
    """A stream that reports itself as a terminal."""

    def isatty(self) -> bool:
        return True


def test_a_person_sees_the_count_and_a_program_nothing() -> None:
    """Counts are written to terminals only, on one line ended on exit."""
    terminal, pipe = _Terminal(), io.StringIO()
    for stream in (terminal, pipe):
        with Progress("publish", stream) as progress:
            for count in range(1, 2 * UPDATE_INTERVAL + 1):
                progress(count)
    assert terminal.getvalue() == "\rpublish: 10\rpublish: 20\n"
    assert pipe.getvalue() == ""


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
