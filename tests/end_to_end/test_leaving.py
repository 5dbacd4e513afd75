"""What callers and peers get from a daemon process that is shutting down."""

import signal
import socket
import threading
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager

from bench.fleet import HOST, Fleet, ServerPlan
from damaskbay.const import HEADER_KEY
from damaskbay.core.call import Response
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.stand_ins.backend import HEADER_BYTES, HEADER_WORK_MS
from tests.common import function_suite
from tests.end_to_end.common import WAIT_S, WORKSPACES, Running, secrets_for_tests

LEAVING = "ledger-a"
GRACEFUL_STOP_S = 5.0
OUTLASTING_MS = "9000"
THREADS = 4
BODY_BYTES = 8_000_000
RECEIVE_BUFFER_BYTES = 65_536
READ_BYTES = 100_000
NOT_READING_S = 6.5
"""Longer than the announcement and the wait for idle connections, seconds."""

Outcome = Future[Response | Refusal]


@contextmanager
def _fleet(graceful_stop_s: float = GRACEFUL_STOP_S) -> Iterator[Running]:
    """Yield a fleet with one server in the pool of the daemon that leaves."""
    plans = [
        ServerPlan("lookup-a", "domain-a", "lookup"),
        ServerPlan(LEAVING, "domain-a", "ledger", slots=16),
    ]
    limits = {"caller_threads": THREADS, "graceful_stop_s": graceful_stop_s}
    with Fleet(plans, {"limits": limits}) as fleet:
        running = Running(fleet, secrets_for_tests())
        for route in running.document["routes"].values():
            route["deadline_s"] = 10.0
        fleet.publish(running.document)
        fleet.wait_ready()
        yield running


def _send(running: Running, callers: ThreadPoolExecutor, instance: str) -> Outcome:
    """Send an unsafe call that runs for longer than the daemon does."""
    work = ((HEADER_WORK_MS, OUTLASTING_MS),)
    return callers.submit(
        running.call, instance, "/ledger/file/x", method="POST", headers=work
    )


def _wait_until_running(running: Running, count: int) -> None:
    give_up_at = time.monotonic() + WAIT_S
    while len(running.seen(LEAVING)) < count and time.monotonic() < give_up_at:
        time.sleep(0.05)


def _stop(running: Running) -> None:
    """Stop the daemon and wait for its end."""
    running.fleet.signal_daemon(LEAVING, signal.SIGTERM)
    process = running.server(LEAVING).daemon
    assert process is not None
    assert process.wait(WAIT_S) == 0


# Guards against LOST: a call that is still at the server when its daemon ends.
def test_a_call_that_outlasts_the_daemon_gets_an_answer() -> None:
    """The caller gets a response that says that the call may have run."""
    with _fleet() as running, ThreadPoolExecutor(THREADS) as callers:
        sent = _send(running, callers, LEAVING)
        _wait_until_running(running, 1)
        _stop(running)
        outcome = sent.result(WAIT_S)
        assert isinstance(outcome, Refusal)
        assert not outcome.not_run
        assert outcome.reason is Reason.SHUTTING_DOWN, outcome


# Guards against LOST: a call that waits for a thread of the listener at the end.
def test_a_call_that_waits_for_a_thread_is_refused_as_not_run() -> None:
    """Calls that the listener has read but not started are refused at the end."""
    with _fleet() as running, ThreadPoolExecutor(THREADS + 1) as callers:
        for _ in range(THREADS):
            _send(running, callers, LEAVING)
        _wait_until_running(running, THREADS)
        waiting = _send(running, callers, LEAVING)
        time.sleep(0.5)
        _stop(running)
        outcome = waiting.result(WAIT_S)
        assert outcome == not_run(Reason.SHUTTING_DOWN, retry_after_s=1.0), outcome
        assert len(running.seen(LEAVING)) == THREADS


# Guards against LOST at the other end of a stream: the daemon beside the server leaves.
def test_a_call_of_a_peer_gets_a_result_from_a_leaving_daemon() -> None:
    """The caller's daemon gets a result instead of a lost stream."""
    with _fleet() as running, ThreadPoolExecutor(THREADS) as callers:
        sent = _send(running, callers, "lookup-a")
        _wait_until_running(running, 1)
        _stop(running)
        outcome = sent.result(WAIT_S)
        assert isinstance(outcome, Refusal)
        assert not outcome.not_run
        assert outcome.reason is Reason.SHUTTING_DOWN, outcome


# Guards against LOST: a request that is read in part until the daemon ends.
def test_a_half_read_request_gets_an_answer() -> None:
    """It has not run, and its caller is told before the daemon ends."""
    with _fleet() as running, socket.socket() as caller:
        caller.settimeout(WAIT_S)
        caller.connect((HOST, running.server(LEAVING).caller_port))
        caller.sendall(
            b"POST /ledger/file/x HTTP/1.1\r\nHost: service\r\n"
            + f"{HEADER_KEY}: {running.secrets[WORKSPACES[0]]}\r\n".encode()
            + b"Content-Length: 10\r\n\r\nhalf"
        )
        _stop(running)
        data = caller.recv(READ_BYTES)
        assert data.startswith(b"HTTP/1.1 408 "), data
        assert running.seen(LEAVING) == []


# Guards against LOST: a response that is ready but not yet read by its caller.
def test_a_caller_that_reads_slowly_gets_the_complete_response() -> None:
    """The daemon waits until the response is sent, within its grace time."""
    with _fleet(graceful_stop_s=20.0) as running, socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.settimeout(WAIT_S)
        caller.connect((HOST, running.server(LEAVING).caller_port))
        caller.sendall(
            b"GET /ledger/x HTTP/1.1\r\nHost: service\r\n"
            + f"{HEADER_KEY}: {running.secrets[WORKSPACES[0]]}\r\n".encode()
            + f"{HEADER_BYTES}: {BODY_BYTES}\r\n\r\n".encode()
        )
        data = caller.recv(READ_BYTES)
        stopping = threading.Thread(target=_stop, args=(running,))
        stopping.start()
        time.sleep(NOT_READING_S)
        size = len(data)
        while chunk := caller.recv(READ_BYTES):
            size += len(chunk)
        stopping.join(WAIT_S)
        assert size > BODY_BYTES, size


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
