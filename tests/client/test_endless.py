"""
Pattern: what answers a caller sends bytes without end, in a head or a body.

The client library and the threaded client of backend servers read through the same
code: it closes the connection within a bound of bytes and time, and keeps memory flat.
"""

import time
import tracemalloc
import unittest

from damaskbay.adapters.backend_http.client import BackendHttpOptions, HttpBackendServer
from damaskbay.client.connections import ConnectionPool, DaemonRequest
from damaskbay.client.options import ClientOptions, DaemonAddress
from damaskbay.const import MAX_RESPONSE_OVERHEAD_BYTES, OVERHEAD_PER_BODY_BYTE
from damaskbay.core.call import Request, Response
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.http_exchange import READ_CHUNK_BYTES
from tests.common import function_suite
from tests.endless_server import FORMS_BY_NAME, EndlessForm, endless_server

MAX_BODY_BYTES = 256 * 1024
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
"""More than both socket buffers of a loopback connection hold."""

ACCEPTED_BYTES = (
    MAX_RESPONSE_OVERHEAD_BYTES + (1 + OVERHEAD_PER_BODY_BYTE) * MAX_BODY_BYTES
)
MAX_PEAK_BYTES = 4 * (ACCEPTED_BYTES + READ_CHUNK_BYTES)
WAIT_S = 20.0


def _send(
    form: EndlessForm, *, timeout_s: float, pause_s: float = 0.0
) -> tuple[Response | Refusal, int, int]:
    """Return the outcome, the bytes that the server wrote and the peak memory."""
    options = ClientOptions(max_body_bytes=MAX_BODY_BYTES)
    pool = ConnectionPool(options, None, time.monotonic)
    with endless_server(form, pause_s) as server:
        address = DaemonAddress(server.address.host, server.address.port)
        deadline = time.monotonic() + timeout_s
        request = DaemonRequest("GET", "/", (("Host", "a"),), b"", deadline)
        tracemalloc.start()
        try:
            outcome = pool.send(address, request)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert server.peer_closed.wait(WAIT_S), "the connection stays open"
        return outcome, server.sent_bytes, peak_bytes


def _check(name: str) -> None:
    outcome, sent_bytes, peak_bytes = _send(FORMS_BY_NAME[name], timeout_s=WAIT_S)
    assert isinstance(outcome, Refusal)
    assert not outcome.not_run
    assert outcome.reason is not Reason.DEADLINE_PASSED, outcome
    assert sent_bytes <= ACCEPTED_BYTES + READ_CHUNK_BYTES + SOCKET_BUFFER_BYTES
    assert peak_bytes <= MAX_PEAK_BYTES


def test_endless_header_lines() -> None:
    """A head that never ends is cut off."""
    _check("header lines")


def test_an_endless_header_value() -> None:
    """A header line without an end is cut off."""
    _check("one header value")


def test_an_endless_header_name() -> None:
    """A header name without an end is cut off."""
    _check("one header name")


def test_an_endless_status_line() -> None:
    """A status line without an end is cut off."""
    _check("status line")


def test_endless_interim_responses() -> None:
    """Interim responses without a final one are cut off."""
    _check("interim responses")


def test_endless_chunks() -> None:
    """A chunked body without an end is cut off."""
    _check("chunks")


def test_endless_chunks_of_one_byte() -> None:
    """Small chunks cost more framing than body; both are limited."""
    _check("small chunks")


def test_an_endless_body_without_length() -> None:
    """A body without a length is refused: its end can't be told from a cut."""
    _check("body without length")


def test_an_endless_chunk_extension() -> None:
    """One chunk extension without an end is cut off."""
    _check("chunk extension")


def test_many_long_chunk_extensions() -> None:
    """Extensions that outweigh their chunks are cut off."""
    _check("chunk extensions")


def test_endless_trailers() -> None:
    """Trailers without an end are cut off."""
    _check("trailers")


def test_endless_bytes_of_no_protocol() -> None:
    """Bytes that are no HTTP are refused."""
    _check("no protocol")


def test_a_slow_endless_head_ends_at_the_deadline() -> None:
    """Bytes that keep coming do not move the deadline."""
    form = EndlessForm(b"HTTP/1.1 200 OK\r\n", b"A")
    outcome, _, _ = _send(form, timeout_s=0.3, pause_s=0.01)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is Reason.DEADLINE_PASSED


def test_the_client_of_the_backend_server_has_the_same_limits() -> None:
    """The threaded daemon answers its caller although the trailers never end."""
    with endless_server(FORMS_BY_NAME["trailers"]) as server:
        options = BackendHttpOptions(server.address.host, server.address.port, 1)
        with HttpBackendServer(options) as client:
            outcome = client.call(
                Request("GET", "a", "/", ()),
                call_token="t",
                deadline=time.monotonic() + WAIT_S,
                cancellation=Cancellation(),
            )
        assert server.peer_closed.wait(WAIT_S)
    assert isinstance(outcome, Refusal)
    assert outcome.reason is Reason.BACKEND_SERVER_FAILED


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
