"""Complete daemons on loopback, from callers to backend servers."""

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from unittest.mock import patch

from damaskbay.config.objects import ConfigSet
from damaskbay.core.call import Request, Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite, reserve_address
from tests.mesh.common import HOST, WAIT_S, Fleet, Node, run_fleet, wait_until
from tests.soak.proxy import LoopbackProxy

REVOKE_S = 5.0
"""Time limit for the use of a withdrawn key, as in the fleet's settings."""

STEADY_S = 2.0
"""Time until one daemon watches the store for all, and proofs are fresh."""

WATCH_GAP_S = 0.95
"""Time for which watches may receive nothing before the store drops its history."""


def _run(check: Callable[[Fleet], Awaitable[None]], **nodes: str) -> None:
    async def run() -> None:
        async with run_fleet(**nodes) as fleet:
            await check(fleet)

    asyncio.run(run())


def _has_version(node: Node, version: int) -> bool:
    return node.daemon.configuration.version == version


def _header(answer: Response, name: str) -> str | None:
    return {key.lower(): value for key, value in answer.headers}.get(name.lower())


def test_a_request_reaches_a_server_through_two_daemons() -> None:
    """Forged headers are replaced, and the API key is not forwarded."""

    async def check(fleet: Fleet) -> None:
        forged = (("X-Tenant", "other"), ("X-Caller-Service", "other"))
        answer = await fleet.nodes["b"].request("/safe/x?y=1", headers=forged)
        assert (answer.status, answer.body) == (200, b"i-a")
        assert _header(answer, "X-Server-Stamp") == "stamp-i-a"
        request = fleet.nodes["a"].backend.seen[0]
        headers = dict(request.headers)
        assert request.target == "/safe/x?y=1"
        assert headers["X-Tenant"] == "t"
        assert headers["X-Caller-Service"] == "two"
        assert headers["X-Expect-Instance"] == "i-a"
        assert 0 < int(headers["X-Deadline-Ms"]) <= 2000
        assert "Api-Key" not in headers
        names = [name for name, _ in request.headers]
        assert len(names) == len(set(names))

    _run(check, a="one", b="two")


def test_peers_connect_to_the_advertised_address() -> None:
    """It differs from the address at which the daemon listens."""

    async def check(fleet: Fleet) -> None:
        peers = reserve_address()
        async with LoopbackProxy(peers) as proxy:
            await fleet.add("a", "one", peers=peers, advertised=proxy.address)
            await fleet.wait_until_connected()
            assert (await fleet.nodes["b"].request("/safe/")).status == 200
            assert proxy.accepted

    _run(check, b="two")


def test_unknown_routes_and_keys_have_their_statuses() -> None:
    """Statuses are 404 and 401; an open route needs no key."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        assert (await node.request("/none/")).status == 404
        assert (await node.request("/safe/", key="k9")).status == 401
        assert (await node.request("/safe/", key=None)).status == 401
        assert (await node.request("/open/", key=None)).status == 200

    _run(check, a="one", b="two")


def test_a_withdrawn_key_is_refused_at_once() -> None:
    """The next version becomes active at every daemon."""

    async def check(fleet: Fleet) -> None:
        await fleet.publish(keys=("k2",))
        for node in fleet.nodes.values():
            await wait_until(partial(_has_version, node, 2))
            assert (await node.request("/safe/")).status == 401
            assert (await node.request("/safe/", key="k2")).status == 200

    _run(check, a="one", b="two")


def test_a_deaf_watch_does_not_keep_a_withdrawn_key_alive() -> None:
    """Watches that miss a change, followed by a store outage, are no proof."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        await asyncio.sleep(STEADY_S)
        fleet.kv.faults.drop_watch_events = True
        await fleet.publish(keys=("k2",))
        withdrawn_at = monotonic_s()
        await asyncio.sleep(WATCH_GAP_S)
        fleet.kv.faults.status = 503
        served_at = withdrawn_at
        while monotonic_s() < withdrawn_at + REVOKE_S + 1.0:
            sent_at = monotonic_s()
            if (await node.request("/safe/")).status == 200:
                served_at = sent_at
            await asyncio.sleep(0.02)
        assert served_at < withdrawn_at + REVOKE_S

    _run(check, a="one", b="two")


def test_without_proof_keyed_requests_are_refused_and_open_ones_served() -> None:
    """Without a recent proof, a key may have been withdrawn unnoticed."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        fleet.kv.faults.status = 503
        node.daemon._ingress.set_proof_valid(3.5)
        async with asyncio.timeout(WAIT_S):
            while (answer := await node.request("/safe/")).status == 200:
                await asyncio.sleep(0.05)
        assert answer.status == 503
        assert _header(answer, "Retry-After") is not None
        assert (await node.request("/open/", key=None)).status == 200
        fleet.kv.faults.status = None
        async with asyncio.timeout(WAIT_S):
            while (await node.request("/safe/")).status != 200:
                await asyncio.sleep(0.05)

    _run(check, a="one", b="two")


def test_a_proof_comes_through_peers_where_the_store_turns_one_away() -> None:
    """A daemon with proofs only from peers keeps serving requests with a key."""

    async def check(fleet: Fleet) -> None:
        cut_off = fleet.nodes["b"].daemon
        store = cut_off._platform_parts.store
        store._client.address = fleet.nodes["b"].backend.address  # type: ignore[attr-defined]
        store._client.close()  # type: ignore[attr-defined]
        await fleet.publish(keys=("k1", "k2"))
        await wait_until(lambda: cut_off.configuration.version == 2)
        await asyncio.sleep(3.0)
        age_s = cut_off.configuration.proof_age_s(asyncio.get_running_loop().time())
        assert age_s is not None
        assert (await fleet.nodes["b"].request("/safe/", key="k2")).status == 200

    _run(check, a="one", b="two")


def test_an_unsafe_request_is_never_sent_twice() -> None:
    """After a lost response an unsafe call gets 502; a safe call is retried."""

    async def check(fleet: Fleet) -> None:
        lost_calls: list[Request] = []

        async def lose_response(request: Request) -> Response | None:
            if request.target.startswith("/unsafe/") or len(lost_calls) < 2:
                lost_calls.append(request)
                return Response(200, (), b"no stamp and no id")
            return None

        for name in ("a", "b"):
            fleet.nodes[name].backend.override_response = lose_response
        unsafe = await fleet.nodes["c"].request("/unsafe/", method="POST")
        assert unsafe.status == 502
        seen = [fleet.nodes[name].backend.seen for name in ("a", "b")]
        assert sum(len(requests) for requests in seen) == 1
        safe = await fleet.nodes["c"].request("/safe/")
        assert safe.status == 200

    _run(check, a="one", b="one", c="two")


def test_a_request_turned_away_by_a_server_is_refused_truly() -> None:
    """The response is 503 with a retry delay, as the call did not run."""

    async def check(fleet: Fleet) -> None:
        async def full(request: Request) -> Response | None:
            named = ("X-Request-Id", dict(request.headers)["X-Request-Id"])
            return Response(503, (named, ("X-Not-Executed", "1")))

        fleet.nodes["a"].backend.override_response = full
        answer = await fleet.nodes["b"].request("/unsafe/", method="POST")
        assert answer.status == 503
        assert _header(answer, "Retry-After") is not None

    _run(check, a="one", b="two")


def test_a_draining_server_gets_no_new_requests() -> None:
    """Its report is acknowledged, and other servers get the calls."""

    async def check(fleet: Fleet) -> None:
        assert await fleet.nodes["a"].send_heartbeat("draining") == 200
        before = len(fleet.nodes["a"].backend.seen)
        for _ in range(10):
            answer = await fleet.nodes["c"].request("/safe/")
            assert answer.body == b"i-b"
        assert len(fleet.nodes["a"].backend.seen) == before

    _run(check, a="one", b="one", c="two")


def test_the_timeout_of_the_route_is_kept() -> None:
    """A request without a response gets 504 at the timeout and is cancelled."""

    async def check(fleet: Fleet) -> None:
        await fleet.publish(Timeout="300ms")
        node = fleet.nodes["b"]
        await wait_until(lambda: node.daemon.configuration.version == 2)

        async def stuck(_request: Request) -> Response | None:
            await asyncio.sleep(30)
            return None

        fleet.nodes["a"].backend.override_response = stuck
        started_at = asyncio.get_running_loop().time()
        answer = await node.request("/safe/")
        took_s = asyncio.get_running_loop().time() - started_at
        assert answer.status == 504
        assert 0.25 <= took_s < 1.5

    _run(check, a="one", b="two")


def test_a_servers_own_response_at_the_deadline_reaches_the_caller() -> None:
    """Guards against a response of ours in place of the one of the server."""

    async def check(fleet: Fleet) -> None:
        async def timed_out(request: Request) -> Response:
            headers = dict(request.headers)
            await asyncio.sleep(int(headers["X-Deadline-Ms"]) / 1000.0)
            own = (
                ("X-Request-Id", headers["X-Request-Id"]),
                ("X-Server-Stamp", "stamp"),
            )
            return Response(504, own)

        fleet.nodes["a"].backend.override_response = timed_out
        for node in fleet.nodes.values():
            answer = await node.request("/safe/", deadline_ms=300)
            assert (answer.status, _header(answer, "X-Server-Stamp")) == (504, "stamp")

    _run(check, a="one", b="two")


def test_a_stop_cuts_no_request() -> None:
    """Requests in flight complete, readiness fails, peers still reach the server."""

    async def check(fleet: Fleet) -> None:
        async def slow(_request: Request) -> Response | None:
            await asyncio.sleep(1.0)
            return None

        fleet.nodes["a"].backend.override_response = slow
        requests = [
            asyncio.create_task(fleet.nodes[name].request("/safe/"))
            for name in ("a", "b")
        ]
        await asyncio.sleep(0.2)
        fleet.nodes["a"].daemon.stop()
        for answer in await asyncio.gather(*requests):
            assert answer.status == 200
        assert not fleet.nodes["a"].daemon.ready
        assert (await fleet.nodes["b"].request("/safe/")).status == 200
        await fleet.nodes["a"].run_task
        assert (await fleet.nodes["b"].request("/safe/")).status == 503

    _run(check, a="one", b="two")


def test_a_taken_metrics_port_stops_nobody() -> None:
    """The daemon logs that the port is in use, and serves requests without metrics."""

    async def check(fleet: Fleet) -> None:
        with socket.create_server((HOST, 0)) as taken:
            address = PeerAddress(HOST, taken.getsockname()[1])
            node = await fleet.add("c", "two", metrics=address)
            assert (await node.request("/open/", key=None)).status == 200

    _run(check, a="one", b="two")


def test_a_restarted_daemon_serves_while_the_store_is_away() -> None:
    """Its peers know its address and send the configuration set and its proof."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["b"]
        settings = node.daemon.settings
        node.run_task.cancel()
        await asyncio.sleep(0.1)
        fleet.kv.faults.status = 503
        restarted = await fleet.add_daemon(
            "b",
            node.backend,
            callers=settings.callers,
            control=settings.control,
            peers=settings.peers,
        )
        assert await restarted.send_heartbeat() == 200
        async with asyncio.timeout(WAIT_S):
            while (await restarted.request("/open/", key=None)).status != 200:
                await asyncio.sleep(0.05)

    _run(check, a="one", b="two")


# Peers ignored a daemon for good that started with an earlier time than before.
def test_a_restart_after_the_clock_was_set_back_is_noticed() -> None:
    """The daemon before has announced that it stops."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["b"]
        settings = node.daemon.settings
        node.daemon.stop()
        await node.run_task
        earlier_ns = time.time_ns() - 3_600_000_000_000
        with patch("damaskbay.mesh.app.time.time_ns", lambda: earlier_ns):
            restarted = await fleet.add_daemon(
                "b",
                node.backend,
                callers=settings.callers,
                control=settings.control,
                peers=settings.peers,
            )
        assert await restarted.send_heartbeat() == 200
        async with asyncio.timeout(WAIT_S):
            while (await fleet.nodes["a"].request("/open/", key=None)).status != 200:
                await asyncio.sleep(0.05)

    _run(check, a="one", b="two")


def test_a_small_rate_is_one_pool_for_all_daemons() -> None:
    """A small rate is pooled for the fleet, so each daemon can spend all its tokens."""

    async def check(fleet: Fleet) -> None:
        await fleet.publish(rate=4)
        nodes = list(fleet.nodes.values())
        for node in nodes:
            await wait_until(lambda node=node: _has_version(node, 2))  # type: ignore[misc]
        await asyncio.sleep(2.0)
        counts: dict[str, list[int]] = {}
        for name in ("a", "b", "c"):
            counts[name] = [
                (await fleet.nodes[name].request("/safe/")).status for _ in range(4)
            ]
        passed = sum(statuses.count(200) for statuses in counts.values())
        refused = sum(statuses.count(429) for statuses in counts.values())
        assert 3 <= passed <= 6, counts
        assert passed + refused == 12, counts
        await asyncio.sleep(1.5)
        assert (await fleet.nodes["c"].request("/safe/")).status == 200

    _run(check, a="one", b="one", c="two")


# An exception ended the watch of the store without a log line, so no version came.
def test_a_failure_as_a_version_comes_into_force_does_not_end_the_watch() -> None:
    """The next version is in force, too."""
    failures = [ValueError("unexpected")]

    def fail_once(_config: ConfigSet) -> None:
        if failures:
            raise failures.pop()

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        node.daemon.configuration.subscribe(fail_once)
        await fleet.publish()
        await wait_until(lambda: not failures)
        await fleet.publish()
        await wait_until(partial(_has_version, node, fleet.version))

    _run(check, a="one")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
