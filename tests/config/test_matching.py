"""Tests of config.matching."""

import unittest
from typing import Any

from hypothesis import given, settings, strategies as st

from damaskbay.config.document import build
from damaskbay.config.matching import RouteTable
from tests.common import function_suite
from tests.config.common import SAMPLE, document


def _table(**changes: Any) -> RouteTable:
    return RouteTable(build(document(**changes), 1))


def _route(**changes: Any) -> dict[str, Any]:
    return {**SAMPLE["routes"]["record"], **changes}


def _name(table: RouteTable, host: str, method: str, path: str) -> str | None:
    route = table.match(host, method, path)
    return None if route is None else route.name


def test_longest_prefix_whose_methods_fit() -> None:
    """Prefixes match complete segments; other requests match a shorter prefix."""
    table = _table(routes__deep=_route(path_prefix="/file/old/", methods=["GET"]))
    expected = {
        ("POST", "/file"): "file",
        ("POST", "/file/?a=/record"): "file",
        ("POST", "/file/old/1"): "file",
        ("GET", "/file/old/1"): "deep",
        ("GET", "/file/older"): "home",
        ("GET", "/"): "home",
        ("GET", "/files"): "home",
    }
    for (method, path), name in expected.items():
        assert _name(table, "any", method, path) == name, path


def test_an_exact_host_goes_first() -> None:
    """An exact host wins; case, port and trailing dot of the host are ignored."""
    table = _table(routes__own=_route(host="a.example", path_prefix="/file"))
    assert _name(table, "A.example.:8080", "POST", "/file/1") == "own"
    assert _name(table, "b.example", "POST", "/file/1") == "file"
    assert _name(table, "a.example", "GET", "/other") == "home"


def test_an_ambiguous_path_has_no_route() -> None:
    """Ambiguous paths cannot reach a keyed route through an open one."""
    table = _table()
    for path in (
        "/x/../record", "/./record", "//record", "/%2e%2e/record", "/x%2Frecord",
        "/..;/record", "/x\\..\\record", "/x%5crecord", "/%00", "record", "*", "",
    ):  # fmt: skip
        assert _name(table, "any", "GET", path) is None, path
    assert _name(table, "any", "GET", "/%72ecord") == "record"


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=30), st.text(max_size=10), st.text(max_size=40))
def test_any_request_gives_a_route_or_none(host: str, method: str, path: str) -> None:
    """Arbitrary requests never raise an exception."""
    _table().match(host, method, path)


def test_the_table_stays_while_no_route_changes() -> None:
    """The table is reused for a set with the same collection of routes."""
    one = document()
    table = RouteTable(build(one, 1))
    assert table.for_config(build(one, 2)) is table
    other = build(document(routes__file__deadline_s=9), 3)
    assert table.for_config(other) is not table


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
