"""Check that the pages on guarantees and measurements match the code."""

import json
import re
import unittest
from pathlib import Path
from pkgutil import resolve_name
from types import FunctionType
from typing import Any

from bench.__main__ import NAMES
from tests.common import function_suite

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results"
BENCH_PAGE = (ROOT / "docs" / "bench.md").read_text()
PAGE = (ROOT / "docs" / "always-hold.md").read_text()
PROMISES = 13


def test_each_promise_names_tests_that_exist() -> None:
    """Each guarantee names at least one test, and all named tests exist."""
    promises = PAGE.split("\n## ")[1:]
    assert len(promises) == PROMISES
    for promise in promises:
        names = re.findall(r"`(tests\.[\w.]+)`", promise)
        assert names, promise
        for name in names:
            assert isinstance(resolve_name(name), FunctionType), name


def test_each_module_on_the_page_exists() -> None:
    """All modules named on the page exist."""
    for name in re.findall(r"`([\w/]+\.py)`", PAGE):
        assert (ROOT / name).exists() or (ROOT / "damaskbay" / name).exists(), name


def test_each_measurement_has_its_part() -> None:
    """The page on measurements has a section for each measurement."""
    for name in NAMES:
        assert f"\n## {name}\n" in BENCH_PAGE, name


def _key_paths(item: Any, path_prefix: str = "") -> set[str]:
    """Return the dotted paths of all figures; items of a list share one path."""
    if isinstance(item, list):
        return {key for each in item for key in _key_paths(each, f"{path_prefix}[]")}
    if not isinstance(item, dict):
        return {path_prefix}
    paths = {name: f"{path_prefix}.{name}" if path_prefix else name for name in item}
    return {key for name in item for key in _key_paths(item[name], paths[name])}


def test_each_key_of_the_results_is_in_the_dictionary() -> None:
    """The page documents each recorded figure."""
    general, *parts = re.split(r"\n## (\w+)\n", BENCH_PAGE)
    for name, part in zip(parts[::2], parts[1::2], strict=True):
        cells = re.findall(r"^\| (`.*?) \|", general + part, re.MULTILINE)
        known = re.findall(r"`([\w.\[\]]+)`", " ".join(cells))
        patterns = [re.escape(key).replace("NAME", r"[^.]+") for key in known]
        path = RESULTS / f"{name}.json"
        for key in _key_paths(json.loads(path.read_text())) if path.exists() else ():
            assert any(re.fullmatch(item, key) for item in patterns), (name, key)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
