"""Which calls a leaving daemon takes late in its stop, and which it sends again."""

import asyncio
import unittest
from dataclasses import replace

from damaskbay.core.call import Request, Response
from damaskbay.helpers.clock import monotonic_s
from tests.common import function_suite
from tests.mesh.common import Fleet, Node, wait_until
from tests.mesh.test_leaving import Callers, _answer_after, _run

GRACE_S = 6.0


def _use_grace_time(node: Node) -> None:
    node.daemon.settings = replace(node.daemon.settings, grace_s=GRACE_S)


async def _send_one_by_one(callers: Callers, count: int) -> None:
    """Send unsafe requests, each after the response to the one before."""
    for number in range(1, count + 1):
        callers.send("/unsafe/", "POST")
        await wait_until(lambda number=number: len(callers.outcomes_by_id) == number)  # type: ignore[misc]


# Guards against LOST: a late request is taken by an estimate that is wrong.
def test_no_late_request_is_cut_if_servers_become_slower_during_a_stop() -> None:
    """Servers become slower once callers know of the stop: no estimate foresees it."""

    async def check(fleet: Fleet) -> None:
        server, leaving = fleet.nodes["a"], fleet.nodes["b"]
        _use_grace_time(leaving)
        await server.send_heartbeat(slots=100)
        callers = Callers(leaving)
        await _send_one_by_one(callers, 3)
        _answer_after(server, 8.0)
        callers.send("/safe/")
        await asyncio.sleep(0.2)
        _answer_after(server, 0.02)
        leaving.daemon.stop()
        plan = leaving.daemon._lifetime.plan
        assert plan is not None
        late = []
        while monotonic_s() < plan.interrupts_at:
            if monotonic_s() > plan.announced_at + 0.3:
                _answer_after(server, 4.0)
            request_id = callers.send("/unsafe/", "POST")
            if monotonic_s() > plan.announced_at:
                late.append(request_id)
            await asyncio.sleep(0.05)
        await leaving.run_task
        await asyncio.sleep(0.1)
        ran = set(server.backend.ids()).intersection(late)
        cut = {id_: callers.status(id_) for id_ in ran if callers.status(id_) != 200}
        assert not cut, cut
        assert {callers.status(id_) for id_ in late} <= {200, 503, None}

    _run(check, a="one", b="two")


# Guards against needless refusals: callers of this daemon have no other one.
def test_a_late_request_whose_time_limit_fits_is_served() -> None:
    """It can't outlast the daemon, which stays for an earlier request."""

    async def check(fleet: Fleet) -> None:
        server, leaving = fleet.nodes["a"], fleet.nodes["b"]
        _use_grace_time(leaving)
        await server.send_heartbeat(slots=100)
        callers = Callers(leaving)
        _answer_after(server, 3.5)
        earlier = callers.send("/safe/")
        await wait_until(lambda: server.backend.ids() == [earlier])
        _answer_after(server, 0.02)
        leaving.daemon.stop()
        plan = leaving.daemon._lifetime.plan
        assert plan is not None
        await asyncio.sleep(plan.announced_at + 0.3 - monotonic_s())
        short = callers.send("/unsafe/", "POST", deadline_ms=1000)
        long = callers.send("/unsafe/", "POST", deadline_ms=9000)
        await leaving.run_task
        await callers.check_all_answered({long})
        assert callers.status(earlier) == callers.status(short) == 200

    _run(check, a="one", b="two")


# Guards against 504 for a request that could truly be refused as not run.
def test_a_refused_call_is_not_sent_again_if_it_would_outlast_the_daemon() -> None:
    """A server refuses it late; another one would not end it in time."""

    async def check(fleet: Fleet) -> None:
        leaving = fleet.nodes["b"]
        _use_grace_time(leaving)
        callers = Callers(leaving)
        for name in ("a", "c"):
            await fleet.nodes[name].send_heartbeat(slots=100)
            # Before its first response a server gets few calls at once.
            assert (await fleet.nodes[name].request("/safe/")).status == 200
            _answer_after(fleet.nodes[name], 1.0)
        for _ in range(12):
            callers.send("/unsafe/", "POST")
        await wait_until(lambda: len(callers.outcomes_by_id) == 12)
        refused: list[str] = []
        ran: list[str] = []

        async def respond(request: Request) -> Response | None:
            request_id = dict(request.headers)["X-Request-Id"]
            if not refused:
                refused.append(request_id)
                await asyncio.sleep(2.6)
                return Response(421, (("X-Request-Id", request_id),))
            ran.append(request_id)
            await asyncio.sleep(1.0)
            return None

        for name in ("a", "c"):
            fleet.nodes[name].backend.override_response = respond
        leaving.daemon.stop()
        await asyncio.sleep(1.9)
        call = callers.send("/unsafe/", "POST")
        await leaving.run_task
        await asyncio.sleep(0.1)
        assert refused == [call]
        assert callers.status(call) == 503, (callers.status(call), ran)
        assert not ran

    _run(check, a="one", b="two", c="one")


# Guards against 502 for an unsafe call of a peer that still has time.
def test_a_leaving_daemon_notices_that_its_own_server_has_become_slower() -> None:
    """Peers' calls go elsewhere once the age of running ones exceeds the time left."""

    async def check(fleet: Fleet) -> None:
        leaving, sender = fleet.nodes["a"], fleet.nodes["b"]
        _use_grace_time(leaving)
        callers = Callers(sender)
        await leaving.send_heartbeat(slots=100)
        await _send_one_by_one(callers, 3)
        _answer_after(leaving, 4.5)
        first = {callers.send("/unsafe/", "POST") for _ in range(3)}
        await wait_until(lambda: first <= set(leaving.backend.ids()))
        await asyncio.sleep(2.0)
        await fleet.add("c", "one")
        await fleet.wait_until_connected()
        leaving.daemon.stop()
        await asyncio.sleep(1.8)
        # The first calls have run for 3.8 s, and 3.2 s are left here.
        later = [callers.send("/unsafe/", "POST") for _ in range(8)]
        await leaving.run_task
        await asyncio.sleep(0.5)
        statuses = [callers.status(request_id) for request_id in later]
        assert statuses == [200] * 8, statuses

    _run(check, a="one", b="two")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
