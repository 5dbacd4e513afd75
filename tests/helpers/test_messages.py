"""Tests of helpers.messages."""

import unittest
from dataclasses import dataclass

from hypothesis import given, strategies as st

from damaskbay.helpers.messages import InvalidMessage, message, pack, unpack
from tests.common import function_suite

MAX_BYTES = 1000


@message("test.sample")
@dataclass(frozen=True, slots=True)
class Sample:
    """A message with each kind of field."""

    name: str
    count: int
    body: bytes
    pairs: tuple[tuple[str, int], ...] = ()


@given(st.text(max_size=20), st.integers(0, 2**40), st.binary(max_size=50))
def test_round_trip(name: str, count: int, body: bytes) -> None:
    """Unpacking a packed message returns an equal message."""
    sample = Sample(name, count, body, (("a", 1),))
    assert unpack(pack(sample), max_bytes=MAX_BYTES) == sample


@given(st.binary(max_size=200))
def test_garbage_is_a_value_not_an_exception(data: bytes) -> None:
    """Unpacking any bytes returns a message or InvalidMessage and raises nothing."""
    unpack(data, max_bytes=MAX_BYTES)


def test_too_large() -> None:
    """A message over the size limit is rejected."""
    data = pack(Sample("a", 1, b"x" * MAX_BYTES))
    assert isinstance(unpack(data, max_bytes=MAX_BYTES), InvalidMessage)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
