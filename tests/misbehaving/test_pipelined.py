"""Pattern: callers pipeline requests and don't read the responses."""

import unittest

from tests.common import function_suite
from tests.misbehaving.common import (
    CLIENTS,
    READY,
    ROUTED,
    UNROUTED,
    limited_daemon,
    pipelined,
    play,
)


# One read started a task for each of thousands of requests before reading paused.
def test_requests_with_a_route() -> None:
    """Guards against memory that grows with the requests in one read."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, pipelined(ROUTED), clients=2 * CLIENTS)


def test_requests_without_a_route() -> None:
    """Guards against the same for requests that are refused at once."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, pipelined(UNROUTED))


def test_requests_that_offer_an_upgrade() -> None:
    """Guards against a copy of the rest of a read for each request in it."""
    head = UNROUTED + b"Connection: upgrade\r\nUpgrade: h2c\r\n"
    with limited_daemon() as daemon:
        play(daemon, daemon.port, pipelined(head))


def test_requests_for_large_responses() -> None:
    """Guards against responses that wait for one caller without a limit."""
    head = ROUTED.replace(b"/x", b"/large")
    with limited_daemon() as daemon:
        play(daemon, daemon.port, pipelined(head))


def test_requests_for_readiness_at_the_port_of_callers() -> None:
    """Guards against a path that is handled before the limits."""
    with limited_daemon() as daemon:
        play(daemon, daemon.port, pipelined(READY))


def test_requests_for_readiness() -> None:
    """Guards against a status server without limits."""
    with limited_daemon() as daemon:
        play(daemon, daemon.readiness_port, pipelined(READY))


def test_requests_at_the_control_port() -> None:
    """Guards against a control server without limits."""
    with limited_daemon() as daemon:
        play(daemon, daemon.ports().control, pipelined(UNROUTED))


def test_requests_for_metrics() -> None:
    """Guards against metrics, each a large response, that nobody reads."""
    head = b"GET /metrics HTTP/1.1\r\nHost: b\r\n"
    with limited_daemon() as daemon:
        play(daemon, daemon.ports().metrics, pipelined(head))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
