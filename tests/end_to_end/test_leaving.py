"""What callers and peers get from a daemon process that is shutting down."""

import signal
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager

from bench.fleet import Fleet, ServerPlan
from damaskbay.core.call import Response
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.stand_ins.backend import HEADER_WORK_MS
from tests.common import function_suite
from tests.end_to_end.common import WAIT_S, Running, secrets_for_tests

LEAVING = "ledger-a"
GRACEFUL_STOP_S = 5.0
OUTLASTING_MS = "9000"
THREADS = 4
Outcome = Future[Response | Refusal]


@contextmanager
def _fleet() -> Iterator[Running]:
    """Yield a fleet with one server in the pool of the daemon that leaves."""
    plans = [
        ServerPlan("lookup-a", "domain-a", "lookup"),
        ServerPlan(LEAVING, "domain-a", "ledger", slots=16),
    ]
    limits = {"caller_threads": THREADS, "graceful_stop_s": GRACEFUL_STOP_S}
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


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
