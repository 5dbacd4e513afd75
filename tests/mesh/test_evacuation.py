"""Evacuation of a failure domain, over all daemons."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.core.call import CallContext, Request, Response
from damaskbay.core.evacuation import EvacuationState
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.clock import monotonic_s
from tests.common import function_suite
from tests.mesh.common import Fleet, Node, run_fleet, wait_until

DOMAINS = frozenset({"east", "west"})
KEY = "op/evacuate/"
SETTLED_S = 1.5
"""More than a watch of the store, in which nothing may change, seconds."""


def _run(check: Callable[[Fleet], Awaitable[None]], **domains: str) -> None:
    """Check a fleet of daemons given as name=failure domain, with servers of a pool."""

    async def run() -> None:
        async with run_fleet() as fleet:
            for name, domain in domains.items():
                await _add(fleet, name, domain)
            await fleet.wait_until_connected()
            await check(fleet)

    asyncio.run(run())


async def _add(fleet: Fleet, name: str, domain: str) -> Node:
    return await fleet.add(name, "one", failure_domain=domain, failure_domains=DOMAINS)


async def _evacuate(fleet: Fleet, domain: str) -> None:
    await fleet.kv.put(KEY + domain, b"{}")
    await _wait_for(fleet, {domain})


async def _end_evacuation(fleet: Fleet, domain: str) -> None:
    async with fleet.kv.changed:
        fleet.kv._remove(KEY + domain)
        fleet.kv.changed.notify_all()
    await _wait_for(fleet, set())


async def _wait_for(fleet: Fleet, domains: set[str]) -> None:
    """Wait until all daemons know these evacuated domains."""
    for node in fleet.nodes.values():
        evacuation = node.daemon._control_plane.evacuation
        await wait_until(lambda known=evacuation: known.domains == domains)  # type: ignore[misc]


async def _request_from_all(fleet: Fleet, count: int) -> list[Response]:
    """Send requests, each to the next daemon; few at once, as few servers take them."""
    nodes, answers = list(fleet.nodes.values()), []
    for first in range(0, count, len(nodes)):
        wave = nodes[: count - first]
        answers += await asyncio.gather(*(node.request("/safe/") for node in wave))
    return answers


def _seen(fleet: Fleet) -> dict[str, int]:
    return {name: len(node.backend.seen) for name, node in fleet.nodes.items()}


# The key had no effect: requests reached the servers of the domain until they stopped.
def test_servers_of_an_evacuated_domain_get_no_requests() -> None:
    """From none of the daemons, until the evacuation ends."""

    async def check(fleet: Fleet) -> None:
        await _evacuate(fleet, "east")
        before = _seen(fleet)
        answers = await _request_from_all(fleet, 40)
        assert [item.status for item in answers] == [200] * 40
        after = _seen(fleet)
        assert after["a"] == before["a"]
        assert after["b"] == before["b"]
        await _end_evacuation(fleet, "east")
        for name in ("a", "b"):
            node = fleet.nodes[name]
            await wait_until(
                lambda node=node: len(node.daemon._directory.servers("one")) == 4  # type: ignore[misc]
            )
        await _request_from_all(fleet, 40)
        assert _seen(fleet)["a"] > after["a"]

    _run(check, a="east", b="east", c="west", d="west")


# A call that waited for a slot was sent to the evacuated server when one was free.
def test_waiting_calls_of_an_evacuated_server_are_refused_at_once() -> None:
    """As not run, so that their senders try other servers; what runs is completed."""

    async def check(fleet: Fleet) -> None:
        node, finish = fleet.nodes["a"], asyncio.Event()

        async def respond(_request: Request) -> Response | None:
            await finish.wait()
            return None

        node.backend.override_response = respond
        assert await node.send_heartbeat(slots=1) == 200
        context = CallContext("", "t", 1, monotonic_s() + 5.0, "r", "one", True)
        request = Request("GET", "a.example", "/safe/", (), b"")
        calls = [
            asyncio.create_task(node.daemon._target.run(context, request))
            for _ in range(3)
        ]
        await wait_until(lambda: node.daemon._gate.waiting == 2)
        await _evacuate(fleet, "east")
        results = [await call for call in calls[1:]]
        for result in results:
            refusal = result.result
            assert isinstance(refusal, Refusal)
            assert refusal.not_run
            assert refusal.reason is Reason.BACKEND_SERVER_DRAINING
            assert result.attempts == 0
        finish.set()
        assert (await calls[0]).attempts == 1
        assert len(node.backend.seen) == 1

    _run(check, a="east", b="west")


def test_callers_of_an_evacuated_pool_are_told_to_retry() -> None:
    """There is no server left that may take the call."""

    async def check(fleet: Fleet) -> None:
        await _evacuate(fleet, "east")
        answer = await fleet.nodes["a"].request("/safe/")
        assert answer.status == 503
        assert float(dict(answer.headers)["Retry-After"]) > 0.0

    _run(check, a="east", b="east")


def test_an_evacuation_outlasts_the_store() -> None:
    """The last known state holds; a daemon that starts later takes it from its read."""

    async def check(fleet: Fleet) -> None:
        await _evacuate(fleet, "east")
        late = await _add(fleet, "late", "east")
        fleet.kv.faults.status = 503
        await asyncio.sleep(SETTLED_S)
        await _wait_for(fleet, {"east"})
        before = _seen(fleet)
        answers = await _request_from_all(fleet, 12)
        assert [item.status for item in answers] == [200] * 12
        assert _seen(fleet)["a"] == before["a"]
        assert late.backend.seen == []

    _run(check, a="east", b="west")


# A daemon that missed the update would send to the domain until the next evacuation.
def test_a_daemon_that_missed_the_news_catches_up() -> None:
    """Its peers exchange the state with it, whoever of the two knows the newer one."""

    async def check(fleet: Fleet) -> None:
        known = fleet.nodes["a"].daemon._control_plane.evacuation._known
        newer = EvacuationState(1_000_000, frozenset({"east"}))
        assert known.replace(newer, monotonic_s())
        await _wait_for(fleet, {"east"})

    _run(check, a="west", b="west", c="east")


def test_keys_that_cannot_be_read_change_nothing() -> None:
    """One log line each names the key."""

    async def check(fleet: Fleet) -> None:
        with unittest.TestCase().assertLogs("damaskbay.mesh.evacuation") as logs:
            await fleet.kv.put(KEY + "nowhere", b"{}")
            await fleet.kv.put(KEY + "east", b"soon")
            await asyncio.sleep(SETTLED_S)
        keys = [getattr(record, "key", "") for record in logs.records]
        # Both daemons are relays and read the store.
        assert sorted(keys) == [KEY + "east"] * 2 + [KEY + "nowhere"] * 2
        await _wait_for(fleet, set())
        assert (await fleet.nodes["a"].request("/safe/")).status == 200

    _run(check, a="east", b="west")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
