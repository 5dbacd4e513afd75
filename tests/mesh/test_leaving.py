"""What callers and peers get from a daemon that is shutting down."""

import asyncio
import contextlib
import itertools
import unittest
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
    HttpProblem,
)
from damaskbay.core import lifetime
from damaskbay.core.call import Request, Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh import dispatch, server_calls
from damaskbay.mesh.const import REPLY_GRACE_S, SERVER_REPLY_GRACE_S
from tests.common import function_suite
from tests.mesh.common import Fleet, Node, run_fleet, wait_until

SERVER_LATE_S = 0.06
"""Time that a server takes to respond after the end of work, seconds."""

MARGIN_SCALE = 10.0

_ids = itertools.count(1)


@dataclass
class Callers:
    """Callers of one daemon; `outcomes_by_id` holds what each request came to."""

    node: Node
    outcomes_by_id: dict[str, Response | HttpFailure] = field(default_factory=dict)
    sent_at_by_id: dict[str, float] = field(default_factory=dict)
    tasks: list["asyncio.Task[None]"] = field(default_factory=list)

    def send(self, path: str, method: str = "GET", deadline_ms: int = 9000) -> str:
        """Send a request on a new connection; return its id."""
        request_id = f"r{next(_ids)}"
        headers = (
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("Api-Key", "k1"),
        )
        request = Request(method, "a.example", path, headers)
        self.sent_at_by_id[request_id] = monotonic_s()
        self.tasks.append(asyncio.create_task(self._send(request_id, request)))
        return request_id

    async def _send(self, request_id: str, request: Request) -> None:
        client = HttpClient(self.node.daemon.settings.callers, HttpClientOptions())
        with contextlib.closing(client):
            self.outcomes_by_id[request_id] = await client.send(request)

    def status(self, request_id: str) -> int | None:
        """Return the status of a request's response, None without a response."""
        outcome = self.outcomes_by_id.get(request_id)
        return outcome.status if isinstance(outcome, Response) else None

    async def check_all_answered(self, not_run: set[str]) -> None:
        """Check that none is in flight, and that those `not_run` were told so."""
        await asyncio.sleep(0.05)
        assert all(task.done() for task in self.tasks)
        for request_id, outcome in self.outcomes_by_id.items():
            if isinstance(outcome, HttpFailure):
                assert outcome.problem is HttpProblem.NOT_SENT, (request_id, outcome)
            told_not_run = isinstance(outcome, HttpFailure) or outcome.status == 503
            assert told_not_run is (request_id in not_run), (request_id, outcome)


def _run(check: Callable[[Fleet], Awaitable[None]], **nodes: str) -> None:
    async def run() -> None:
        async with run_fleet(**nodes) as fleet:
            await fleet.publish(Timeout="10s", TargetLatency="5s")
            for node in fleet.nodes.values():
                await wait_until(
                    lambda node=node: node.daemon.configuration.version == 2  # type: ignore[misc]
                )
            await check(fleet)

    asyncio.run(run())


def _answer_after(node: Node, seconds: float) -> None:
    async def slow(_request: Request) -> Response | None:
        await asyncio.sleep(seconds)
        return None

    node.backend.override_response = slow


# Guards against LOST: a request that was taken late after SIGTERM and cut at the end.
def test_a_leaving_daemon_takes_no_request_that_outlasts_it() -> None:
    """Requests are answered before the daemon ends, or refused as not run."""

    async def check(fleet: Fleet) -> None:
        server, leaving = fleet.nodes["a"], fleet.nodes["b"]
        callers = Callers(leaving)
        await server.send_heartbeat(slots=100)
        _answer_after(server, 0.9)
        callers.send("/safe/")
        await wait_until(lambda: len(callers.outcomes_by_id) == 1)
        leaving.daemon.stop()
        while not leaving.run_task.done():
            callers.send("/safe/")
            await asyncio.sleep(0.05)
        ran = set(server.backend.ids())
        await callers.check_all_answered(callers.outcomes_by_id.keys() - ran)
        assert all(callers.status(request_id) == 200 for request_id in ran)

    _run(check, a="one", b="two")


# Guards against LOST: a request that is still in the queue or at the server at the end.
def test_what_outlasts_a_leaving_daemon_gets_an_answer() -> None:
    """A queued request is refused as not run; one at the server gets 502."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        callers = Callers(node)
        await node.send_heartbeat(slots=1)
        _answer_after(node, 8.0)
        at_server = callers.send("/unsafe/", "POST")
        await wait_until(lambda: len(node.backend.seen) == 1)
        queued = callers.send("/unsafe/", "POST")
        await asyncio.sleep(0.1)
        node.daemon.stop()
        await node.run_task
        await callers.check_all_answered({queued})
        assert callers.status(at_server) == 502
        assert node.backend.ids() == [at_server]

    _run(check, a="one", b="two")


# Guards against LOST at the other end of a link: the daemon beside the server leaves.
def test_calls_of_peers_get_a_result_from_a_leaving_daemon() -> None:
    """A safe or queued call goes to another server, an unsafe one ends as unknown."""

    async def check(fleet: Fleet) -> None:
        leaving, sender = fleet.nodes["a"], fleet.nodes["b"]
        callers = Callers(sender)
        await leaving.send_heartbeat(slots=2)
        _answer_after(leaving, 8.0)
        safe = callers.send("/safe/")
        unsafe = callers.send("/unsafe/", "POST")
        await wait_until(lambda: len(leaving.backend.seen) == 2)
        queued = callers.send("/unsafe/", "POST")
        await asyncio.sleep(0.1)
        other = await fleet.add("c", "one")
        await fleet.wait_until_connected()
        leaving.daemon.stop()
        await leaving.run_task
        await asyncio.sleep(0.2)
        assert callers.status(unsafe) == 502
        assert callers.status(safe) == callers.status(queued) == 200
        assert sorted(other.backend.ids()) == sorted([safe, queued])

    _run(check, a="one", b="two")


@contextlib.contextmanager
def _longer_margins() -> Iterator[None]:
    """Scale the margins after the end of work, which a busy machine may exceed."""
    gap_s = lifetime.WORK_MARGIN_S - lifetime.INTERRUPT_MARGIN_S
    assert SERVER_LATE_S < SERVER_REPLY_GRACE_S < REPLY_GRACE_S < gap_s
    work_margin_s = lifetime.INTERRUPT_MARGIN_S + MARGIN_SCALE * gap_s
    with (
        patch.object(
            server_calls, "SERVER_REPLY_GRACE_S", MARGIN_SCALE * SERVER_REPLY_GRACE_S
        ),
        patch.object(dispatch, "REPLY_GRACE_S", MARGIN_SCALE * REPLY_GRACE_S),
        patch.object(lifetime, "WORK_MARGIN_S", work_margin_s),
        patch.object(lifetime, "MAX_MARGIN_SHARE", 1.0),
    ):
        yield


def _answer_at_deadline(node: Node, after_s: float = 0.0) -> None:
    """Answer 504 at the time limit, as a server does that stops work there."""

    async def slow(request: Request) -> Response | None:
        headers = dict(request.headers)
        await asyncio.sleep(int(headers["X-Deadline-Ms"]) / 1000.0 + after_s)
        named = ("X-Request-Id", headers["X-Request-Id"])
        return Response(504, (named, ("X-Server-Stamp", "stamp")))

    node.backend.override_response = slow


def _check_moves_on(take: Callable[[Node], None]) -> None:
    """Check that a safe call that a leaving server can't end is run by another one."""

    async def check(fleet: Fleet) -> None:
        leaving, sender = fleet.nodes["a"], fleet.nodes["b"]
        callers = Callers(sender)
        await leaving.send_heartbeat(slots=8)
        callers.send("/safe/")
        await wait_until(lambda: len(callers.outcomes_by_id) == 1)
        take(leaving)
        leaving.daemon.stop()
        safe = callers.send("/safe/", deadline_ms=9000)
        await wait_until(lambda: safe in leaving.backend.ids())
        other = await fleet.add("c", "one")
        await leaving.run_task
        await wait_until(lambda: safe in callers.outcomes_by_id)
        assert callers.status(safe) == 200, (callers.status(safe), other.backend.ids())

    _run(check, a="one", b="two")


# Guards against 504 at a deadline that only the leaving daemon had shortened.
def test_a_safe_call_that_a_leaving_server_gives_up_goes_to_another() -> None:
    """The server answers 504; the caller has time left, and another server has room."""
    _check_moves_on(_answer_at_deadline)


# Guards against 504 at a deadline that only the leaving daemon had shortened.
def test_a_safe_call_that_a_leaving_server_does_not_answer_goes_to_another() -> None:
    """The daemon's own end is the reason, not the time limit of the call."""
    _check_moves_on(lambda node: _answer_after(node, 30.0))


# Guards against LOST: the daemon's own answer in place of the server's at its end.
def test_the_response_of_a_server_at_the_end_of_work_reaches_its_caller() -> None:
    """There is time to wait for it until calls are interrupted."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        node.daemon.settings = replace(node.daemon.settings, grace_s=6.0)
        callers = Callers(node)
        await node.send_heartbeat(slots=8)
        callers.send("/safe/")
        await wait_until(lambda: len(callers.outcomes_by_id) == 1)
        _answer_at_deadline(node, MARGIN_SCALE * SERVER_LATE_S)
        node.daemon.stop()
        late = callers.send("/safe/", deadline_ms=9000)
        await node.run_task
        await asyncio.sleep(0.1)
        outcome = callers.outcomes_by_id[late]
        assert isinstance(outcome, Response)
        assert "X-Server-Stamp" in dict(outcome.headers), outcome

    with _longer_margins():
        _run(check, a="one", b="two")


# Guards against LOST: the daemon's own answer to a request taken in its stop.
def test_a_request_taken_in_a_stop_gets_its_servers_response() -> None:
    """Its server responds after the end of work, before calls are interrupted."""

    async def check(fleet: Fleet) -> None:
        leaving = fleet.nodes["a"]
        leaving.daemon.settings = replace(leaving.daemon.settings, grace_s=6.0)
        await leaving.send_heartbeat(slots=8)
        callers = Callers(leaving)
        other = await fleet.add("c", "one")
        await fleet.wait_until_connected()
        for count in range(1, 4):
            callers.send("/safe/")
            await wait_until(lambda count=count: len(callers.outcomes_by_id) == count)  # type: ignore[misc]

        async def slow(request: Request) -> Response | None:
            headers = dict(request.headers)
            left_s = int(headers["X-Deadline-Ms"]) / 1000.0
            late_s = MARGIN_SCALE * SERVER_LATE_S
            await asyncio.sleep(8.0 if request.method == "POST" else left_s + late_s)
            named = ("X-Request-Id", headers["X-Request-Id"])
            return Response(504, (named, ("X-Server-Stamp", "stamp")))

        leaving.backend.override_response = other.backend.override_response = slow
        callers.send("/unsafe/", "POST")
        await asyncio.sleep(0.2)
        began_at = monotonic_s()
        leaving.daemon.stop()
        await asyncio.sleep(2.0)
        taken = [callers.send("/safe/", deadline_ms=9000) for _ in range(6)]
        await wait_until(lambda: set(taken) <= callers.outcomes_by_id.keys())
        took_s = round(monotonic_s() - began_at, 2)
        assert set(taken).intersection(other.backend.ids())
        for request_id in taken:
            outcome = callers.outcomes_by_id[request_id]
            assert isinstance(outcome, Response)
            assert "X-Server-Stamp" in dict(outcome.headers), (outcome, took_s)

    with _longer_margins():
        _run(check, a="one", b="two")


# Guards against redirects that run out at leaving daemons while another has room.
def test_a_slow_call_finds_the_one_server_that_stays() -> None:
    """Servers that stop together refuse it before callers have been told."""

    async def check(fleet: Fleet) -> None:
        sender = fleet.nodes["b"]
        leaving = [fleet.nodes[name] for name in ("a", "c", "d")]
        for node in leaving:
            node.daemon.settings = replace(node.daemon.settings, grace_s=3.0)
            for route in ("r0", "r1"):
                durations = node.daemon._target._durations
                call = durations.start(route, monotonic_s() - 2.0)
                durations.end(call, monotonic_s(), completed=True)
            node.daemon.stop()
        await asyncio.sleep(0.1)
        answers = [await sender.request("/safe/") for _ in range(24)]
        assert not any(node.daemon._target.draining for node in leaving)
        statuses = [answer.status for answer in answers]
        assert statuses == [200] * 24, statuses

    _run(check, a="one", b="two", c="one", d="one", e="one")


# Guards against LOST: a running request is cut before the last sixth.
def test_a_short_grace_time_leaves_running_requests_five_sixths() -> None:
    """A request ends at 1.55 s of 2 s; the last sixth begins at 1.67 s."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        node.daemon.settings = replace(node.daemon.settings, grace_s=2.0)
        callers = Callers(node)
        _answer_after(node, 1.6)
        running = callers.send("/unsafe/", "POST")
        await wait_until(lambda: running in node.backend.ids())
        await asyncio.sleep(0.05)
        began_at = monotonic_s()
        node.daemon.stop()
        await wait_until(lambda: running in callers.outcomes_by_id)
        took_s = round(monotonic_s() - began_at, 2)
        await node.run_task
        assert callers.status(running) == 200, (callers.status(running), took_s)

    _run(check, a="one", b="two")


# Guards against the refusal of all requests of a daemon that stops after its start.
def test_a_leaving_daemon_takes_requests_of_which_it_knows_nothing() -> None:
    """Until callers know of the stop, there is time for most of them."""

    async def check(fleet: Fleet) -> None:
        callers = Callers(fleet.nodes["a"])
        fleet.nodes["a"].daemon.stop()
        first = callers.send("/safe/")
        await wait_until(lambda: first in callers.outcomes_by_id)
        assert callers.status(first) == 200

    _run(check, a="one", b="two")


# Guards against LOST: calls that are taken in a stop after servers have become slower.
def test_a_leaving_daemon_notices_that_servers_have_become_slower() -> None:
    """No call has ended since; the age of those that run tells."""

    async def check(fleet: Fleet) -> None:
        server, leaving = fleet.nodes["a"], fleet.nodes["b"]
        callers = Callers(leaving)
        await server.send_heartbeat(slots=100)
        for count in range(1, 4):
            callers.send("/safe/")
            await wait_until(lambda count=count: len(callers.outcomes_by_id) == count)  # type: ignore[misc]
        _answer_after(server, 8.0)
        leaving.daemon.stop()
        plan = leaving.daemon._lifetime.plan
        assert plan is not None
        while monotonic_s() < plan.work_until:
            callers.send("/safe/")
            await asyncio.sleep(0.05)
        ran = set(server.backend.ids())
        halfway_at = (plan.began_at + plan.work_until) / 2.0
        late = [
            seen
            for seen in callers.sent_at_by_id
            if callers.sent_at_by_id[seen] > halfway_at + 0.1
        ]
        assert late and not ran.intersection(late)
        await leaving.run_task

    _run(check, a="one", b="two")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
