"""Check the examples on the operators' page."""

import json
import re
import tempfile
import unittest
from pathlib import Path
from typing import Any

from damaskbay.cli.const import COMMANDS
from damaskbay.config.check import read_checked
from damaskbay.config.document import Document
from damaskbay.daemon.settings import DaemonSettings, load_settings
from tests.common import function_suite

PAGE = Path(__file__).parent.parent.parent / "docs" / "operators.md"


def _json_blocks() -> list[dict[str, Any]]:
    blocks = re.findall(r"```json\n(.*?)```", PAGE.read_text(), re.DOTALL)
    return [json.loads(block) for block in blocks]


def test_the_settings_and_the_set_are_valid() -> None:
    """The example settings and configuration set pass validation."""
    settings, example = _json_blocks()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings, file)
        file.flush()
        assert isinstance(load_settings(Path(file.name)), DaemonSettings)
    assert isinstance(read_checked(example), Document)


def test_each_sub_command_on_the_page_exists() -> None:
    """Each sub-command on the page is a command of the command line."""
    named = set(re.findall(r"(?:`|    (?:\$ )?)damaskbay ([a-z]+)", PAGE.read_text()))
    assert named and named <= set(COMMANDS), named


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
