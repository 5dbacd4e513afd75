"""Pattern: callers send large bodies, and stop just short of their end."""

import itertools
import unittest

from tests.common import function_suite
from tests.misbehaving.common import (
    MAX_BODY_BYTES,
    PIECE_BYTES,
    ROUTED,
    UNROUTED,
    MakePieces,
    limited_daemon,
    play,
    split,
)

SMALL_PIECE_BYTES = 1500
CHUNK = b"400\r\n" + bytes(0x400) + b"\r\n"
CHUNKS = MAX_BODY_BYTES // 0x400


def _post(head: bytes) -> bytes:
    return head.replace(b"GET", b"POST", 1)


def _with_length(head: bytes, size: int, piece_bytes: int) -> MakePieces:
    """Return a body of MAX_BODY_BYTES that lacks its last byte."""
    begin = _post(head) + f"Content-Length: {size}\r\n\r\n".encode()
    return lambda: [begin, *split(bytes(MAX_BODY_BYTES - 1), piece_bytes)]


def _in_chunks(head: bytes, chunks: int) -> MakePieces:
    """Return a body without its last chunk."""
    begin = _post(head) + b"Transfer-Encoding: chunked\r\n\r\n"
    per_piece = PIECE_BYTES // len(CHUNK)
    piece = CHUNK * per_piece
    return lambda: [begin, *itertools.repeat(piece, chunks // per_piece)]


def test_bodies_in_one_piece() -> None:
    """Guards against bodies that are kept and not counted."""
    with limited_daemon() as daemon:
        pieces = _with_length(ROUTED, MAX_BODY_BYTES, MAX_BODY_BYTES)
        play(daemon, daemon.port, pieces)


def test_bodies_in_small_pieces() -> None:
    """Guards against an overhead for each piece."""
    with limited_daemon() as daemon:
        pieces = _with_length(UNROUTED, MAX_BODY_BYTES, SMALL_PIECE_BYTES)
        play(daemon, daemon.port, pieces)


def test_bodies_in_chunks() -> None:
    """Guards against a size that is unknown, and an overhead for each chunk."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, _in_chunks(ROUTED, CHUNKS))


def test_bodies_far_over_the_limit() -> None:
    """Guards against bodies that are kept although their length is refused."""
    with limited_daemon() as daemon:
        pieces = _with_length(ROUTED, 100 * MAX_BODY_BYTES, PIECE_BYTES)
        play(daemon, daemon.port, pieces)


def test_chunks_far_over_the_limit() -> None:
    """Guards against chunks that are kept beyond the limit."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, _in_chunks(UNROUTED, 100 * CHUNKS))


def test_bodies_at_the_readiness_port() -> None:
    """Guards against a status server without limits."""
    with limited_daemon() as daemon:
        pieces = _with_length(UNROUTED, MAX_BODY_BYTES, PIECE_BYTES)
        play(daemon, daemon.readiness_port, pieces)


def test_chunks_at_the_control_port() -> None:
    """Guards against a control server without limits."""
    with limited_daemon() as daemon:
        play(daemon, daemon.ports().control, _in_chunks(UNROUTED, CHUNKS))


def test_bodies_at_the_metrics_port() -> None:
    """Guards against a server of metrics without limits."""
    with limited_daemon() as daemon:
        pieces = _with_length(UNROUTED, MAX_BODY_BYTES, PIECE_BYTES)
        play(daemon, daemon.ports().metrics, pieces)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
