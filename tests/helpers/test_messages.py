"""Tests of helpers.messages."""

import unittest
from dataclasses import dataclass

from hypothesis import given, strategies as st

from damaskbay.core.outcome import Outcome, Reason
from damaskbay.daemon.messages import AnswerMessage, CallMessage, RefusalMessage
from damaskbay.helpers.messages import InvalidMessage, message, pack, unpack
from tests.common import function_suite

MAX_BYTES = 1000
ENCODED = (
    (
        "92a463616c6cdc0015a0a17702cb3ff8000000000000a172a170c30100a2696407c0a347"
        "4554a168a22f749192a141a162c40178c2cb3fe0000000000000c3c2"
    ),
    (
        "92ab63616c6c2e616e737765729accc89192a141a162c401780100cd0640a169cb3fd000"
        "0000000000cb3fe0000000000000c3"
    ),
    (
        "92ac63616c6c2e7265667573616c99aa71756575655f66756c6ca76e6f745f72756ecb3f"
        "d999999999999aa1640000c0a169cb3fe0000000000000"
    ),
)
"""A call, an answer and a refusal as an earlier version encoded them."""


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


def test_messages_of_calls_keep_their_form() -> None:
    """
    Daemons of earlier versions read the messages of calls, and are read.

    Guards against a change of the class of a message that changes its bytes.
    """
    call = CallMessage(
        *("", "w", 2, 1.5, "r", "p", True, 1, 0, "id", 7, None),
        *("GET", "h", "/t", (("A", "b"),), b"x", False, 0.5, True),
    )
    answer = AnswerMessage(
        200, (("A", "b"),), b"x", 1, 0, 1600, "i", 0.25, 0.5, nested_failed=True
    )
    reasons = Reason.QUEUE_FULL, Outcome.NOT_RUN
    refusal = RefusalMessage(*reasons, 0.4, "d", 0, 0, None, "i", 0.5)
    for item, encoded in zip((call, answer, refusal), ENCODED, strict=True):
        data = bytes.fromhex(encoded)
        assert pack(item) == data
        assert unpack(data, max_bytes=MAX_BYTES) == item


def test_too_large() -> None:
    """A message over the size limit is rejected."""
    data = pack(Sample("a", 1, b"x" * MAX_BYTES))
    assert isinstance(unpack(data, max_bytes=MAX_BYTES), InvalidMessage)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
