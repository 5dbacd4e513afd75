"""Pattern: a response whose status is not a final one of the protocol is passed on."""

import asyncio
import socket
import unittest

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.adapters.http1.problems import HttpProblem
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.client.client import Client
from damaskbay.client.options import ClientOptions, DaemonAddress
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request, Response
from damaskbay.core.http_status import status_of
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.daemon.messages import AnswerMessage, result_of
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress
from tests.adapters.backend_http.common import (
    backend_at,
    read_request,
    scripted_server,
)
from tests.common import function_suite

WAIT_S = 5.0
NOT_FINAL = (0, 1, 20, 99, 101, 600, 999)
MALFORMED = (b"000", b"001", b"099", b"101", b"600", b"999")
UNREADABLE = (b"abc", b"2x0", b"-200", b"+200", b"20", b"2000", b"")
FINAL = (b"200", b"299", b"404", b"418", b"599")
INTERIM = (b"100", b"102", b"103", b"199")
LENGTH = b"Content-Length: 2\r\n"
GOOD = b"HTTP/1.1 200 OK\r\n" + LENGTH + b"\r\nok"


def _response(status: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b" Text\r\n" + LENGTH + b"\r\nno"


def _interim(status: bytes) -> bytes:
    return b"HTTP/1.1 " + status + b" Text\r\nX-A: 1\r\n\r\n"


def _outcomes(sent: bytes) -> dict[str, Response | Refusal | HttpFailure]:
    """Return what each client makes of the bytes that a server sends."""

    def script(connection: socket.socket) -> None:
        if read_request(connection):
            connection.sendall(sent)

    async def ask(port: int, method: str) -> Response | HttpFailure:
        client = HttpClient(PeerAddress("127.0.0.1", port), HttpClientOptions())
        request = Request(method, "a", "/", (), b"")
        return await client.send(request, timeout_s=WAIT_S)

    outcomes: dict[str, Response | Refusal | HttpFailure] = {}
    for method in ("GET", "HEAD"):
        with scripted_server(script) as port:
            outcomes[f"server {method}"] = asyncio.run(ask(port, method))
    with scripted_server(script) as port, backend_at(port) as backend:
        outcomes["backend"] = backend.call(
            Request("GET", "a", "/", (), b""),
            call_token="t",
            deadline=monotonic_s() + WAIT_S,
            cancellation=Cancellation(),
        )
    options = ClientOptions(max_attempts=1)
    with scripted_server(script) as port:
        address = DaemonAddress("127.0.0.1", port)
        with Client([address], "k", options) as client:
            outcomes["library"] = client.call("GET", "/", host="a", deadline_s=WAIT_S)
    return outcomes


def _is_malformed(outcome: Response | Refusal | HttpFailure) -> bool:
    """Return whether nothing is guaranteed and the caller would get 502."""
    if isinstance(outcome, HttpFailure):
        return outcome.problem is HttpProblem.GARBLED
    return (
        isinstance(outcome, Refusal)
        and not outcome.not_run
        and status_of(outcome) == 502
    )


# A status of 000 was skipped, and the response behind it taken for the answer.
def test_a_status_that_is_not_final_is_malformed() -> None:
    """Alone, and in front of a response, at each client."""
    wrong = [
        (status, client, outcome)
        for status in (*MALFORMED, *UNREADABLE)
        for sent in (_response(status), _interim(status) + GOOD)
        for client, outcome in _outcomes(sent).items()
        if not _is_malformed(outcome)
    ]
    assert not wrong, wrong


def test_final_statuses_are_passed_on() -> None:
    """Also unusual ones."""
    for status in FINAL:
        for client, outcome in _outcomes(_response(status)).items():
            assert isinstance(outcome, Response), (status, client, outcome)
            assert outcome.status == int(status), (status, client)


def test_interim_responses_are_skipped() -> None:
    """Several of them, in front of the response to any method."""
    for status in INTERIM:
        for client, outcome in _outcomes(2 * _interim(status) + GOOD).items():
            assert isinstance(outcome, Response), (status, client, outcome)
            assert outcome.status == 200, (status, client, outcome)


# An interim response in front of the end of a connection was taken for the answer.
def test_an_interim_response_alone_is_no_answer() -> None:
    """The connection ends behind it."""
    for client, outcome in _outcomes(_interim(b"100")).items():
        assert not isinstance(outcome, Response), (client, outcome)


def test_a_peer_delivers_final_statuses_only() -> None:
    """Guards against a daemon of an earlier version that passes others on."""
    for status in (*NOT_FINAL, 100, 199, -1, 1000):
        reply = AnswerMessage(status, (), b"", 1, 0, None, "s", None)
        result = result_of(reply)
        assert _is_malformed(result.result), status
        assert isinstance(result.result, Refusal)
        assert result.result.reason is Reason.ANSWER_INCOMPLETE
        assert result.attempts == 1
    answered = result_of(AnswerMessage(599, (), b"", 1, 0, None, "s", None))
    assert isinstance(answered.result, Response)


def test_a_daemon_sends_final_statuses_only() -> None:
    """Guards against a response that callers take for an interim one."""

    async def received(status: int) -> bytes:
        async def serve(_: ReceivedRequest) -> Response:
            return Response(status, (("X-A", "1"),), b"no")

        address = PeerAddress("127.0.0.1", 0)
        async with HttpServer(address, serve, CallerLimits()) as server:
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            writer.write(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
            data = await reader.read()
            writer.close()
            return data

    for status in (*NOT_FINAL, 100, 1000):
        assert asyncio.run(received(status)).startswith(b"HTTP/1.1 502 "), status
    assert asyncio.run(received(599)).startswith(b"HTTP/1.1 599 ")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
