"""Daemons whose processor is short: what they begin, refuse and read."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random
from unittest.mock import Mock, patch

from damaskbay.core.call import CallContext, Request, Response
from damaskbay.core.processor_guard import HEADROOM, LATE_S, ProcessorGuard
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.loop_monitor import CHECK_INTERVAL_S
from damaskbay.mesh.ingress import timeout_of
from damaskbay.mesh.processor_gate import ProcessorGate
from damaskbay.mesh.running import RunningCalls
from tests.common import function_suite
from tests.mesh.common import Fleet, Node, run_fleet, wait_until

SAMPLES = 12


def _context(left_s: float = 60.0) -> CallContext:
    return CallContext("", "w", 0, monotonic_s() + left_s, "r", "p", True)


def _make_late(gate: ProcessorGate) -> None:
    """Record that the loop has been late for a while."""
    now = monotonic_s()
    for _ in range(SAMPLES):
        now += CHECK_INTERVAL_S
        gate.record_lateness(2.0 * LATE_S, now)


def _run(check: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            await check(fleet)

    asyncio.run(run())


class _Held:
    """Holds the requests of a backend server back until `released` is set."""

    def __init__(self, node: Node) -> None:
        self.released = asyncio.Event()
        node.backend.override_response = self._wait

    async def _wait(self, _request: Request) -> Response | None:
        await self.released.wait()
        return None


async def _fill(node: Node, gate: ProcessorGate) -> list["asyncio.Task[Response]"]:
    """Send requests until the daemon refuses at once; return them."""
    requests = []
    while not gate.guard.is_full(monotonic_s()):
        gate.guard.is_limiting = True
        request = node.request("/safe/x", deadline_ms=60_000)
        requests.append(asyncio.create_task(request))
        await asyncio.sleep(0.005)
    return requests


# Each call that found no memory as it began to wait took a place from later ones.
def test_a_call_that_finds_no_memory_to_wait_gives_up_its_place() -> None:
    """Its error is passed on, and the calls behind it may begin."""

    async def run() -> None:
        gate = ProcessorGate(Random(1), monotonic_s)
        while gate.guard.start_at_once(monotonic_s()):
            pass
        with patch.object(ProcessorGuard, "_decide", side_effect=MemoryError):
            try:
                await gate.wait(_context(), 1.0)
            except MemoryError:
                pass
            else:
                raise AssertionError("the call waits")
        for _ in range(gate.guard.in_progress):
            gate.leave()
        assert gate.guard.in_progress == 0

    asyncio.run(run())


# Digits of other scripts and long numbers ended requests with 500, or as malformed.
def test_a_time_limit_that_cannot_be_read_is_that_of_the_route() -> None:
    """A longer one is, too."""
    route = Mock(deadline_s=2.0)
    for requested_ms in ("\xb2", "", "-1", "9" * 400, "9" * 5000):
        assert timeout_of(route, requested_ms) == 2.0
    assert timeout_of(route, "500") == 0.5


def test_a_caller_that_leaves_gives_up_its_place() -> None:
    """It may leave while it waits, and in the moment in which it may begin."""

    async def run() -> None:
        gate = ProcessorGate(Random(1), monotonic_s)
        while gate.guard.start_at_once(monotonic_s()):
            pass
        waiting = [asyncio.create_task(gate.wait(_context(), 1.0)) for _ in range(3)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        await asyncio.sleep(0)
        assert gate.guard.waiting == 2
        waiting[1].cancel()
        gate.leave()
        await asyncio.sleep(0)
        gate.leave()
        assert await waiting[2] is None
        for _ in range(gate.guard.in_progress):
            gate.leave()
        assert gate.guard.in_progress == 0
        assert gate.guard.waiting == 0

    asyncio.run(run())


# Requests beyond what the processor carries were begun, and ended without an answer.
def test_a_full_daemon_refuses_root_calls_at_once() -> None:
    """They have not run, and their callers are told when to come back."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        held, gate = _Held(node), node.daemon._processor
        requests = await _fill(node, gate)
        refused = await node.request("/safe/x", request_id="refused")
        assert refused.status == 503
        assert float(dict(refused.headers)["Retry-After"]) > 0.0
        held.released.set()
        responses = await asyncio.gather(*requests)
        assert {response.status for response in responses} <= {200, 503}
        assert "refused" not in node.backend.ids()
        await wait_until(lambda: gate.guard.in_progress == 0)

    _run(check)


def test_a_full_daemon_serves_nested_calls() -> None:
    """Their callers were begun, and what was done for them would be lost."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        held, gate = _Held(node), node.daemon._processor
        root = asyncio.create_task(node.request("/safe/x", request_id="root"))
        await wait_until(lambda: "root" in node.backend.ids())
        requests = await _fill(node, gate)
        nested = await node.request("/open/y", key=None, request_id="root.1")
        assert nested.status == 200
        held.released.set()
        assert (await root).status == 200
        await asyncio.gather(*requests)

    _run(check)


# Nested calls counted as root calls, and were refused, after a repeat had ended.
def test_a_repeat_that_ends_leaves_the_nested_calls_of_the_first() -> None:
    """A caller that repeats a request sends the same id while the first still runs."""
    running = RunningCalls()
    context = replace(_context(), request_id="root")
    first, repeat = running.add(context), running.add(context)
    assert running.caller_of("root.1") is repeat
    running.remove(repeat)
    assert running.caller_of("root.1") is first
    running.remove(first)
    running.remove(first)
    assert running.caller_of("root.1") is None


def test_late_loops_are_told_to_peers() -> None:
    """Peers then prefer a daemon that has processor to spare."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        before = node.daemon._make_status().load_permille
        _make_late(node.daemon._processor)
        result = await node.request("/safe/x")
        assert result.status == 200
        gate = node.daemon._processor
        assert gate.guard.excess_load > 0.0
        await asyncio.sleep(0.1)
        _make_late(gate)
        assert node.daemon._make_status().load_permille > before

    _run(check)


def test_a_loop_on_time_begins_all() -> None:
    """A burst beyond the headroom waits for one sample."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        await node.send_heartbeat(slots=100)
        sent = [node.request("/safe/x") for _ in range(4 * int(HEADROOM))]
        responses = await asyncio.gather(*sent)
        assert [response.status for response in responses] == [200] * len(sent)

    _run(check)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
