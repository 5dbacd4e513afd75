"""What callers get from a WSGI server that drains."""

import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from typing import Any
from unittest.mock import patch

from damaskbay.helpers import wsgi_server
from damaskbay.helpers.wsgi_server import WsgiOptions, WsgiServer
from tests.common import function_suite

HOST = "127.0.0.1"
WAIT_S = 5.0
REQUEST = b"GET /%d HTTP/1.1\r\nHost: service\r\n\r\n"
CALLERS = 8


@contextmanager
def _server(before: Callable[[str], None] = lambda path: None) -> Iterator[WsgiServer]:
    """Run a server that answers with the path, after a call of `before` with it."""

    def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        before(path)
        start("200 OK", [("Content-Length", str(len(path)))])
        return [path.encode()]

    options = WsgiOptions(HOST, 0, threads=2, max_body_bytes=1000, lookahead=1)
    with WsgiServer(application, options, name="test") as server:
        yield server


def _connect(server: WsgiServer) -> socket.socket:
    caller = socket.create_connection((HOST, server.port), WAIT_S)
    caller.settimeout(WAIT_S)
    return caller


def _read_all(caller: socket.socket) -> bytes:
    """Return what a caller receives until its connection ends."""
    data = b""
    with suppress(ConnectionError, TimeoutError):
        while chunk := caller.recv(65_536):
            data += chunk
    return data


def _hold_loop(server: WsgiServer) -> threading.Event:
    """Stop the thread that accepts and reads until the returned event is set."""
    held, release = threading.Event(), threading.Event()
    trigger = server._server.trigger
    readable = trigger.readable

    def hold() -> bool:
        held.set()
        release.wait(WAIT_S)
        return bool(readable())

    trigger.readable = hold
    assert held.wait(WAIT_S)
    return release


def _finish(server: WsgiServer) -> None:
    """Close what is idle until no connection is left, as a stopping daemon does."""
    give_up_at = time.monotonic() + WAIT_S
    while server.open_connections() and time.monotonic() < give_up_at:
        server.close_idle()
        time.sleep(0.02)


# Guards against LOST: a connection that waits to be accepted when the listener closes.
def test_connections_that_were_not_accepted_yet_get_responses() -> None:
    """A caller that has connected and sent its request before the end is served."""
    with _server() as server:
        release = _hold_loop(server)
        callers = [_connect(server) for _ in range(CALLERS)]
        for number, caller in enumerate(callers):
            caller.sendall(REQUEST % number)
        server.drain()
        release.set()
        for number, caller in enumerate(callers):
            with caller:
                data = _read_all(caller)
                assert data.endswith(b"/%d" % number), (number, data)


# Guards against LOST: a request behind the response that closes its connection.
def test_pipelined_requests_get_responses() -> None:
    """Only the last response of a connection closes it."""
    with _server() as server, _connect(server) as caller:
        release = _hold_loop(server)
        server.drain()
        for number in range(CALLERS):
            caller.sendall(REQUEST % number)
        release.set()
        data = _read_all(caller)
        assert data.count(b"HTTP/1.1 200") == CALLERS, data
        assert data.count(b"Connection: close") == 1, data


# Guards against LOST: a request that arrives while its idle connection is closed.
def test_a_request_on_a_connection_that_was_idle_gets_a_response() -> None:
    """A connection with unread bytes is not idle."""
    with _server() as server, _connect(server) as caller:
        caller.sendall(REQUEST % 1)
        data = caller.recv(65_536)
        server.drain()
        release = _hold_loop(server)
        server.close_idle()
        caller.sendall(REQUEST % 2)
        time.sleep(0.05)
        release.set()
        data += _read_all(caller)
        assert data.endswith(b"/2"), data


# Guards against LOST: a request that was read in part, and then cut without an answer.
def test_a_half_read_request_is_read_or_answered() -> None:
    """It is served if its rest comes in time, and else gets 408."""
    ran: list[str] = []
    with _server(ran.append) as server:
        with _connect(server) as in_time, _connect(server) as late:
            for caller in (in_time, late):
                caller.sendall(REQUEST[:20])
            time.sleep(0.1)
            server.drain()
            server.close_idle()
            time.sleep(0.1)
            in_time.sendall(REQUEST[20:])
            data = _read_all(in_time)
            assert data.startswith(b"HTTP/1.1 200"), data
            server.reject_incomplete()
            data = _read_all(late)
            assert b" 408 Request Timeout\r\n" in data, data
            assert b"Connection: close" in data
            _finish(server)
    assert len(ran) == 1


# Guards against LOST: a request that nobody has read when the server ends.
def test_leaving_the_server_answers_what_has_arrived() -> None:
    """The connection has not been accepted by then, or its request is unread."""
    with patch.object(wsgi_server, "CLOSE_TIMEOUT_S", WAIT_S), _server() as server:
        waiting, kept = _connect(server), _connect(server)
        kept.sendall(REQUEST % 1)
        data = b""
        while not data.endswith(b"/1"):
            data += kept.recv(65_536)
        release = _hold_loop(server)
        unaccepted = _connect(server)
        callers = (waiting, kept, unaccepted)
        for caller in callers:
            caller.sendall(REQUEST % 2)
        server._stop.set()
        release.set()
    for caller in callers:
        with caller:
            data = _read_all(caller)
            assert data.endswith(b"/2"), data


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
