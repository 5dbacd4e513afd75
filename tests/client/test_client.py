"""Tests of client: the outcome is correct whatever happens on the connection."""

import socket
import threading
import unittest

from hypothesis import given, settings, strategies as st

from damaskbay.client import DaemonAddress
from damaskbay.core.call import Response
from damaskbay.core.outcome import Outcome, Reason, Refusal
from tests.client.common import (
    DEADLINE_S,
    HOST,
    ScriptedResponse,
    client,
    complete_response,
    daemon,
    refusal_response,
)
from tests.common import function_suite

TWO_IDS = complete_response(b'{"request_ids":["id-1","id-2"],"valid_s":600}')


def unused_address() -> DaemonAddress:
    """Return an address without a listener."""
    with socket.create_server((HOST, 0)) as listener:
        return DaemonAddress(HOST, listener.getsockname()[1])


def refusal(result: object) -> Refusal:
    """Return the result after asserting that it is a refusal."""
    assert isinstance(result, Refusal), result
    return result


def test_connection_is_reused_and_marks_are_sent() -> None:
    """Calls share one connection; key, deadline and options are sent as headers."""
    with daemon(lambda *_: complete_response()) as one, client(one.address) as caller:
        for _ in range(3):
            answer = caller.call(
                "POST",
                "/draws?x=1",
                host="draw-book",
                body=b"12",
                deadline_s=DEADLINE_S,
                request_id="id-9",
                idempotent=False,
            )
            assert isinstance(answer, Response)
            assert answer.body == b"ok"
    assert one.connections == 1
    head = one.heads[0]
    assert head.startswith("POST /draws?x=1 HTTP/1.1\r\n")
    for line in ("Host: draw-book", "Damaskbay-Key: a-caller-key"):
        assert line in head
    assert "Damaskbay-Request-Id: id-9" in head
    assert "Damaskbay-Idempotent: false" in head
    assert "Damaskbay-Deadline-Ms: " in head


def test_not_run_is_sent_again_after_retry_after() -> None:
    """A `not_run` refusal is retried, no sooner than its Retry-After."""

    def script(number: int, _head: str) -> ScriptedResponse:
        if number < 3:
            return refusal_response("not_run", "overloaded", retry_after="2")
        return complete_response()

    sleeps: list[float] = []
    with daemon(script) as one, client(one.address, sleeps=sleeps) as caller:
        result = caller.call("POST", "/", host="h", deadline_s=DEADLINE_S)
    assert isinstance(result, Response)
    assert len(sleeps) == 2
    assert all(2.0 <= delay_s <= 2.6 for delay_s in sleeps)


def test_retry_after_beyond_the_deadline_ends_the_call() -> None:
    """A refusal with a Retry-After beyond the deadline is returned at once."""
    response = refusal_response("not_run", "rate_exceeded", 429, retry_after="60")
    with daemon(lambda *_: response) as one, client(one.address) as caller:
        result = refusal(caller.call("GET", "/", host="h", deadline_s=DEADLINE_S))
    assert len(one.heads) == 1
    assert result.reason is Reason.RATE_EXCEEDED
    assert result.not_run
    assert result.retry_after_s == 60.0
    assert result.detail == "for people"


def test_final_refusals_are_not_sent_again() -> None:
    """Refusals that a retry cannot change, such as a withdrawn key, are final."""
    response = refusal_response("not_run", "key_withdrawn", 401)
    with daemon(lambda *_: response) as one, client(one.address) as caller:
        caller.call("GET", "/", host="h", deadline_s=DEADLINE_S, idempotent=True)
    assert len(one.heads) == 1


def test_unreachable_daemons_are_not_run_and_avoided() -> None:
    """Calls go to a reachable daemon; if there is none, the outcome is `not_run`."""
    gone = unused_address()
    with daemon(lambda *_: complete_response()) as one:
        with client(gone, one.address) as caller:
            for _ in range(5):
                result = caller.call("POST", "/", host="h", deadline_s=DEADLINE_S)
                assert isinstance(result, Response)
    with client(gone) as caller:
        result = caller.call("POST", "/", host="h", deadline_s=DEADLINE_S)
        assert refusal(result).reason is Reason.PEER_UNREACHABLE
        assert refusal(result).not_run


@given(cut=st.integers(0, 200), idempotent=st.booleans())
@settings(derandomize=True, deadline=None, max_examples=60)
def test_answer_cut_at_any_byte(cut: int, idempotent: bool) -> None:
    """A cut response is never taken as complete; only idempotent calls are retried."""
    data = complete_response(b"x" * 100, X="y").data

    def script(_number: int, _head: str) -> ScriptedResponse:
        return ScriptedResponse(data[:cut], keep=False)

    with daemon(script) as one, client(one.address) as caller:
        result = caller.call(
            "POST", "/", host="h", deadline_s=DEADLINE_S, idempotent=idempotent
        )
    if cut >= len(data):
        assert isinstance(result, Response)
        return
    assert refusal(result).outcome is Outcome.UNKNOWN
    assert len(one.heads) == (4 if idempotent else 1)


@given(cut=st.integers(0, 400))
@settings(derandomize=True, deadline=None, max_examples=150)
def test_refusal_or_chunks_cut_at_any_byte(cut: int) -> None:
    """Cut refusal headers or a cut chunked body are never taken as a response."""
    chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    chunked = chunks + b"0\r\n\r\n"
    refusal_bytes = (
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n"
        b"Damaskbay-Reason: overloaded\r\nDamaskbay-Outcome: not_run\r\n\r\n"
    )
    for data in (chunked, refusal_bytes):
        part = data[: cut % len(data)]

        def script(_number: int, _head: str, part: bytes = part) -> ScriptedResponse:
            return ScriptedResponse(part, keep=False)

        with daemon(script) as one, client(one.address) as caller:
            result = caller.call("POST", "/", host="h", deadline_s=DEADLINE_S)
        assert refusal(result).outcome is Outcome.UNKNOWN


def test_kept_connection_that_dies_after_the_write() -> None:
    """The outcome is unknown; the call is retried only if it has a request id."""

    def script(number: int, _head: str) -> ScriptedResponse:
        return ScriptedResponse(b"", keep=False) if number == 2 else complete_response()

    for request_id in (None, "id-1"):
        with daemon(script) as one, client(one.address) as caller:
            caller.call("GET", "/", host="h", deadline_s=DEADLINE_S)
            result = caller.call(
                "POST", "/", host="h", deadline_s=DEADLINE_S, request_id=request_id
            )
        if request_id is None:
            assert refusal(result).outcome is Outcome.UNKNOWN
            assert len(one.heads) == 2
        else:
            assert isinstance(result, Response)
            assert len(one.heads) == 3


def test_not_run_after_unknown_stays_unknown() -> None:
    """A later `not_run` does not apply to the earlier attempt."""

    def script(number: int, _head: str) -> ScriptedResponse:
        if number == 1:
            return ScriptedResponse(b"", keep=False)
        return refusal_response("not_run", "rate_exceeded", 429)

    with daemon(script) as one, client(one.address) as caller:
        result = caller.call(
            "GET", "/", host="h", deadline_s=DEADLINE_S, idempotent=True
        )
    assert refusal(result).outcome is Outcome.UNKNOWN


def test_answer_without_length_is_incomplete() -> None:
    """A response without a length cannot be known to be complete."""
    response = ScriptedResponse(b"HTTP/1.1 200 OK\r\n\r\nbody", keep=False)
    with daemon(lambda *_: response) as one, client(one.address) as caller:
        result = caller.call("POST", "/", host="h", deadline_s=DEADLINE_S)
    assert refusal(result).reason is Reason.ANSWER_INCOMPLETE


def test_no_answer_in_time() -> None:
    """A call to an unresponsive daemon ends at its deadline."""
    ended = threading.Event()

    def script(_number: int, _head: str) -> ScriptedResponse:
        ended.wait(DEADLINE_S)
        return ScriptedResponse(b"", keep=False)

    with daemon(script) as one, client(one.address) as caller:
        result = caller.call("POST", "/", host="h", deadline_s=0.1)
        ended.set()
    assert refusal(result).reason is Reason.DEADLINE_PASSED
    assert refusal(result).outcome is Outcome.UNKNOWN


def test_request_ids_come_in_batches_and_go_to_their_issuer() -> None:
    """One fetch returns several ids; each is used at the daemon that issued it."""

    def script(number: int, head: str) -> ScriptedResponse:
        if number == 2:
            return ScriptedResponse(b"", keep=False)
        return (
            TWO_IDS if "/.damaskbay/request-ids?count=" in head else complete_response()
        )

    with daemon(script) as one, daemon(script) as two:
        addresses = (one.address, two.address)
        with client(*addresses, avoid_s=0.0, max_attempts=1) as caller:
            ids = [caller.new_request_id(deadline_s=DEADLINE_S) for _ in range(2)]
            issuer, other = (one, two) if one.heads else (two, one)
            caller.call("GET", "/lost", host="h", deadline_s=DEADLINE_S)
            caller.call("GET", "/moved", host="h", deadline_s=DEADLINE_S)
            assert len(other.heads) == 1
            for item in ids:
                assert isinstance(item, str)
                caller.call(
                    "POST", "/", host="h", deadline_s=DEADLINE_S, request_id=item
                )
    assert len(other.heads) == 1
    assert len(issuer.heads) == 4


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
