"""Pattern: many callers send or read very slowly, or stop half-way."""

import itertools
import unittest

from tests.common import function_suite
from tests.misbehaving.common import (
    READY,
    ROUTED,
    UNROUTED,
    limited_daemon,
    pipelined,
    play,
    split,
)

CLIENTS = 320
"""More than a daemon may open descriptors for."""

LARGE = ROUTED.replace(b"/x", b"/large") + b"\r\n"


def test_senders_that_stop_in_the_head() -> None:
    """Guards against connections without a limit."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, lambda: [UNROUTED], clients=CLIENTS)


def test_senders_that_stop_in_the_body() -> None:
    """Guards against bodies that wait for their rest."""
    body = b"Content-Length: 65536\r\n\r\n" + bytes(65_000)
    pieces = [ROUTED.replace(b"GET", b"POST"), body]
    with limited_daemon() as daemon:
        play(daemon, daemon.port, lambda: pieces, clients=CLIENTS)


def test_senders_of_single_bytes() -> None:
    """Guards against an overhead for each read of an unfinished head."""
    with limited_daemon() as daemon:
        pieces = split(UNROUTED + b"a:\r\n" * 1000, 1)
        play(daemon, daemon.port, lambda: pieces, clients=CLIENTS)


def test_readers_that_stop_half_way() -> None:
    """Guards against responses that wait for their callers."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, lambda: [LARGE], clients=CLIENTS, reads_bytes=5000)


def test_readers_of_single_bytes() -> None:
    """Guards against refusals that nobody reads."""
    with limited_daemon() as daemon:
        bad = itertools.repeat(b"GET / HTTP/1.1\r\n:\r\n\r\n")
        play(daemon, daemon.port, lambda: bad, clients=CLIENTS, reads_bytes=1)


def test_many_connections_at_the_readiness_port() -> None:
    """Guards against a status server that takes all descriptors."""
    with limited_daemon() as daemon:
        play(daemon, daemon.readiness_port, lambda: [READY], clients=CLIENTS)


def test_many_connections_at_the_control_port() -> None:
    """Guards against a control server that takes all descriptors."""
    with limited_daemon() as daemon:
        play(daemon, daemon.ports().control, lambda: [UNROUTED], clients=CLIENTS)


def test_many_connections_at_the_metrics_port() -> None:
    """Guards against a server of metrics that takes all descriptors."""
    with limited_daemon() as daemon:
        pieces = pipelined(UNROUTED)
        play(daemon, daemon.ports().metrics, pieces, clients=CLIENTS)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
