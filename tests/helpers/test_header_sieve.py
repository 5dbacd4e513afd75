"""Tests of the one-pass split of header lists."""

import unittest

from damaskbay.helpers.http_headers import MAX_SORTED_NAMES, HeaderSieve
from tests.common import function_suite


def _sieve() -> HeaderSieve:
    return HeaderSieve(
        dropped=frozenset({"api-key"}), read=frozenset({"api-key", "x-id"})
    )


def test_what_is_read_may_be_kept_or_dropped() -> None:
    """A key is read and goes no further; an id is read and passed on."""
    headers = (("API-Key", "k"), ("X-Id", "1"), ("Accept", "*/*"))
    kept, values = _sieve().sift(headers)
    assert kept == (("X-Id", "1"), ("Accept", "*/*"))
    assert values == {"api-key": "k", "x-id": "1"}


def test_the_first_of_repeated_headers_is_read() -> None:
    """A second id changes nothing, but is passed on as it came."""
    headers = (("X-Id", "1"), ("x-id", "2"))
    kept, values = _sieve().sift(headers)
    assert kept == headers
    assert values == {"x-id": "1"}


def test_headers_named_by_connection_are_left_out() -> None:
    """What concerns one connection only is not passed on, whatever its case."""
    headers = (
        ("Connection", "close, X-Trace"),
        ("x-trace", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Accept", "*/*"),
    )
    kept, values = _sieve().sift(headers)
    assert kept == (("Accept", "*/*"),)
    assert values == {}


def test_callers_cannot_fill_the_memory_with_names() -> None:
    """Only so many names are remembered; the split stays right."""
    sieve = _sieve()
    for number in range(3 * MAX_SORTED_NAMES):
        assert sieve.sift(((f"X-{number}", "v"),))[0] == ((f"X-{number}", "v"),)
    assert len(sieve._fates) <= MAX_SORTED_NAMES
    assert sieve.sift((("api-key", "k"),)) == ((), {"api-key": "k"})


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
