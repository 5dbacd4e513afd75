"""Tests of the caller listener over real sockets, with a fake service."""

import http.client
import json
import socket
import threading
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.caller_http.application import CallerApplication
from damaskbay.adapters.caller_http.hang_up import HangUpWatcher
from damaskbay.const import (
    HEADER_CALL_ID,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_KEY,
    HEADER_OUTCOME,
    HEADER_REASON,
)
from damaskbay.core.call import CallResult, Response
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.wsgi_server import WsgiOptions, WsgiServer
from damaskbay.ports.caller import IncomingCall, IssuedIds, ServedCall
from tests.common import function_suite

WAIT_S = 10.0
MAX_BODY_BYTES = 1_000_000

Serve = Callable[[IncomingCall, Cancellation], Response | Refusal]


class _Service:
    """Serves calls with a given function and records them."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.calls: list[IncomingCall] = []
        self.no_ids: Refusal | None = None

    def serve(self, call: IncomingCall, cancellation: Cancellation) -> ServedCall:
        self.calls.append(call)
        return ServedCall("call-1", CallResult(self._serve(call, cancellation)))

    def issue_request_ids(self, count: int) -> IssuedIds | Refusal:
        return self.no_ids or IssuedIds(
            tuple(f"id-{number}" for number in range(count)), 60.0
        )


@contextmanager
def _listener(serve: Serve) -> Iterator[tuple[WsgiServer, _Service]]:
    service = _Service(serve)
    options = WsgiOptions(
        "127.0.0.1", 0, threads=4, max_body_bytes=MAX_BODY_BYTES, lookahead=1
    )
    with HangUpWatcher() as disconnect_watcher:
        application = CallerApplication(service, disconnect_watcher)
        with WsgiServer(application, options, name="edge") as server:
            yield server, service


def _exchange(
    server: WsgiServer,
    method: str = "GET",
    target: str = "/",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[http.client.HTTPResponse, bytes]:
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=WAIT_S)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response, response.read()
    finally:
        connection.close()


@settings(derandomize=True, max_examples=15, deadline=None)
@given(st.binary(max_size=200_000))
def test_bodies_pass_unchanged(body: bytes) -> None:
    """Binary bodies of any size are passed on in both directions."""
    with _listener(lambda call, _: Response(200, (), call.request.body)) as (server, _):
        response, received_body = _exchange(server, "POST", "/x", body)
    assert response.status == 200
    assert received_body == body


def test_answers_without_body_keep_the_connection_usable() -> None:
    """Responses to HEAD and with 204 or 304 have no body; the connection is reused."""
    cases = [("HEAD", 200), ("GET", 204), ("GET", 304), ("HEAD", 404)]
    statuses = {f"/{status}": status for _, status in cases}

    def serve(call: IncomingCall, _: Cancellation) -> Response:
        status = statuses[call.request.target]
        return Response(status, (("X-Repeat", "1"), ("X-Repeat", "2")), b"")

    with _listener(serve) as (server, _):
        connection = http.client.HTTPConnection(
            "127.0.0.1", server.port, timeout=WAIT_S
        )
        for method, status in [*cases, *cases]:
            connection.request(method, f"/{status}")
            response = connection.getresponse()
            assert response.read() == b""
            assert response.status == status
            assert response.headers.get_all("X-Repeat") == ["1", "2"]
        connection.close()


def test_target_and_headers_reach_the_service_as_sent() -> None:
    """Path and query stay encoded; hop-by-hop headers are removed."""
    headers = {
        HEADER_KEY: "dk_secret",
        HEADER_DEADLINE: "250",
        HEADER_IDEMPOTENT: "false",
        "Connection": "X-Own",
        "X-Own": "1",
        "X-Kept": "2",
    }
    with _listener(lambda *_: Response(200)) as (server, service):
        _exchange(server, "GET", "/a%2Fb?c=%20d&e", headers=headers)
    call = service.calls[0]
    assert call.request.target == "/a%2Fb?c=%20d&e"
    assert (call.key, call.deadline_s, call.idempotent) == ("dk_secret", 0.25, False)
    names = {name.lower() for name, _ in call.request.headers}
    assert "x-kept" in names
    assert not names & {"x-own", "connection"}


def test_refusals_name_outcome_and_reason() -> None:
    """Status, Retry-After, headers and JSON body of a refusal are consistent."""
    refusal = not_run(Reason.RATE_EXCEEDED, retry_after_s=2.2, detail="later")
    with _listener(lambda *_: refusal) as (server, _):
        response, body = _exchange(server)
    document = json.loads(body)
    assert response.status == 429
    assert response.headers[HEADER_OUTCOME] == document["outcome"] == "not_run"
    assert response.headers[HEADER_REASON] == document["reason"] == "rate_exceeded"
    assert response.headers["Retry-After"] == "3"


def test_an_answer_cannot_pass_for_a_refusal() -> None:
    """Outcome and reason headers of a backend server are not passed on."""
    nested = (
        (HEADER_OUTCOME, "not_run"),
        (HEADER_REASON.lower(), "overloaded"),
        (HEADER_CALL_ID, "another"),
        ("Kept", "1"),
    )
    with _listener(lambda *_: Response(502, nested, b"failed")) as (server, _):
        response, body = _exchange(server)
    assert (response.status, body) == (502, b"failed")
    assert response.headers[HEADER_OUTCOME] is None
    assert response.headers[HEADER_REASON] is None
    assert response.headers.get_all(HEADER_CALL_ID) == ["call-1"]
    assert response.headers["Kept"] == "1"


def test_unreadable_header_is_named() -> None:
    """An invalid deadline gets a 400 naming the header; the service is not called."""
    with _listener(lambda *_: Response(200)) as (server, service):
        response, body = _exchange(server, headers={HEADER_DEADLINE: "soon"})
    assert response.status == 400
    assert HEADER_DEADLINE in json.loads(body)["detail"]
    assert service.calls == []


def test_issue_request_ids() -> None:
    """Request ids are issued by POST only; an invalid count gets a 400."""
    with _listener(lambda *_: Response(200)) as (server, service):
        _, body = _exchange(server, "POST", "/.damaskbay/request-ids?count=3")
        bad, _ = _exchange(server, "POST", "/.damaskbay/request-ids?count=x")
        get, _ = _exchange(server, "GET", "/.damaskbay/request-ids")
        service.no_ids = not_run(Reason.SHUTTING_DOWN, retry_after_s=2.0)
        none, _ = _exchange(server, "POST", "/.damaskbay/request-ids")
    assert json.loads(body)["request_ids"] == ["id-0", "id-1", "id-2"]
    assert (bad.status, get.status) == (400, 400)
    assert none.status == 503
    assert none.getheader(HEADER_OUTCOME) == "not_run"
    assert none.getheader(HEADER_REASON) == "shutting_down"
    assert none.getheader("Retry-After") == "2"


def test_hang_up_cancels_the_call() -> None:
    """The call is cancelled when its caller disconnects."""
    cancelled = threading.Event()
    received = threading.Event()

    def serve(_: IncomingCall, cancellation: Cancellation) -> Response:
        cancellation.on_cancel(cancelled.set)
        received.set()
        cancelled.wait(WAIT_S)
        return Response(200)

    with _listener(serve) as (server, _):
        caller = socket.create_connection(("127.0.0.1", server.port))
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert received.wait(WAIT_S)
        caller.close()
        assert cancelled.wait(WAIT_S)


def test_drain_finishes_running_calls_and_closes_connections() -> None:
    """A drain lets a running call send its complete response."""
    received = threading.Event()
    release = threading.Event()

    def serve(_: IncomingCall, __: Cancellation) -> Response:
        received.set()
        release.wait(WAIT_S)
        return Response(200, (), b"whole")

    results: list[tuple[http.client.HTTPResponse, bytes]] = []
    with _listener(serve) as (server, _):
        caller = threading.Thread(target=lambda: results.append(_exchange(server)))
        caller.start()
        assert received.wait(WAIT_S)
        server.drain()
        release.set()
        caller.join(WAIT_S)
    assert results[0][1] == b"whole"


def test_garbage_never_stops_the_edge() -> None:
    """The listener serves other callers after receiving any bytes."""
    with _listener(lambda *_: Response(200)) as (server, _):

        @settings(derandomize=True, max_examples=60, deadline=None)
        @given(st.binary(min_size=1, max_size=300))
        def send(data: bytes) -> None:
            with socket.create_connection(("127.0.0.1", server.port)) as caller:
                caller.sendall(data)

        send()
        response, _body = _exchange(server)
    assert response.status == 200


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
