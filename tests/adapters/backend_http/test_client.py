"""Tests of adapters.backend_http.client."""

import socket
import threading
import unittest

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.backend_http.client import HttpBackendServer
from damaskbay.const import HEADER_CALL_TOKEN
from damaskbay.core.call import Answer, Request
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
WHOLE = (
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
) -> Answer | Refusal:
    return backend.call(
        request or Request("GET", "campo", "/x?y=1", (("X-A", "b"),)),
        call_token="token-1",
        deadline=monotonic_s() + deadline_s,
        cancellation=cancellation or Cancellation(),
    )


def _answering(answer: bytes) -> "tuple[list[bytes], object]":
    seen: list[bytes] = []

    def script(connection: socket.socket) -> None:
        while True:
            request = read_request(connection)
            if not request:
                return
            seen.append(request)
            connection.sendall(answer)
            if not answer.startswith(b"HTTP/1.1 200") or answer not in (WHOLE, CHUNKED):
                return

    return seen, script


def test_whole_answer_and_reused_connection() -> None:
    """Bodies, repeated headers and the call token pass; one connection serves two."""
    seen, script = _answering(WHOLE)
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        first = _call(backend)
        second = _call(backend)
    assert isinstance(first, Answer)
    assert first == second
    assert first.body == BODY
    assert [v for n, v in first.headers if n == "X-Repeat"] == ["1", "2"]
    assert all(name not in ("Connection", "X-Own") for name, _ in first.headers)
    assert f"{HEADER_CALL_TOKEN}: token-1".encode() in seen[0]
    assert seen[0].startswith(b"GET /x?y=1 HTTP/1.1\r\nHost: campo\r\n")


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, len(WHOLE) - 1))
def test_answer_cut_anywhere_never_passes_for_whole(cut: int) -> None:
    """An answer that ends early is `unknown`, wherever it ends."""
    _, script = _answering(WHOLE[:cut])
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert not outcome.not_run


@settings(derandomize=True, max_examples=20, deadline=None)
@given(st.integers(0, len(CHUNKED) - 1))
def test_chunked_answer_cut_anywhere(cut: int) -> None:
    """The same for a chunked answer."""
    _, script = _answering(CHUNKED[:cut])
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert not outcome.not_run


def test_answer_without_a_length_is_not_whole() -> None:
    """An answer that only the end of the connection ends can't be proven whole."""
    _, script = _answering(b"HTTP/1.1 200 OK\r\n\r\nsome")
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is Reason.ANSWER_INCOMPLETE


def test_refused_connection_is_not_run() -> None:
    """Nobody listens: no byte was written."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    with backend_at(port) as backend:
        outcome = _call(backend)
    assert isinstance(outcome, Refusal)
    assert outcome.not_run


def test_silent_server_ends_at_the_deadline() -> None:
    """A server that never answers costs the deadline and is `unknown`."""
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
    """The backend server sees the end of the connection; the call is `unknown`."""
    came = threading.Event()
    closed = threading.Event()

    def script(connection: socket.socket) -> None:
        read_request(connection)
        came.set()
        if connection.recv(1) == b"":
            closed.set()

    cancellation = Cancellation()
    outcomes: list[Answer | Refusal] = []
    with scripted_server(script) as port, backend_at(port) as backend:
        caller = threading.Thread(
            target=lambda: outcomes.append(_call(backend, cancellation=cancellation))
        )
        caller.start()
        assert came.wait(WAIT_S)
        cancellation.cancel()
        caller.join(WAIT_S)
        assert closed.wait(WAIT_S)
    assert isinstance(outcomes[0], Refusal)
    assert outcomes[0].reason is Reason.CANCELLED
    assert not outcomes[0].not_run


def test_cancelled_before_sending_is_not_run() -> None:
    """A call cancelled before its first byte never reaches the server."""
    seen, script = _answering(WHOLE)
    cancellation = Cancellation()
    cancellation.cancel()
    with scripted_server(script) as port, backend_at(port) as backend:  # type: ignore[arg-type]
        outcome = _call(backend, cancellation=cancellation)
    assert isinstance(outcome, Refusal)
    assert outcome.not_run
    assert seen == []


def test_connection_limit_is_never_exceeded() -> None:
    """More calls than connections wait for one, up to their deadline."""
    open_now = 0
    most = 0
    lock = threading.Lock()
    release = threading.Event()

    def script(connection: socket.socket) -> None:
        nonlocal open_now, most
        with lock:
            open_now += 1
            most = max(most, open_now)
        read_request(connection)
        release.wait(WAIT_S)
        connection.sendall(WHOLE)
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
    assert most <= 2
    assert isinstance(refused, Refusal)
    assert refused.not_run


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
