"""Pattern: requests of legal size have very many short header fields."""

import unittest

from tests.common import function_suite
from tests.misbehaving.common import (
    ROUTED,
    UNROUTED,
    MakePieces,
    limited_daemon,
    pipelined,
    play,
    split,
)

FIELDS = b"a:\r\n" * 4000
CLIENTS = 120


def _incomplete(head: bytes) -> MakePieces:
    """Return a head that lacks its end, in pieces."""
    return lambda: split(head + FIELDS, 4096)


def test_many_fields_in_pipelined_requests() -> None:
    """Guards against fields that occupy a hundred times their size."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, pipelined(ROUTED + FIELDS))


def test_many_fields_in_heads_without_an_end() -> None:
    """Guards against heads that are kept and not counted."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, _incomplete(UNROUTED), clients=CLIENTS)


def test_many_fields_and_an_upgrade() -> None:
    """Guards against a head that is kept twice while it is parsed again."""
    fields = b"Connection: upgrade\r\nUpgrade: h2c\r\n" + FIELDS
    with limited_daemon() as daemon:
        play(daemon, daemon.port, pipelined(UNROUTED + fields))


def test_many_fields_of_requests_that_wait_for_continue() -> None:
    """Guards against heads that are kept for bodies that never come."""
    head = ROUTED.replace(b"GET", b"POST") + b"Expect: 100-continue\r\n" + FIELDS
    end = b"Content-Length: 10\r\n\r\n"
    with limited_daemon() as daemon:
        play(daemon, daemon.port, lambda: [head, end], clients=CLIENTS)


def test_many_fields_at_the_readiness_port() -> None:
    """Guards against a status server without limits."""
    with limited_daemon() as daemon:
        pieces = _incomplete(UNROUTED)
        play(daemon, daemon.readiness_port, pieces, clients=CLIENTS)


def test_many_fields_at_the_control_port() -> None:
    """Guards against a control server without limits."""
    with limited_daemon() as daemon:
        play(daemon, daemon.ports().control, pipelined(UNROUTED + FIELDS))


def test_many_fields_at_the_metrics_port() -> None:
    """Guards against a server of metrics without limits."""
    with limited_daemon() as daemon:
        play(daemon, daemon.ports().metrics, pipelined(UNROUTED + FIELDS))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
