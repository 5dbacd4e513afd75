"""Requests to a server that is cold, over all daemons."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from damaskbay.adapters.http1.client import HttpProblem
from damaskbay.adapters.http1.server import HttpServer
from damaskbay.config.objects import CallerLimits, ConfigSet, HealthCheckedPool
from damaskbay.core.call import Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.cold_server import ColdServer
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.local_server import Heartbeat, LocalServer
from damaskbay.mesh.server_check import ServerCheck
from damaskbay.mesh.settings import MeshSettings
from damaskbay.ports.fleet import ServerState
from tests.common import function_suite, reserve_address
from tests.mesh.common import Backend, Fleet, Node, run_fleet, wait_until

WARMUP_PER_S = 2.7
OVERAGE = 1.5
SLACK = 8.0
BOUND = 12
"""Requests that a cold server may get in a second: WARMUP_PER_S * OVERAGE + SLACK."""

BOUNDS: dict[str, Any] = {
    "limits_cold_servers": True,
    "cold_overage": OVERAGE,
    "cold_slack": SLACK,
}

COLD_MS = 2000
WARM_POOL = HealthCheckedPool("one", 8, 8, warmup_per_s=WARMUP_PER_S)


def _run(check: Callable[[Fleet], Awaitable[None]], **nodes: str) -> None:
    """Check a fleet whose pools have a warm-up rate."""

    async def run() -> None:
        async with run_fleet() as fleet:
            fleet.service = {"ColdStart": "2s", "WarmupPerS": WARMUP_PER_S}
            await fleet.publish()
            for name, pool in nodes.items():
                await fleet.add(name, pool, **BOUNDS)
            await fleet.wait_until_connected()
            await check(fleet)

    asyncio.run(run())


async def _press(nodes: list[Node], *, per_s: float, for_s: float) -> list[Response]:
    """Send requests at a steady rate from all nodes in turn; return the responses."""
    tasks = []
    began = monotonic_s()
    for number in range(int(per_s * for_s)):
        await asyncio.sleep(max(0.0, began + number / per_s - monotonic_s()))
        node = nodes[number % len(nodes)]
        tasks.append(asyncio.create_task(node.request("/safe/")))
    return list(await asyncio.gather(*tasks))


def _most_in_a_second(times: list[float]) -> int:
    return max(
        (sum(1 for at in times if first <= at < first + 1.0) for first in times),
        default=0,
    )


# A cold server got as many requests as it has slots for, and crashed.
def test_a_server_that_reports_a_cold_phase_gets_its_warm_up_rate() -> None:
    """Other servers take the rest, and the slots return after the phase."""

    async def check(fleet: Fleet) -> None:
        cold, nodes = fleet.nodes["a"], list(fleet.nodes.values())
        await cold.send_heartbeat(cold_ms=COLD_MS)
        began = monotonic_s()
        answers = await _press(nodes, per_s=40.0, for_s=COLD_MS / 1000.0)
        assert [item.status for item in answers] == [200] * len(answers)
        times = [at - began for at in cold.backend.arrivals]
        assert _most_in_a_second(times) <= BOUND
        assert sum(1 for at in times if 0.0 <= at < 2.0) <= 2 * WARMUP_PER_S + 1
        await wait_until(lambda: cold.daemon._gate.announced_slots(monotonic_s()) == 8)
        answers = await _press([cold], per_s=40.0, for_s=0.5)
        assert [item.status for item in answers] == [200] * len(answers)

    _run(check, a="one", b="one", c="two")


# Callers of a pool of cold servers waited in its queues until their deadlines.
def test_callers_of_cold_servers_are_told_when_to_retry() -> None:
    """They get 503 soon, and the server its warm-up rate."""

    async def check(fleet: Fleet) -> None:
        cold = fleet.nodes["a"]
        await cold.send_heartbeat(cold_ms=COLD_MS)
        began = monotonic_s()
        answers = await _press([cold], per_s=40.0, for_s=1.0)
        assert monotonic_s() - began < 1.5
        assert {item.status for item in answers} == {200, 503}
        refused = [dict(item.headers) for item in answers if item.status == 503]
        assert all(float(headers["Retry-After"]) > 0.0 for headers in refused)
        assert _most_in_a_second(cold.backend.arrivals) <= BOUND

    _run(check, a="one")


def test_a_daemon_that_starts_beside_a_cold_server_keeps_to_the_limit() -> None:
    """The health check tells it, and counts as a request itself."""

    async def check(fleet: Fleet) -> None:
        old = fleet.nodes["a"]
        await old.send_heartbeat(cold_ms=COLD_MS)
        old.run_task.cancel()
        await asyncio.wait([old.run_task])
        old.backend.cold_ms = str(COLD_MS)
        listeners = ("callers", "control", "readiness", "peers", "metrics")
        addresses = {name: getattr(old.daemon.settings, name) for name in listeners}
        new = await fleet.add_daemon("a", old.backend, **addresses, **BOUNDS)
        await wait_until(lambda: new.daemon.local.state is ServerState.READY)
        assert not new.daemon._gate.cold_limit.is_assumed
        await _press([new], per_s=60.0, for_s=1.0)
        assert 1 < _most_in_a_second(old.backend.arrivals) <= BOUND

    _run(check, a="one")


# A starting daemon limited its server where no deployment names a bound.
def test_a_starting_daemon_limits_only_where_the_settings_name_a_bound() -> None:
    """Without a configuration it can't know whether the pool has a warm-up rate."""

    async def run() -> None:
        async with run_fleet() as fleet:
            fleet.kv.faults.status = 503
            for name, settings in (("a", BOUNDS), ("b", {})):
                backend = Backend("one", f"i-{name}", reserve_address())
                fleet.start_daemon(name, backend, **settings)
            limits = [
                node.daemon._gate.cold_limit.rate_per_s(monotonic_s())
                for node in fleet.nodes.values()
            ]
            assert limits[0] is not None
            assert limits[1] is None

    asyncio.run(run())


# After a crash the server was sent a request for each slot until its first report.
def test_a_server_that_refused_connections_is_taken_for_cold() -> None:
    """Until it says otherwise in its health check, which is asked then."""

    async def check(fleet: Fleet) -> None:
        backend = Backend("one", "i-a", reserve_address())
        limits = CallerLimits()
        async with HttpServer(backend.address, backend.serve, limits):
            node = await fleet.add_daemon("a", backend, **BOUNDS)
            assert await node.send_heartbeat() == 200
            assert (await node.request("/safe/")).status == 200
        limit = node.daemon._gate.cold_limit
        assert (await node.request("/safe/")).status in (502, 503)
        assert limit.is_assumed
        backend.cold_ms = "1500"
        backend.arrivals.clear()
        async with HttpServer(backend.address, backend.serve, limits):
            await wait_until(lambda: not limit.is_assumed)
            assert limit.is_cold(monotonic_s())
            await _press([node], per_s=60.0, for_s=1.0)
            assert 1 < _most_in_a_second(backend.arrivals) <= BOUND
            assert await node.send_heartbeat() == 200
            assert not limit.is_cold(monotonic_s())

    _run(check)


# A report within 0.1 s of a daemon's start left its server limited for 1.5 s.
def test_the_first_report_after_a_daemon_start_counts() -> None:
    """It can't be one from before a restart of the server."""
    settings = SimpleNamespace(pool="one", **BOUNDS)
    now, gate = 100.0, Gate(8, Random(1), 100.0)
    check = SimpleNamespace(local=LocalServer(2.0, lambda: None), gate=gate)
    server = ColdServer(
        cast("MeshSettings", settings),
        cast("ServerCheck", check),
        lambda: None,
        lambda: now,
    )
    assert gate.cold_limit.is_cold(now)
    heartbeat = Heartbeat("i-1", ServerState.READY, 8, 1, 1000)
    server.record_report(heartbeat, False, now)
    assert not gate.cold_limit.is_cold(now)
    server.config_changed(ConfigSet(1, "", pools_by_name={"one": WARM_POOL}))
    server.record_failure(HttpProblem.NOT_SENT)
    server.record_report(heartbeat, False, now)
    assert gate.cold_limit.is_cold(now)
    server.record_report(heartbeat, True, now)
    assert not gate.cold_limit.is_cold(now)


def test_an_unreadable_time_in_the_health_check_changes_nothing() -> None:
    """The assumption holds until the next report."""

    async def check(fleet: Fleet) -> None:
        node = fleet.nodes["a"]
        node.backend.cold_ms = "soon"
        node.daemon._gate.cold_limit.assume(monotonic_s())
        with unittest.TestCase().assertLogs("damaskbay.mesh.server_check") as logs:
            await node.daemon._server_check.ask_cold()
        assert any("milliseconds" in line for line in logs.output)
        assert node.daemon._gate.cold_limit.is_assumed

    _run(check, a="one")


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
