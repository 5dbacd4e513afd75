"""Tests of encoding and decoding frames."""

import unittest

from hypothesis import given, strategies as st

from damaskbay.adapters.peer_link.exceptions import BadFrameError
from damaskbay.adapters.peer_link.frames import Frame, FrameKind, FrameReader, encode
from tests.common import function_suite

frames = st.builds(
    Frame,
    st.sampled_from(FrameKind),
    st.integers(0, 2**40),
    st.binary(max_size=40),
)


@given(st.lists(frames, max_size=8), st.integers(1, 9))
def test_frames_come_back_however_they_are_cut(sent: list[Frame], size: int) -> None:
    """Frames are decoded whatever the size of the received pieces."""
    data = b"".join(encode(*frame) for frame in sent)
    reader = FrameReader()
    received: list[Frame] = []
    for start in range(0, len(data), size):
        received.extend(reader.feed(data[start : start + size]))
    assert received == sent


@given(st.binary(min_size=1, max_size=60))
def test_garbage_is_no_frame(data: bytes) -> None:
    """Any bytes give frames, an incomplete frame or BadFrameError."""
    try:
        list(FrameReader().feed(data))
    except BadFrameError as error:
        assert str(error)


def test_a_wrong_shape_is_refused() -> None:
    """Wrong types, a wrong number of values or an unknown kind raise BadFrameError."""
    for invalid in (b"\x93\xc3\x00\xc4\x00", b"\x93\x63\x00\xc4\x00", b"\x90", b"\x01"):
        try:
            list(FrameReader().feed(invalid))
        except BadFrameError:
            continue
        raise AssertionError(invalid)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
