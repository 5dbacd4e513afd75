"""Limits that backend servers name in their responses, and their leaving."""

import asyncio
import math
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from damaskbay.core.call import CallContext, Headers, Request, Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.const import NOT_READY_RETRY_S
from damaskbay.ports.fleet import ServerState
from tests.common import function_suite
from tests.mesh.common import Fleet, Node, run_fleet, wait_until

WINDOW_S = 4.0
"""Sliding window in which the requests to a server are counted."""

CONTACT_S = 3.0
"""Time after the first response with a limit from which it binds."""

OVERAGE = 1.5
SLACK = 5
"""A server may get OVERAGE times its limit, plus SLACK, in each window."""

WORK_S = 0.03


@dataclass
class LimitedServer:
    """A server with realistic service times that names a limit while it has one."""

    limit: str | None = None
    leaving: bool = False
    named_at: float | None = None
    arrivals: list[float] = field(default_factory=list)

    def install(self, node: Node) -> None:
        """Let a node's server respond as this one."""
        node.backend.override_response = self.respond

    async def respond(self, request: Request) -> Response:
        """Work on a request and name the limit that holds when it ends."""
        self.arrivals.append(monotonic_s())
        await asyncio.sleep(WORK_S)
        headers: Headers = (
            ("X-Request-Id", dict(request.headers)["X-Request-Id"]),
            ("X-Server-Stamp", "stamp"),
        )
        if self.limit is not None:
            headers = (*headers, ("Server-Limit", self.limit))
            self.named_at = self.named_at or monotonic_s()
        if self.leaving:
            headers = (*headers, ("Server-Leaving", "1"))
        return Response(200, headers, b"done")

    def most_in_window(self) -> int:
        """Return the most arrivals in a window after the limit binds."""
        assert self.named_at is not None
        binding = [at for at in self.arrivals if at >= self.named_at + CONTACT_S]
        return max(
            (
                sum(1 for at in binding if first <= at < first + WINDOW_S)
                for first in binding
            ),
            default=0,
        )

    def allowed(self) -> int:
        """Return the requests that the server may get in a window."""
        assert self.limit is not None
        return math.floor(OVERAGE * float(self.limit) * WINDOW_S + SLACK)


def _run(check: Callable[[Fleet], Awaitable[None]], **nodes: str) -> None:
    async def run() -> None:
        async with run_fleet(**nodes) as fleet:
            await check(fleet)

    asyncio.run(run())


async def _restart_daemon(fleet: Fleet, name: str) -> Node:
    """End a daemon without a stop, and start another one beside its server."""
    old = fleet.nodes[name]
    old.run_task.cancel()
    await asyncio.wait([old.run_task])
    addresses = {
        listener: getattr(old.daemon.settings, listener)
        for listener in ("callers", "control", "readiness", "peers", "metrics")
    }
    new = await fleet.add_daemon(name, old.backend, **addresses)
    new.sequence = old.sequence
    return new


async def _press(
    nodes: list[Node], *, per_s: float, for_s: float, path: str = "/safe/"
) -> list[Response]:
    """Send requests at a steady rate from all nodes in turn; return the responses."""
    tasks = []
    began = monotonic_s()
    for number in range(int(per_s * for_s)):
        await asyncio.sleep(max(0.0, began + number / per_s - monotonic_s()))
        node = nodes[number % len(nodes)]
        tasks.append(asyncio.create_task(node.request(path)))
    return list(await asyncio.gather(*tasks))


# A server got as many requests as it has slots for, whatever limit its responses named.
def test_a_server_gets_no_more_requests_than_the_limit_it_names() -> None:
    """The limit holds over the requests of all daemons together."""

    async def check(fleet: Fleet) -> None:
        server = LimitedServer(limit="5")
        server.install(fleet.nodes["a"])
        nodes = list(fleet.nodes.values())
        answers = await _press(nodes, per_s=30.0, for_s=CONTACT_S + WINDOW_S + 1.0)
        assert server.most_in_window() <= server.allowed()
        refused = [item for item in answers if item.status == 503]
        assert len(refused) + len(server.arrivals) == len(answers)
        assert all(dict(item.headers).get("Retry-After") for item in refused)

    _run(check, a="one", b="two", c="two")


# A daemon that restarted beside a running server sent as if there were no limit.
def test_a_daemon_that_restarts_keeps_to_a_limit_that_it_has_not_heard() -> None:
    """Calls of peers that were told of the limit wait until the new daemon knows it."""

    async def check(fleet: Fleet) -> None:
        server = LimitedServer(limit="2")
        server.install(fleet.nodes["a"])
        peer = fleet.nodes["b"]
        pressing = asyncio.create_task(
            _press([peer], per_s=60.0, for_s=CONTACT_S + 2.0 * WINDOW_S)
        )
        await asyncio.sleep(CONTACT_S + 1.0)
        new = await _restart_daemon(fleet, "a")
        await new.send_heartbeat()
        before = len(server.arrivals)
        await pressing
        assert len(server.arrivals) > before
        assert server.most_in_window() <= server.allowed()

    _run(check, a="one", b="two")


def test_requests_beyond_a_limit_go_to_a_server_that_takes_more() -> None:
    """No request is refused while another server of the pool has free slots."""

    async def check(fleet: Fleet) -> None:
        limited, free = LimitedServer(limit="3"), LimitedServer()
        limited.install(fleet.nodes["a"])
        free.install(fleet.nodes["b"])
        nodes = list(fleet.nodes.values())
        answers = await _press(nodes, per_s=40.0, for_s=CONTACT_S + WINDOW_S)
        assert [item.status for item in answers] == [200] * len(answers)
        assert limited.most_in_window() <= limited.allowed()
        assert limited.most_in_window() > 0

    _run(check, a="one", b="one", c="two")


# Callers got a fixed Retry-After, far below the time until a limited pool had room.
def test_callers_of_full_servers_get_the_retry_delay_of_these_servers() -> None:
    """The delay for a pool without any server stands only for such a pool."""

    async def check(fleet: Fleet) -> None:
        for name in ("a", "b"):
            LimitedServer(limit="1").install(fleet.nodes[name])
        answers = await _press([fleet.nodes["c"]], per_s=40.0, for_s=3.0)
        delays = [
            dict(item.headers)["Retry-After"] for item in answers if item.status == 503
        ]
        assert len(delays) > len(answers) / 2
        assert f"{NOT_READY_RETRY_S:.3f}" not in delays

    _run(check, a="one", b="one", c="two")


# Retries that a full server refused used up the budget of those that it would take.
def test_a_retry_that_a_full_server_refuses_costs_no_retry_budget() -> None:
    """Only what is sent to the server counts."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        LimitedServer(limit="0").install(node)
        await _press([node], per_s=40.0, for_s=0.5)
        left = node.daemon._repeats.left
        context = CallContext(
            "", "t", 1, monotonic_s() + 0.2, "r", "one", True, is_retry=True
        )
        request = Request("GET", "a.example", "/safe/", (), b"")
        for _ in range(5):
            result = await node.daemon._target.run(context, request)
            assert result.attempts == 0
        assert node.daemon._repeats.left == left

    _run(check, a="one")


def test_a_limit_ends_when_responses_no_longer_name_it() -> None:
    """All requests are served again a few seconds later."""

    async def check(fleet: Fleet) -> None:
        server, node = LimitedServer(limit="4"), fleet.nodes["a"]
        server.install(node)
        answers = await _press([node], per_s=30.0, for_s=2.0)
        assert {item.status for item in answers} == {200, 503}
        server.limit = None
        await _press([node], per_s=30.0, for_s=4.0)
        answers = await _press([node], per_s=30.0, for_s=1.0)
        assert [item.status for item in answers] == [200] * len(answers)

    _run(check, a="one")


def test_an_unreadable_limit_changes_nothing() -> None:
    """Neither does it limit, nor does it end the limit that was named before."""

    async def check(fleet: Fleet) -> None:
        server, node = LimitedServer(limit="many"), fleet.nodes["a"]
        server.install(node)
        answers = await _press([node], per_s=60.0, for_s=1.0)
        assert [item.status for item in answers] == [200] * len(answers)
        server.limit = "3"
        await _press([node], per_s=60.0, for_s=1.0)
        server.limit = "-1"
        await _press([node], per_s=60.0, for_s=1.0)
        assert node.daemon._gate.named_limit_per_s == 3.0

    _run(check, a="one")


def test_headers_of_a_limited_server_reach_the_caller_unchanged() -> None:
    """Also through two daemons."""

    async def check(fleet: Fleet) -> None:
        server = LimitedServer(limit="29.5", leaving=True)
        server.install(fleet.nodes["a"])
        answer = await fleet.nodes["b"].request("/safe/")
        headers = dict(answer.headers)
        assert headers["Server-Limit"] == "29.5"
        assert headers["Server-Leaving"] == "1"

    _run(check, a="one", b="two")


# A server that said only in its responses that it leaves went on getting requests.
def test_a_server_that_says_in_a_response_that_it_leaves_gets_no_more() -> None:
    """Its daemon and the peers take it as a report, which later reports don't undo."""

    async def check(fleet: Fleet) -> None:
        server = LimitedServer(leaving=True)
        server.install(fleet.nodes["a"])
        a, b = fleet.nodes["a"], fleet.nodes["b"]
        assert (await b.request("/safe/")).status == 200
        assert await a.send_heartbeat() == 200
        for node in (a, b):
            assert (await node.request("/safe/")).status == 503
        await wait_until(lambda: not b.daemon._directory.servers("one"))
        assert len(server.arrivals) == 1

    _run(check, a="one", b="two")


# Peers that knew that a server leaves got their calls through to it after a kill.
def test_a_stored_state_that_the_server_contradicts_is_not_restored() -> None:
    """The killed daemon could not store that its server leaves."""

    async def check(fleet: Fleet) -> None:
        a, b = fleet.nodes["a"], fleet.nodes["b"]
        assert (await b.request("/safe/")).status == 200
        fleet.kv.faults.status = 503
        a.backend.leaving = True
        assert await a.send_heartbeat("draining") == 200
        a.run_task.cancel()
        await asyncio.wait([a.run_task])
        fleet.kv.faults.status = None
        await _restart_daemon(fleet, "a")
        answers = await _press([b], per_s=20.0, for_s=2.0)
        assert {item.status for item in answers} == {503}
        assert len(a.backend.seen) == 1

    _run(check, a="one", b="two")


def test_a_stored_state_that_the_server_confirms_is_restored() -> None:
    """Calls don't have to wait for its next report, and the limit is known to them."""

    async def check(fleet: Fleet) -> None:
        fleet.nodes["a"].backend.limit = "50"
        await _restart_daemon(fleet, "a")
        node = fleet.nodes["a"]
        await wait_until(lambda: node.daemon.local.state is ServerState.READY)
        assert node.daemon._gate.named_limit_per_s == 50.0
        assert (await node.request("/safe/")).status == 200

    _run(check, a="one", b="two")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
