"""Tests of cli.trace."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from damaskbay.cli.main import main
from tests.common import function_suite

LINES = """\
 -1.0 d1 {"asctime": "12:00:02", "message": "ingress: request refused.", "request_id": "a1", "why": "overloaded"}
no json a1
{"asctime": "12:00:01", "message": "target: call refused.", "request_id": "a1.b2", "why": "queue_full", "detail": null}
{"asctime": "12:00:00", "message": "ingress: request refused.", "request_id": "a12", "why": "no_route"}
{"broken": "a1
"""  # noqa: E501


def _trace(request_id: str) -> tuple[int, list[str]]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "lines"
        path.write_text(LINES)
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = main(["trace", request_id, str(path)])
    return code, out.getvalue().splitlines()


def test_a_story_goes_down_to_nested_calls() -> None:
    """Only the request and its nested calls are shown, by time, indented by depth."""
    code, lines = _trace("a1")
    assert code == 0
    assert lines == [
        "12:00:01   target: call refused. why=queue_full",
        "12:00:02 ingress: request refused. why=overloaded",
    ]


def test_an_unknown_id_is_told() -> None:
    """An id without log lines gives exit code 1 and a message."""
    assert _trace("zz") == (1, ["no line names zz"])


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
