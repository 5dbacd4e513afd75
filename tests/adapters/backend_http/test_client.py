"""Tests of adapters.backend_http.client."""

import socket
import threading
import unittest

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.backend_http.client import HttpBackendServer
from damaskbay.const import HEADER_CALL_TOKEN
from damaskbay.core.call import Request, Response
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.clock import monotonic_s
from tests.adapters.backend_http.common import (
    WAIT_S,
    backend_at,
    read_request,
    scripted_server,
)
from tests.common import function_suite

BODY = bytes(range(256)) * 4
COMPLETE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Repeat: 1\r\nX-Repeat: 2\r\n"
    b"Connection: X-Own, keep-alive\r\nX-Own: 1\r\n\r\n" % len(BODY)
) + BODY
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
)


def _call(
    backend: HttpBackendServer,
    request: Request | None = None,
    *,
    deadline_s: float = WAIT_S,
    cancellation: Cancellation | None = None,
) -> Response | Refusal:
    return backend.call(
        request or Request("GET", "campo", "/x?y=1", (("X-A", "b"),)),
        call_token="token-1",
        deadline=monotonic_s() + deadline_s,
        cancellation=cancellation or Cancellation(),
    )


def _responding(response: bytes) -> "tuple[list[bytes], object]":
    requests: list[bytes] = []

    def script(connection: socket.socket) -> None:
        while True:
            request = read_request(connection)
            if not request:
                return
            requests.append(request)
            connection.sendall(response)
            if not response.startswith(b"HTTP/1.1 200") or response not in (
                COMPLETE,
                CHUNKED,
            ):
                return

    return requests, script


def test_whole_answer_and_reused_connection() -> None:
    """Body, repeated headers and call token are passed on; the connection is reused."""
    requests, script = _responding(COMPLETE)
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        first = _call(backend)
        second = _call(backend)
    assert isinstance(first, Response)
    assert first == second
    assert first.body == BODY
    assert [v for n, v in first.headers if n == "X-Repeat"] == ["1", "2"]
    assert all(name not in ("Connection", "X-Own") for name, _ in first.headers)
    assert f"{HEADER_CALL_TOKEN}: token-1".encode() in requests[0]
    assert requests[0].startswith(b"GET /x?y=1 HTTP/1.1\r\nHost: campo\r\n")


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, len(COMPLETE) - 1))
def test_answer_cut_anywhere_never_passes_for_whole(cut: int) -> None:
    """A response that is cut at any byte gives the outcome `unknown`."""
    _, script = _responding(COMPLETE[:cut])
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert not outcome.not_run


@settings(derandomize=True, max_examples=20, deadline=None)
@given(st.integers(0, len(CHUNKED) - 1))
def test_chunked_answer_cut_anywhere(cut: int) -> None:
    """A chunked response that is cut at any byte gives the outcome `unknown`."""
    _, script = _responding(CHUNKED[:cut])
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert not outcome.not_run


def test_answer_without_a_length_is_not_whole() -> None:
    """A response that ends with the connection may be cut, so it is incomplete."""
    _, script = _responding(b"HTTP/1.1 200 OK\r\n\r\nsome")
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is Reason.ANSWER_INCOMPLETE


def test_refused_connection_is_not_run() -> None:
    """If the TCP connection is refused, nothing is written and the call is not run."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    with backend_at(port) as backend:
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert outcome.not_run


def test_silent_server_ends_at_the_deadline() -> None:
    """A call without a response ends at its deadline with the outcome `unknown`."""
    release = threading.Event()

    def script(connection: socket.socket) -> None:
        read_request(connection)
        release.wait(WAIT_S)

    with scripted_server(script) as port, backend_at(port) as backend:
        outcome = _call(backend, deadline_s=0.2)
        release.set()
    assert isinstance(outcome, Refusal)
    assert outcome.reason is Reason.DEADLINE_PASSED
    assert not outcome.not_run


def test_cancellation_closes_the_connection() -> None:
    """Cancelling a call closes its connection and gives the outcome `unknown`."""
    received = threading.Event()
    closed = threading.Event()

    def script(connection: socket.socket) -> None:
        read_request(connection)
        received.set()
        if connection.recv(1) == b"":
            closed.set()

    cancellation = Cancellation()
    outcomes: list[Response | Refusal] = []
    with scripted_server(script) as port, backend_at(port) as backend:
        caller = threading.Thread(
            target=lambda: outcomes.append(_call(backend, cancellation=cancellation))
        )
        caller.start()
        assert received.wait(WAIT_S)
        cancellation.cancel()
        caller.join(WAIT_S)
        assert closed.wait(WAIT_S)
    assert isinstance(outcomes[0], Refusal)
    assert outcomes[0].reason is Reason.CANCELLED
    assert not outcomes[0].not_run


def test_cancelled_before_sending_is_not_run() -> None:
    """A call cancelled before its first byte never reaches the backend server."""
    requests, script = _responding(COMPLETE)
    cancellation = Cancellation()
    cancellation.cancel()
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend, cancellation=cancellation)
    assert isinstance(outcome, Refusal)
    assert outcome.not_run
    assert requests == []


def test_connection_limit_is_never_exceeded() -> None:
    """Calls above the connection limit wait for a connection until their deadline."""
    open_now = 0
    max_open = 0
    lock = threading.Lock()
    release = threading.Event()

    def script(connection: socket.socket) -> None:
        nonlocal open_now, max_open
        with lock:
            open_now += 1
            max_open = max(max_open, open_now)
        read_request(connection)
        release.wait(WAIT_S)
        connection.sendall(COMPLETE)
        read_request(connection)
        with lock:
            open_now -= 1

    with (
        scripted_server(script) as port,
        backend_at(port, max_connections=2) as backend,
    ):
        callers = [threading.Thread(target=_call, args=(backend,)) for _ in range(2)]
        for caller in callers:
            caller.start()
        refused = _call(backend, deadline_s=0.3)
        release.set()
        for caller in callers:
            caller.join(WAIT_S)
    assert max_open <= 2
    assert isinstance(refused, Refusal)
    assert refused.not_run


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
