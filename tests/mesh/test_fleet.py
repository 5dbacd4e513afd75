"""Whole daemons on loopback: what callers and backend servers see."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

from damaskbay.core.call import Answer, Request
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite
from tests.mesh.common import HOST, WAIT_S, Fleet, Node, fleet, until

REVOKE_S = 5.0
"""Bound on the use of a withdrawn key, as the fleet's settings have it."""

STEADY_S = 2.0
"""Time until one daemon watches for the others and their proofs are fresh."""

DEAF_S = 0.95
"""How long watches may hear nothing before the store drops its history."""


def _run(check: Callable[[Fleet], Awaitable[None]], **nodes: str) -> None:
    async def run() -> None:
        async with fleet(**nodes) as made:
            await check(made)

    asyncio.run(run())


def _has_version(node: Node, version: int) -> bool:
    return node.daemon.configuration.version == version


def _header(answer: Answer, name: str) -> str | None:
    return {key.lower(): value for key, value in answer.headers}.get(name.lower())


def test_a_request_reaches_a_server_through_two_daemons() -> None:
    """Headers are set by us, whatever the caller sent, and the key stays here."""

    async def check(made: Fleet) -> None:
        forged = (("X-Tenant", "other"), ("X-Caller-Service", "other"))
        answer = await made.nodes["b"].request("/safe/x?y=1", headers=forged)
        assert (answer.status, answer.body) == (200, b"i-a")
        assert _header(answer, "X-Server-Stamp") == "stamp-i-a"
        request = made.nodes["a"].backend.seen[0]
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


def test_unknown_routes_and_keys_have_their_statuses() -> None:
    """404 and 401, and an open route asks for no key."""

    async def check(made: Fleet) -> None:
        node = made.nodes["a"]
        assert (await node.request("/none/")).status == 404
        assert (await node.request("/safe/", key="k9")).status == 401
        assert (await node.request("/safe/", key=None)).status == 401
        assert (await node.request("/open/", key=None)).status == 200

    _run(check, a="one", b="two")


def test_a_withdrawn_key_is_refused_at_once() -> None:
    """The next version is in force within a moment, everywhere."""

    async def check(made: Fleet) -> None:
        await made.publish(keys=("k2",))
        for node in made.nodes.values():
            await until(partial(_has_version, node, 2))
            assert (await node.request("/safe/")).status == 401
            assert (await node.request("/safe/", key="k2")).status == 200

    _run(check, a="one", b="two")


def test_a_deaf_watch_does_not_keep_a_withdrawn_key_alive() -> None:
    """Watches that hear nothing prove nothing; then the store can't be reached."""

    async def check(made: Fleet) -> None:
        node = made.nodes["a"]
        await asyncio.sleep(STEADY_S)
        made.kv.faults.deaf = True
        await made.publish(keys=("k2",))
        withdrawn_at = monotonic_s()
        await asyncio.sleep(DEAF_S)
        made.kv.faults.status = 503
        served_at = withdrawn_at
        while monotonic_s() < withdrawn_at + REVOKE_S + 1.0:
            sent_at = monotonic_s()
            if (await node.request("/safe/")).status == 200:
                served_at = sent_at
            await asyncio.sleep(0.02)
        assert served_at < withdrawn_at + REVOKE_S

    _run(check, a="one", b="two")


def test_without_proof_keyed_requests_are_refused_and_open_ones_served() -> None:
    """Once no proof is young enough, a key might have been withdrawn unseen."""

    async def check(made: Fleet) -> None:
        node = made.nodes["a"]
        made.kv.faults.status = 503
        node.daemon._ingress.set_proof_valid(3.5)
        async with asyncio.timeout(WAIT_S):
            while (answer := await node.request("/safe/")).status == 200:
                await asyncio.sleep(0.05)
        assert answer.status == 503
        assert _header(answer, "Retry-After") is not None
        assert (await node.request("/open/", key=None)).status == 200
        made.kv.faults.status = None
        async with asyncio.timeout(WAIT_S):
            while (await node.request("/safe/")).status != 200:
                await asyncio.sleep(0.05)

    _run(check, a="one", b="two")


def test_a_proof_comes_through_peers_where_the_store_turns_one_away() -> None:
    """A daemon that only its peers can vouch for goes on serving keyed requests."""

    async def check(made: Fleet) -> None:
        lonely = made.nodes["b"].daemon
        store = lonely._surroundings.store
        store._client.address = made.nodes["b"].backend.address  # type: ignore[attr-defined]
        store._client.close()  # type: ignore[attr-defined]
        await made.publish(keys=("k1", "k2"))
        await until(lambda: lonely.configuration.version == 2)
        await asyncio.sleep(3.0)
        age_s = lonely.configuration.proof_age_s(asyncio.get_running_loop().time())
        assert age_s is not None
        assert (await made.nodes["b"].request("/safe/", key="k2")).status == 200

    _run(check, a="one", b="two")


def test_an_unsafe_request_is_never_sent_twice() -> None:
    """A lost answer is 502 for an unsafe request, and tried again for a safe one."""

    async def check(made: Fleet) -> None:
        lost: list[Request] = []

        async def lose(request: Request) -> Answer | None:
            if request.target.startswith("/unsafe/") or len(lost) < 2:
                lost.append(request)
                return Answer(200, (), b"no stamp and no id")
            return None

        for name in ("a", "b"):
            made.nodes[name].backend.behave = lose
        unsafe = await made.nodes["c"].request("/unsafe/", method="POST")
        assert unsafe.status == 502
        seen = [made.nodes[name].backend.seen for name in ("a", "b")]
        assert sum(len(requests) for requests in seen) == 1
        safe = await made.nodes["c"].request("/safe/")
        assert safe.status == 200

    _run(check, a="one", b="one", c="two")


def test_a_request_turned_away_by_a_server_is_refused_truly() -> None:
    """503 with a time to come back, and the request ran nowhere."""

    async def check(made: Fleet) -> None:
        async def full(request: Request) -> Answer | None:
            named = ("X-Request-Id", dict(request.headers)["X-Request-Id"])
            return Answer(503, (named, ("X-Not-Executed", "1")))

        made.nodes["a"].backend.behave = full
        answer = await made.nodes["b"].request("/unsafe/", method="POST")
        assert answer.status == 503
        assert _header(answer, "Retry-After") is not None

    _run(check, a="one", b="two")


def test_a_draining_server_gets_no_new_requests() -> None:
    """The report is acknowledged, and others take the work."""

    async def check(made: Fleet) -> None:
        assert await made.nodes["a"].beat("draining") == 200
        before = len(made.nodes["a"].backend.seen)
        for _ in range(10):
            answer = await made.nodes["c"].request("/safe/")
            assert answer.body == b"i-b"
        assert len(made.nodes["a"].backend.seen) == before

    _run(check, a="one", b="one", c="two")


def test_the_timeout_of_the_route_is_kept() -> None:
    """A request without an answer gets 504 at the timeout, and its send is cut."""

    async def check(made: Fleet) -> None:
        await made.publish(Timeout="300ms")
        node = made.nodes["b"]
        await until(lambda: node.daemon.configuration.version == 2)

        async def stuck(_request: Request) -> Answer | None:
            await asyncio.sleep(30)
            return None

        made.nodes["a"].backend.behave = stuck
        began = asyncio.get_running_loop().time()
        answer = await node.request("/safe/")
        took_s = asyncio.get_running_loop().time() - began
        assert answer.status == 504
        assert 0.25 <= took_s < 1.5

    _run(check, a="one", b="two")


def test_a_stop_cuts_no_request() -> None:
    """What was read is answered, readiness says no, others still find the server."""

    async def check(made: Fleet) -> None:
        async def slow(_request: Request) -> Answer | None:
            await asyncio.sleep(1.0)
            return None

        made.nodes["a"].backend.behave = slow
        asked = [
            asyncio.create_task(made.nodes[name].request("/safe/"))
            for name in ("a", "b")
        ]
        await asyncio.sleep(0.2)
        made.nodes["a"].daemon.stop()
        for answer in await asyncio.gather(*asked):
            assert answer.status == 200
        assert not made.nodes["a"].daemon.ready
        assert (await made.nodes["b"].request("/safe/")).status == 200
        await made.nodes["a"].run
        assert (await made.nodes["b"].request("/safe/")).status == 503

    _run(check, a="one", b="two")


def test_a_taken_metrics_port_stops_nobody() -> None:
    """Another program may have it: that is logged, and requests are served."""

    async def check(made: Fleet) -> None:
        with socket.create_server((HOST, 0)) as taken:
            address = PeerAddress(HOST, taken.getsockname()[1])
            node = await made.add("c", "two", metrics=address)
            assert (await node.request("/open/", key=None)).status == 200

    _run(check, a="one", b="two")


def test_a_restarted_daemon_serves_while_the_store_is_away() -> None:
    """Its peers know its address, and bring it the set and its proof."""

    async def check(made: Fleet) -> None:
        node = made.nodes["b"]
        settings = node.daemon.settings
        node.run.cancel()
        await asyncio.sleep(0.1)
        made.kv.faults.status = 503
        again = await made.add_daemon(
            "b",
            node.backend,
            callers=settings.callers,
            control=settings.control,
            peers=settings.peers,
        )
        assert await again.beat() == 200
        async with asyncio.timeout(WAIT_S):
            while (await again.request("/open/", key=None)).status != 200:
                await asyncio.sleep(0.05)

    _run(check, a="one", b="two")


def test_a_small_rate_is_one_pool_for_all_daemons() -> None:
    """Far below a token a second and daemon, all of it is found from anywhere."""

    async def check(made: Fleet) -> None:
        await made.publish(rate=4)
        nodes = list(made.nodes.values())
        for node in nodes:
            await until(lambda node=node: _has_version(node, 2))  # type: ignore[misc]
        await asyncio.sleep(2.0)
        counts: dict[str, list[int]] = {}
        for name in ("a", "b", "c"):
            counts[name] = [
                (await made.nodes[name].request("/safe/")).status for _ in range(4)
            ]
        passed = sum(statuses.count(200) for statuses in counts.values())
        refused = sum(statuses.count(429) for statuses in counts.values())
        assert 3 <= passed <= 6, counts
        assert passed + refused == 12, counts
        await asyncio.sleep(1.5)
        assert (await made.nodes["c"].request("/safe/")).status == 200

    _run(check, a="one", b="one", c="two")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
