"""Tests that the pages on promises and measurements name what exists."""

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
    """No test on the page is gone, and no promise stands without one."""
    promises = PAGE.split("\n## ")[1:]
    assert len(promises) == PROMISES
    for promise in promises:
        names = re.findall(r"`(tests\.[\w.]+)`", promise)
        assert names, promise
        for name in names:
            assert isinstance(resolve_name(name), FunctionType), name


def test_each_module_on_the_page_exists() -> None:
    """The mechanisms stand where the page says."""
    for name in re.findall(r"`([\w/]+\.py)`", PAGE):
        assert (ROOT / name).exists() or (ROOT / "damaskbay" / name).exists(), name


def test_each_measurement_has_its_part() -> None:
    """The page on measurements leaves none out."""
    for name in NAMES:
        assert f"\n## {name}\n" in BENCH_PAGE, name


def _keys(item: Any, place: str = "") -> set[str]:
    """Return the dotted places of all figures; a list's objects are one place."""
    if isinstance(item, list):
        return {key for each in item for key in _keys(each, f"{place}[]")}
    if not isinstance(item, dict):
        return {place}
    places = {name: f"{place}.{name}" if place else name for name in item}
    return {key for name in item for key in _keys(item[name], places[name])}


def test_each_key_of_the_results_is_in_the_dictionary() -> None:
    """A recorded figure has its unit and meaning on the page."""
    general, *parts = re.split(r"\n## (\w+)\n", BENCH_PAGE)
    for name, part in zip(parts[::2], parts[1::2], strict=True):
        cells = re.findall(r"^\| (`.*?) \|", general + part, re.MULTILINE)
        known = re.findall(r"`([\w.\[\]]+)`", " ".join(cells))
        patterns = [re.escape(key).replace("NAME", r"[^.]+") for key in known]
        path = RESULTS / f"{name}.json"
        for key in _keys(json.loads(path.read_text())) if path.exists() else ():
            assert any(re.fullmatch(item, key) for item in patterns), (name, key)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
