"""Check that the table in docs/CAPACITY.md matches the recorded results."""

import unittest

from bench.capacity import BEGIN_MARK, END_MARK, PAGE, Line, markdown, table
from tests.common import function_suite


def test_the_page_holds_the_recomputed_table() -> None:
    """The page shows the figures and verdicts computed from the results."""
    text = PAGE.read_text()
    begin = text.index(BEGIN_MARK) + len(BEGIN_MARK)
    assert text[begin : text.index(END_MARK)].strip() == markdown(table())


def test_a_figure_above_its_limit_does_not_fit() -> None:
    """A figure fits at its limit and does not fit above it."""
    assert Line("r", "w", 4.4, 4.4, "%", "m").fits
    assert not Line("r", "w", 4.41, 4.4, "%", "m").fits


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
