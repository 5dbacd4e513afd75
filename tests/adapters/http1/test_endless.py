"""
Pattern: a backend server in trouble sends bytes without end, in a head or a body.

The daemon closes the connection within a bound of bytes, keeps its memory flat, and
does not take any of it for a response.
"""

import asyncio
import tracemalloc
import unittest

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
    HttpProblem,
)
from damaskbay.const import MAX_RESPONSE_OVERHEAD_BYTES, OVERHEAD_PER_BODY_BYTE
from damaskbay.core.call import Request, Response
from damaskbay.core.memory_account import BODY_COPIES, Holding, MemoryAccount
from tests.common import function_suite
from tests.endless_server import FORMS_BY_NAME, EndlessForm, endless_server

MAX_BODY_BYTES = 256 * 1024
READ_BYTES = 256 * 1024
"""Most bytes that the event loop hands over at once."""

SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
"""More than both socket buffers of a loopback connection hold."""

ACCEPTED_BYTES = (
    MAX_RESPONSE_OVERHEAD_BYTES + (1 + OVERHEAD_PER_BODY_BYTE) * MAX_BODY_BYTES
)
MAX_PEAK_BYTES = 4 * (ACCEPTED_BYTES + READ_BYTES)
REQUEST = Request("GET", "a", "/", (("X-Request-Id", "r1"),))
WAIT_S = 20.0


def _send(
    form: EndlessForm, memory: MemoryAccount, *, timeout_s: float, pause_s: float = 0.0
) -> tuple[Response | HttpFailure, int, int]:
    """Return the outcome, the bytes that the server wrote and the peak memory."""

    async def run(client: HttpClient) -> Response | HttpFailure:
        async with asyncio.timeout(WAIT_S):
            return await client.send(REQUEST, echo="r1", timeout_s=timeout_s)

    options = HttpClientOptions(
        echo_header="X-Request-Id", max_body_bytes=MAX_BODY_BYTES, memory=memory
    )
    with endless_server(form, pause_s) as server:
        tracemalloc.start()
        try:
            outcome = asyncio.run(run(HttpClient(server.address, options)))
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert server.peer_closed.wait(WAIT_S), "the connection stays open"
        return outcome, server.sent_bytes, peak_bytes


def _check(name: str) -> None:
    memory = MemoryAccount(2 * BODY_COPIES * MAX_BODY_BYTES)
    outcome, sent_bytes, peak_bytes = _send(
        FORMS_BY_NAME[name], memory, timeout_s=WAIT_S
    )
    assert isinstance(outcome, HttpFailure)
    assert outcome.problem is HttpProblem.GARBLED, outcome
    assert sent_bytes <= ACCEPTED_BYTES + READ_BYTES + SOCKET_BUFFER_BYTES
    assert peak_bytes <= MAX_PEAK_BYTES
    assert memory.held_bytes == 0


def test_endless_header_lines() -> None:
    """A head that never ends is cut off at the limit."""
    _check("header lines")


def test_an_endless_header_value() -> None:
    """A header line without an end is cut off at the limit."""
    _check("one header value")


def test_an_endless_header_name() -> None:
    """A header name without an end is cut off at the limit."""
    _check("one header name")


def test_an_endless_status_line() -> None:
    """A status line without an end is cut off at the limit."""
    _check("status line")


def test_endless_interim_responses() -> None:
    """Interim responses without a final one are cut off at the limit."""
    _check("interim responses")


def test_endless_responses_to_other_requests() -> None:
    """Only a few responses that belong to other requests are discarded."""
    _check("late responses")


def test_endless_chunks() -> None:
    """A chunked body without an end is cut off at the limit of bodies."""
    _check("chunks")


def test_endless_chunks_of_one_byte() -> None:
    """Small chunks cost more framing than body; both are limited."""
    _check("small chunks")


def test_an_endless_body_without_length() -> None:
    """A body that only the end of its connection would end is cut off."""
    _check("body without length")


def test_an_endless_chunk_extension() -> None:
    """One chunk extension without an end is cut off at the limit."""
    _check("chunk extension")


def test_many_long_chunk_extensions() -> None:
    """Extensions that outweigh their chunks are cut off at the limit."""
    _check("chunk extensions")


def test_endless_trailers() -> None:
    """Trailers without an end are cut off at the limit."""
    _check("trailers")


def test_endless_bytes_of_no_protocol() -> None:
    """Bytes that are no HTTP are refused at once."""
    _check("no protocol")


def test_a_slow_endless_head_ends_at_the_deadline() -> None:
    """Below the limit of bytes, the time limit of the request ends the wait."""
    form = EndlessForm(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n")
    memory = MemoryAccount(MAX_BODY_BYTES)
    outcome, _, _ = _send(form, memory, timeout_s=0.3, pause_s=0.01)
    assert isinstance(outcome, HttpFailure)
    assert outcome.problem is HttpProblem.TIMED_OUT


def test_bodies_share_one_limit_of_memory() -> None:
    """A body that does not fit beside the others is cut off below its own limit."""
    memory = MemoryAccount(BODY_COPIES * MAX_BODY_BYTES)
    other = Holding(memory)
    other.set(MAX_BODY_BYTES)
    outcome, _, _ = _send(FORMS_BY_NAME["chunks"], memory, timeout_s=WAIT_S)
    assert isinstance(outcome, HttpFailure)
    assert outcome.detail == "no memory is left for the response"
    assert memory.held_bytes == other.held_bytes


# A daemon held a body in short chunks as small objects and exceeded its memory.
def test_a_body_in_short_chunks_occupies_no_more_than_is_counted() -> None:
    """Beside what was received last, the account covers what a body occupies."""
    memory = MemoryAccount(BODY_COPIES * MAX_BODY_BYTES)
    _, _, peak_bytes = _send(
        FORMS_BY_NAME["chunks of two bytes"], memory, timeout_s=WAIT_S
    )
    assert peak_bytes <= memory.limit_bytes + 4 * READ_BYTES, peak_bytes
    assert memory.held_bytes == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
