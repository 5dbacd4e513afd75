"""Calls at a daemon that is shutting down end before it does, or are refused."""

import time
import unittest
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from damaskbay.core.call import Request, Response
from damaskbay.core.lifetime import StopPlan
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.daemon.ingress import NEXT_DAEMON_S
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.caller import IssuedIds
from tests.common import function_suite
from tests.daemon.common import (
    TIMEOUT_S,
    PathDaemon,
    RequestPath,
    issue_request_id,
    request_path,
)

GRACE_S = 3.0
ANNOUNCED_S = 1.3
"""Time after SIGTERM at which callers know of it, seconds."""

SLOW_S = 1.3
"""Expected to take twice as long after one such call, more than GRACE_S allows."""

SLOW_DEADLINE_S = 2.0
ENDS_LATE_S = 0.8
"""Expected to take twice as long after one such call, until after the announcement."""

TOLERANCE_S = 0.3
LATE_S = 2.0
SLOWER_S = 0.6
"""Longer than the time that calls have LATE_S after SIGTERM, seconds."""

LEFT_DEADLINE_S = 0.2
LONG_DEADLINE_S = 8.0
SHORT_DEADLINE_S = 0.5


def _begin_stop(
    daemon: PathDaemon, grace_s: float = GRACE_S, *, since_s: float = 0.0
) -> StopPlan:
    """Begin the stop of a daemon as if `since_s` ago; return its plan."""
    daemon.lifetime.plan = None
    daemon.lifetime.begin_stop(grace_s, monotonic_s() - since_s)
    plan = daemon.lifetime.plan
    assert plan is not None
    return plan


@contextmanager
def _slow_call(
    path: RequestPath,
    sender: str,
    server: str,
    request_ids: Sequence[str | None] = (None, None),
) -> Iterator[None]:
    """Run a call for longer than late calls have, after one that took no time."""
    a, b = (path.daemons_by_instance[name] for name in (sender, server))
    cancellation = Cancellation()
    with ThreadPoolExecutor(1) as callers:
        first = a.call("/file/1", request_id=request_ids[0])
        assert isinstance(first, Response)
        b.backend.work_s = TIMEOUT_S
        callers.submit(
            a.call,
            "/file/run",
            request_id=request_ids[1],
            cancellation=cancellation,
        )
        _wait_until_running(b, 1)
        b.backend.work_s = 0.0
        time.sleep(SLOWER_S)
        try:
            yield
        finally:
            cancellation.cancel()


def _check_told_to_wait(outcome: Response | Refusal, left_s: float) -> None:
    """Check a refusal that says when the next daemon may be there."""
    assert isinstance(outcome, Refusal), outcome
    assert outcome.not_run
    assert outcome.reason is Reason.SHUTTING_DOWN
    assert outcome.retry_after_s is not None
    late_s = left_s + NEXT_DAEMON_S - outcome.retry_after_s
    assert abs(late_s) < TOLERANCE_S, (left_s, outcome)


def _record_deadlines(daemon: PathDaemon) -> list[float]:
    """Return a list to which the deadline of each call at the server is added."""
    deadlines: list[float] = []

    def on_call(request: Request, token: str) -> None:
        context = daemon.calls.context(token)
        assert not isinstance(context, Refusal)
        deadlines.append(context.deadline)

    daemon.backend.on_call = on_call
    return deadlines


# Guards against LOST: a call that is taken after SIGTERM and cut at the daemon's end.
def test_a_call_that_outlasts_the_daemon_is_refused_as_not_run() -> None:
    """Until callers know, it is taken if it is expected to end in time."""
    with request_path("a") as path:
        daemon = path.daemons_by_instance["a"]
        daemon.backend.work_s = SLOW_S
        assert isinstance(daemon.call("/file/1"), Response)
        daemon.backend.work_s = 0.0
        assert isinstance(daemon.call("/read/1"), Response)
        plan = _begin_stop(daemon)
        refused = daemon.call("/file/2", deadline_s=LONG_DEADLINE_S)
        _check_told_to_wait(refused, plan.announced_at - monotonic_s())
        assert path.runs("/file/2") == 0
        must_end = daemon.call("/file/3", deadline_s=SLOW_DEADLINE_S)
        assert isinstance(must_end, Response)
        in_time = daemon.call("/read/2", deadline_s=LONG_DEADLINE_S)
        assert isinstance(in_time, Response)
        _begin_stop(daemon, since_s=ANNOUNCED_S)
        late = daemon.call("/read/3", deadline_s=LONG_DEADLINE_S)
        assert late == not_run(Reason.SHUTTING_DOWN, retry_after_s=1.0)
        assert path.runs("/read/3") == 0


# Guards against a daemon that refuses each call if it is stopped right after its start.
def test_calls_of_which_nothing_is_known_are_taken_until_callers_know() -> None:
    """They end with the daemon's work; later only calls are taken that must do so."""
    with request_path("a") as path:
        daemon = path.daemons_by_instance["a"]
        deadlines = _record_deadlines(daemon)
        plan = _begin_stop(daemon)
        early = daemon.call("/file/1", deadline_s=LONG_DEADLINE_S)
        assert isinstance(early, Response)
        assert deadlines == [plan.work_until]
        _begin_stop(daemon, since_s=ANNOUNCED_S)
        refused = daemon.call("/read/1", deadline_s=LONG_DEADLINE_S)
        assert refused == not_run(Reason.SHUTTING_DOWN, retry_after_s=1.0)
        assert path.runs("/read/1") == 0
        short = daemon.call("/read/2", deadline_s=SHORT_DEADLINE_S)
        assert isinstance(short, Response)


# Guards against LOST: a call of a peer that is still running when the daemon ends.
def test_a_call_of_a_peer_ends_before_the_daemon() -> None:
    """Its deadline is bounded; once no time is left, it is refused as not run."""
    with request_path("a", "b") as path:
        a, b = (path.daemons_by_instance[name] for name in "ab")
        path.membership.servers_by_instance.pop("a")
        deadlines = _record_deadlines(b)
        plan = _begin_stop(b)
        assert isinstance(a.call("/file/1", deadline_s=LONG_DEADLINE_S), Response)
        assert deadlines == [plan.work_until]
        _begin_stop(b, grace_s=0.0)
        outcome = a.call("/file/2")
        assert isinstance(outcome, Refusal)
        assert outcome.not_run
        assert outcome.reason is Reason.SHUTTING_DOWN
        assert path.runs("/file/2") == 0


# Guards against calls that are taken in a stop after their server has become slower.
def test_a_leaving_daemon_notices_that_its_server_has_become_slower() -> None:
    """Calls that run show it before any of them has ended."""
    with request_path("a") as path, _slow_call(path, "a", "a"):
        daemon = path.daemons_by_instance["a"]
        _begin_stop(daemon, since_s=LATE_S)
        refused = daemon.call("/file/2", deadline_s=LONG_DEADLINE_S)
        assert refused == not_run(Reason.SHUTTING_DOWN, retry_after_s=1.0)
        assert path.runs("/file/2") == 0
        short = daemon.call("/file/3", deadline_s=LEFT_DEADLINE_S)
        assert isinstance(short, Response)


# Guards against LOST: a call of a peer that is taken late and cut at the daemon's end.
def test_a_call_of_a_peer_that_outlasts_the_daemon_is_refused_as_not_run() -> None:
    """It is taken if it is expected to end in time, or must end in time."""
    with request_path("a", "b") as path:
        a, b = (path.daemons_by_instance[name] for name in "ab")
        path.membership.servers_by_instance.pop("a")
        with _slow_call(path, "a", "b"):
            _begin_stop(b, since_s=LATE_S)
            refused = a.call("/file/2", deadline_s=LONG_DEADLINE_S)
            assert isinstance(refused, Refusal)
            assert refused.not_run
            assert refused.reason is Reason.SHUTTING_DOWN
            assert path.runs("/file/2") == 0
            short = a.call("/file/3", deadline_s=LEFT_DEADLINE_S)
            assert isinstance(short, Response)
            in_time = a.call("/open/1", deadline_s=LONG_DEADLINE_S)
            assert isinstance(in_time, Response)


# Guards against calls that fail as a leaving daemon refuses one that they make.
def test_a_nested_call_of_a_peer_is_taken_as_long_as_possible() -> None:
    """Its outer call runs on another server, and may end in time."""
    with request_path("a", "b") as path:
        a, b = (path.daemons_by_instance[name] for name in "ab")
        servers = path.membership.servers_by_instance
        a_server, b_server = servers.pop("a"), servers["b"]
        nested: list[Response | Refusal] = []

        def on_call(_: Request, token: str) -> None:
            path.membership.servers_by_instance = {"b": b_server}
            nested.append(a.call("/file/2", key=None, call_token=token))

        a.backend.on_call = on_call
        with _slow_call(path, "a", "b"):
            _begin_stop(b, since_s=LATE_S)
            path.membership.servers_by_instance = {"a": a_server}
            assert isinstance(a.call("/open/1"), Response)
        assert isinstance(nested[0], Response)
        assert b.backend.runs_by_target["/file/2"] == 1


# Guards against LOST: a call whose request id the leaving daemon owns, taken late.
def test_an_owned_call_that_outlasts_its_owner_is_refused_as_not_run() -> None:
    """If it has run before, the caller gets the result of that."""
    with request_path("a", "b") as path:
        a, b = (path.daemons_by_instance[name] for name in "ab")
        path.membership.servers_by_instance.pop("b")
        ran_id, new_id = issue_request_id(b), issue_request_id(b)
        ran = a.call("/file/0", request_id=ran_id)
        assert isinstance(ran, Response)
        ids = (issue_request_id(b), issue_request_id(b))
        with _slow_call(path, "a", "a", ids):
            _begin_stop(b, since_s=LATE_S)
            refused = a.call("/file/2", request_id=new_id, deadline_s=LONG_DEADLINE_S)
            again = a.call("/file/0", request_id=ran_id, deadline_s=LONG_DEADLINE_S)
        assert isinstance(refused, Refusal)
        assert refused.not_run
        assert refused.reason is Reason.SHUTTING_DOWN
        assert path.runs("/file/2") == 0
        assert again == ran
        assert path.runs("/file/0") == 1


# Guards against callers that come back before a leaving daemon has ended, or too late.
def test_callers_are_told_when_a_leaving_daemon_is_expected_to_end() -> None:
    """It ends once callers know, and once no call of callers or of peers runs."""
    for sender in "ba":
        with request_path("a", "b") as path, ThreadPoolExecutor(1) as callers:
            b = path.daemons_by_instance["b"]
            path.membership.servers_by_instance.pop("a")
            b.ingress.drain()
            told_s = _begin_stop(b).announced_at - monotonic_s()
            _check_told_to_wait(b.call("/open/1"), told_s)
            b = path.start("b", incarnation=2)
            daemon = path.daemons_by_instance[sender]
            b.backend.work_s = ENDS_LATE_S
            assert isinstance(daemon.call("/file/1"), Response)
            sent_at = monotonic_s()
            running = callers.submit(daemon.call, "/file/run")
            _wait_until_running(b, 1)
            _begin_stop(b)
            b.ingress.drain()
            left_s = sent_at + 2 * ENDS_LATE_S - monotonic_s()
            _check_told_to_wait(b.call("/open/1"), left_s)
            assert isinstance(running.result(TIMEOUT_S), Response)


# Guards against calls that end as unknown as the daemon that issued their id has left.
def test_a_leaving_daemon_issues_no_request_ids_that_outlast_it() -> None:
    """Ids are valid until its end of work; once callers know, it issues none."""
    with request_path("a") as path:
        daemon = path.daemons_by_instance["a"]
        plan = _begin_stop(daemon)
        issued = daemon.ingress.issue_request_ids(1)
        assert isinstance(issued, IssuedIds)
        assert 0.0 < issued.valid_s <= plan.work_until - plan.began_at
        outcome = daemon.call("/file/1", request_id=issued.request_ids[0])
        assert isinstance(outcome, Response)
        plan = _begin_stop(daemon, since_s=ANNOUNCED_S)
        refused = daemon.ingress.issue_request_ids(1)
        assert refused == not_run(Reason.SHUTTING_DOWN, retry_after_s=1.0)


# Guards against LOST: work that was accepted in time and outlives the daemon.
def test_interrupted_calls_say_whether_they_may_have_run() -> None:
    """A queued call has not run; one at the server may have run."""
    with request_path("a") as path, ThreadPoolExecutor(32) as callers:
        daemon = path.daemons_by_instance["a"]
        daemon.backend.work_s = TIMEOUT_S
        at_server = []
        while daemon.gate.has_room():
            at_server.append(callers.submit(daemon.call, "/file/run"))
            _wait_until_running(daemon, len(at_server))
        queued = callers.submit(daemon.call, "/file/wait")
        while daemon.ingress.in_flight <= len(at_server) or daemon.gate.load() <= 1.0:
            time.sleep(0.01)
        daemon.ingress.interrupt()
        assert queued.result(TIMEOUT_S) == not_run(Reason.SHUTTING_DOWN)
        for sent in at_server:
            outcome = sent.result(TIMEOUT_S)
            assert isinstance(outcome, Refusal)
            assert not outcome.not_run
            assert outcome.reason is Reason.SHUTTING_DOWN
        assert path.runs("/file/wait") == 0


def _wait_until_running(daemon: PathDaemon, count: int) -> None:
    while daemon.backend.runs_by_target.get("/file/run", 0) < count:
        time.sleep(0.01)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
