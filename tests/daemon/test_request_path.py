"""Tests of the request path: refusals, runs and retries."""

import threading
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from damaskbay.core.admission.const import LIMIT_START_SHARE
from damaskbay.core.call import Request, Response
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run, unknown
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.clock import monotonic_s
from tests.common import function_suite
from tests.daemon.common import (
    SLOTS,
    TIMEOUT_S,
    Fault,
    issue_request_id,
    request_path,
)

POLL_S = 0.005
START_LIMIT = int(SLOTS * LIMIT_START_SHARE)
_FAULTS = st.lists(st.sampled_from(list(Fault)), max_size=4)
_BACKEND_OUTCOMES = st.lists(
    st.sampled_from(
        [
            not_run(Reason.BACKEND_SERVER_FAILED),
            unknown(Reason.BACKEND_SERVER_FAILED),
            unknown(Reason.ANSWER_INCOMPLETE),
            Response(500),
            Response(200),
        ]
    ),
    max_size=4,
)


def test_an_answer_comes_from_the_pool() -> None:
    """A call received by any daemon runs on a backend server of the pool."""
    with request_path("a", "b") as path:
        outcome = path.daemons_by_instance["a"].call("/read/1")
        assert isinstance(outcome, Response)
        assert path.runs("/read/1") == 1


def test_refused_before_sending_is_not_run_and_runs_nowhere() -> None:
    """Calls refused for key, route, token or rate do not reach a backend server."""
    with request_path("a") as path:
        daemon = path.daemons_by_instance["a"]
        cases = [
            (daemon.call("/read/1", key=None), Reason.KEY_MISSING),
            (daemon.call("/read/1", key="dk_other"), Reason.KEY_UNKNOWN),
            (daemon.call("/nowhere"), Reason.NO_ROUTE),
            (daemon.call("/read/1", call_token="guess"), Reason.CALL_TOKEN_UNKNOWN),
        ]
        path.rates.refusal = not_run(Reason.RATE_EXCEEDED)
        cases.append((daemon.call("/read/1"), Reason.RATE_EXCEEDED))
        for outcome, reason in cases:
            assert isinstance(outcome, Refusal)
            assert outcome.reason is reason
            assert outcome.not_run
        assert daemon.backend.runs_by_target == {}
        unknown_key = daemon.observer.ended[1]
        assert (unknown_key.route, unknown_key.set_version) == ("read", 1)


def test_open_routes_cost_no_workspace_anything() -> None:
    """A call of an open route runs without a key and spends no workspace's tokens."""
    with request_path("a") as path:
        outcome = path.daemons_by_instance["a"].call("/open/1", key=None)
        assert isinstance(outcome, Response)
        assert path.rates.acquired == []


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    _FAULTS,
    _BACKEND_OUTCOMES,
    st.lists(st.sampled_from("abc"), min_size=1, max_size=5),
    st.booleans(),
)
def test_a_request_id_runs_at_most_once(
    faults: list[Fault],
    outcomes: list[Response | Refusal],
    entries: list[str],
    crash: bool,
) -> None:
    """A request id runs at most once despite faults, retries and a restart."""
    with request_path("a", "b", "c") as path:
        request_id = issue_request_id(path.daemons_by_instance["a"])
        path.network.faults = list(faults)
        for daemon in path.daemons_by_instance.values():
            daemon.backend.outcomes = list(outcomes)
        backends = [daemon.backend for daemon in path.daemons_by_instance.values()]
        for number, entry in enumerate(entries):
            if crash and number == 1:
                path.start("a", incarnation=2)
            daemon = path.daemons_by_instance[entry]
            outcome = daemon.call("/file/1", method="POST", request_id=request_id)
            ran = sum(item.runs_by_target.get("/file/1", 0) for item in backends)
            if isinstance(outcome, Refusal) and outcome.not_run:
                assert ran == 0
        for daemon in path.daemons_by_instance.values():
            if daemon.backend not in backends:
                backends.append(daemon.backend)
        assert sum(item.runs_by_target.get("/file/1", 0) for item in backends) <= 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(_FAULTS, _BACKEND_OUTCOMES)
def test_not_run_is_true_and_non_idempotent_is_sent_once(
    faults: list[Fault], outcomes: list[Response | Refusal]
) -> None:
    """A non-idempotent call without an id runs at most once; never if `not_run`."""
    with request_path("a", "b", "c") as path:
        path.network.faults = list(faults)
        for daemon in path.daemons_by_instance.values():
            daemon.backend.outcomes = list(outcomes)
        for entry in ("a", "b"):
            outcome = path.daemons_by_instance[entry].call(f"/file/{entry}")
            ran = path.runs(f"/file/{entry}")
            assert ran <= 1
            if isinstance(outcome, Refusal) and outcome.not_run:
                assert ran == 0


@settings(derandomize=True, max_examples=100, deadline=None)
@given(_FAULTS, _BACKEND_OUTCOMES)
def test_idempotent_attempts_are_bounded(
    faults: list[Fault], outcomes: list[Response | Refusal]
) -> None:
    """A route with two retries makes at most three attempts."""
    with request_path("a", "b", "c") as path:
        path.network.faults = list(faults)
        for daemon in path.daemons_by_instance.values():
            daemon.backend.outcomes = list(outcomes)
        outcome = path.daemons_by_instance["a"].call("/read/1")
        ran = path.runs("/read/1")
        assert ran <= 3
        if isinstance(outcome, Refusal) and outcome.not_run:
            assert ran == 0


def test_concurrent_repeats_run_once() -> None:
    """Retries that arrive while the first attempt runs are refused as unknown."""
    with request_path("a", "b") as path:
        request_id = issue_request_id(path.daemons_by_instance["a"])
        for daemon in path.daemons_by_instance.values():
            daemon.backend.work_s = 0.05

        def send(entry: str) -> Response | Refusal:
            daemon = path.daemons_by_instance[entry]
            return daemon.call("/file/1", request_id=request_id)

        with ThreadPoolExecutor(8) as callers:
            outcomes = list(callers.map(send, "abababab"))
        assert path.runs("/file/1") == 1
        refused = [item for item in outcomes if isinstance(item, Refusal)]
        assert all(item.outcome is Outcome.UNKNOWN for item in refused)
        assert any(isinstance(item, Response) for item in outcomes)


def test_a_refused_repeat_never_claims_that_nothing_ran() -> None:
    """
    A retry refused before it reaches the owner has the outcome `unknown`.

    The reasons are an exceeded rate, a missing key and a draining daemon.
    """
    with request_path("a", "b") as path:
        a, b = (path.daemons_by_instance[name] for name in "ab")
        request_id, fresh = issue_request_id(a), issue_request_id(a)
        first = a.call("/file/1", request_id=request_id)
        assert isinstance(first, Response)
        path.rates.refusal = not_run(Reason.RATE_EXCEEDED)
        assert a.call("/file/1", request_id=request_id) == first
        unused = a.call("/file/2", request_id=fresh)
        assert unused == not_run(Reason.RATE_EXCEEDED)
        outcomes = [
            b.call("/file/1", request_id=request_id),
            b.call("/file/1", request_id=request_id, key=None),
        ]
        b.ingress.drain()
        outcomes.append(b.call("/file/1", request_id=request_id))
        for outcome in outcomes:
            assert isinstance(outcome, Refusal)
            assert outcome.outcome is Outcome.UNKNOWN


def test_withdrawn_key_stops_a_queued_call() -> None:
    """A queued call whose key is withdrawn never runs."""
    with request_path("a") as path:
        daemon = path.daemons_by_instance["a"]
        release = threading.Event()

        def on_call(request: Request, token: str) -> None:
            release.wait(TIMEOUT_S)

        daemon.backend.on_call = on_call
        with ThreadPoolExecutor(SLOTS + 1) as callers:
            running = []
            while daemon.gate.has_room():
                running.append(callers.submit(daemon.call, "/read/run"))
                _wait_until(lambda: daemon.gate.running() == len(running))
            waiting = callers.submit(daemon.call, "/read/wait")
            _wait_until(lambda: daemon.ingress.in_flight == len(running) + 1)
            config = path.config.config
            path.config.config = replace(config, version=2, keys_by_digest={})
            release.set()
            outcome = waiting.result(TIMEOUT_S)
            for future in running:
                future.result(TIMEOUT_S)
        assert isinstance(outcome, Refusal)
        assert outcome.not_run
        assert path.runs("/read/wait") == 0


def _wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition until a timeout; the caller's assertions detect a timeout."""
    give_up_at = monotonic_s() + TIMEOUT_S
    while not condition() and monotonic_s() < give_up_at:
        time.sleep(POLL_S)


def test_nested_call_needs_no_key_and_inherits() -> None:
    """A backend server makes nested calls with its token while its call runs."""
    with request_path("a") as path:
        daemon = path.daemons_by_instance["a"]
        outcomes: list[Response | Refusal] = []
        tokens: list[str] = []

        def on_call(request: Request, token: str) -> None:
            if request.target == "/read/outer":
                tokens.append(token)
                outcomes.append(daemon.call("/read/inner", key=None, call_token=token))

        daemon.backend.on_call = on_call
        assert isinstance(daemon.call("/read/outer"), Response)
        assert isinstance(outcomes[0], Response), outcomes
        assert path.rates.acquired == ["w"]
        late = daemon.call("/read/inner", key=None, call_token=tokens[0])
        assert isinstance(late, Refusal)
        assert late.reason is Reason.CALL_TOKEN_UNKNOWN


def test_a_call_into_its_own_pool_does_not_wait_for_itself() -> None:
    """Calls that fill the concurrency limit and call their own pool all finish."""
    with request_path("a") as path:
        daemon = path.daemons_by_instance["a"]
        all_running = threading.Barrier(START_LIMIT)

        def on_call(request: Request, token: str) -> None:
            if request.target != "/read/outer":
                return
            all_running.wait(TIMEOUT_S)
            inner = daemon.call("/read/inner", key=None, call_token=token)
            assert isinstance(inner, Response), inner

        daemon.backend.on_call = on_call
        with ThreadPoolExecutor(START_LIMIT) as callers:
            targets = ["/read/outer"] * START_LIMIT
            outcomes = list(callers.map(daemon.call, targets))
        assert all(isinstance(item, Response) for item in outcomes)
        assert path.runs("/read/inner") == START_LIMIT


def test_hang_up_cancels_the_whole_subtree() -> None:
    """A caller's disconnect also cancels the nested call on another daemon."""
    with request_path("a", "b") as path:
        outer = path.daemons_by_instance["a"]
        nested: list[Response | Refusal] = []
        record_nested_end = threading.Event()
        cancellation = Cancellation()

        def on_call(request: Request, token: str) -> None:
            if request.target != "/read/outer":
                return
            for daemon in path.daemons_by_instance.values():
                daemon.backend.work_s = TIMEOUT_S
            timer = threading.Timer(0.05, cancellation.cancel)
            timer.start()
            daemons = path.daemons_by_instance
            server = next(item for item in daemons.values() if len(item.calls))
            nested.append(server.call("/read/inner", key=None, call_token=token))
            record_nested_end.set()

        for daemon in path.daemons_by_instance.values():
            daemon.backend.on_call = on_call
        outcome = outer.call("/read/outer", cancellation=cancellation)
        assert isinstance(outcome, Refusal)
        assert record_nested_end.wait(TIMEOUT_S)
        assert isinstance(nested[0], Refusal)
        assert nested[0].reason is Reason.CANCELLED
        assert all(len(item.calls) == 0 for item in path.daemons_by_instance.values())


def test_unreachable_peer_is_suspected_and_passed_over() -> None:
    """A call is sent to the next server and the unreachable one is suspected."""
    with request_path("a", "b", "c") as path:
        del path.network.handlers_by_address[
            path.membership.servers_by_instance["b"].address
        ]
        del path.membership.servers_by_instance["a"]
        for _ in range(5):
            outcome = path.daemons_by_instance["a"].call("/read/1")
            assert isinstance(outcome, Response)
        assert set(path.membership.suspected) <= {"b"}


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
