"""Tests that docs/callers.md matches the code."""

import unittest
from pathlib import Path

from damaskbay.core.http_status import status_of
from damaskbay.core.outcome import Reason, not_run
from tests.common import function_suite

PAGE = Path(__file__).parents[2] / "docs" / "callers.md"


def test_table_has_every_reason_with_its_status() -> None:
    """The table lists every reason with its current status."""
    rows = [
        [cell.strip(" `") for cell in line.split("|")[1:3]]
        for line in PAGE.read_text().splitlines()
        if line.startswith("| `") and line.split("|")[2].strip().isdigit()
    ]
    listed = {reason: int(status) for reason, status in rows}
    assert listed == {item.value: status_of(not_run(item)) for item in Reason}


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
