"""Tests of the one-pass filter of header lists."""

import unittest

from damaskbay.helpers.http_headers import MAX_CACHED_NAMES, HeaderFilter
from tests.common import function_suite


def _filter() -> HeaderFilter:
    return HeaderFilter(
        dropped=frozenset({"api-key"}), read=frozenset({"api-key", "x-id"})
    )


def test_what_is_read_may_be_kept_or_dropped() -> None:
    """A key is read and removed; an id is read and forwarded."""
    headers = (("API-Key", "k"), ("X-Id", "1"), ("Accept", "*/*"))
    kept, values = _filter().split(headers)
    assert kept == (("X-Id", "1"), ("Accept", "*/*"))
    assert values == {"api-key": "k", "x-id": "1"}


def test_the_first_of_repeated_headers_is_read() -> None:
    """The first of two ids is read; both headers are forwarded unchanged."""
    headers = (("X-Id", "1"), ("x-id", "2"))
    kept, values = _filter().split(headers)
    assert kept == headers
    assert values == {"x-id": "1"}


def test_headers_named_by_connection_are_left_out() -> None:
    """Hop-by-hop headers are not forwarded; their names ignore case."""
    headers = (
        ("Connection", "close, X-Trace"),
        ("x-trace", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Accept", "*/*"),
    )
    kept, values = _filter().split(headers)
    assert kept == (("Accept", "*/*"),)
    assert values == {}


def test_callers_cannot_fill_the_memory_with_names() -> None:
    """The cache of names is bounded, and filtering stays correct when it is full."""
    header_filter = _filter()
    for number in range(3 * MAX_CACHED_NAMES):
        assert header_filter.split(((f"X-{number}", "v"),))[0] == (
            (f"X-{number}", "v"),
        )
    assert len(header_filter._treatments_by_name) <= MAX_CACHED_NAMES
    assert header_filter.split((("api-key", "k"),)) == ((), {"api-key": "k"})


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
