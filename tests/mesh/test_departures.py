"""A server that has left stays without calls, whatever its daemon missed."""

import asyncio
import base64
import itertools
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from damaskbay.core.call import Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh import server_confirmation
from damaskbay.mesh.local_server import Heartbeat, LocalServer
from damaskbay.mesh.records import decode_record
from damaskbay.platform.const import CONFIG_PREFIX, MEMBER_PREFIX
from damaskbay.ports.fleet import ServerState
from tests.common import function_suite
from tests.mesh.common import Fleet, Node, run_fleet, wait_until

READY = Heartbeat("i-a", ServerState.READY, 8, 5, 1_000)
LEFT = (ServerState.DRAINING, ServerState.GONE)

WATCHED_S = 1.5
"""Time in which a server must not become ready, seconds."""

READY_WITHIN_S = 2.0
"""Time from its report in which a server that is well must be ready, seconds."""


async def _leave(node: Node, how: str) -> None:
    """Let a server say that it leaves; its health check says the same from then on."""
    node.backend.healthy = False
    if how == "draining":
        assert await node.send_heartbeat("draining") == 200
    else:
        assert await node.send_deregistration() == 200


async def _assert_not_ready(node: Node, for_s: float = WATCHED_S) -> None:
    async with asyncio.timeout(for_s + 5.0):
        for _ in range(round(for_s / 0.05)):
            assert node.daemon.local.state is not ServerState.READY
            await asyncio.sleep(0.05)


async def _assert_ready_soon(node: Node) -> None:
    async with asyncio.timeout(READY_WITHIN_S):
        while node.daemon.local.state is not ServerState.READY:
            await asyncio.sleep(0.02)


def _stored_state(fleet: Fleet, name: str) -> ServerState | None:
    item = fleet.kv.items.get(MEMBER_PREFIX + name)
    record = decode_record(base64.b64decode(item["Value"])) if item else None
    return record.state if record is not None else None


def _max_report_delay(delay_s: float) -> Any:
    return mock.patch.object(server_confirmation, "MAX_REPORT_DELAY_S", delay_s)


def _unread(fleet: Fleet, prefix: str) -> Any:
    """Let reads of the items with a prefix fail."""
    read = fleet.kv._read_page

    def read_page(arguments: dict[str, str]) -> Response:
        if arguments["Prefix"] == prefix:
            return Response(503)
        return read(arguments)

    return mock.patch.object(fleet.kv, "_read_page", read_page)


async def _remove_health_check(fleet: Fleet) -> None:
    fleet.service = {"HealthCheckPath": ""}
    await fleet.publish()
    for node in fleet.nodes.values():
        configuration = node.daemon.configuration
        await wait_until(lambda c=configuration: c.version == fleet.version)  # type: ignore[misc]


# Guards against requests to a server that has left: the record was read after a report.
def test_a_record_that_is_read_late_goes_before_a_report() -> None:
    """The leaving of a start is final, in each order of record and report."""
    late = replace(READY, sequence=7)
    for state, heard_first in itertools.product(LEFT, (True, False)):
        local = LocalServer(2.0, lambda: None)
        if heard_first:
            assert local.record_heartbeat(READY, 1.0)
        local.restore(replace(READY, state=state, sequence=0), 2.0)
        local.record_heartbeat(late, 3.0)
        assert local.state is ServerState.DRAINING
        # The time for admitted calls ended before, as the report did.
        assert not heard_first or not local.may_send(3.0)
        local.record_heartbeat(replace(READY, sequence=1, started_ms=2_000), 4.0)
        assert (local.state, local.may_send(9.0)) == (ServerState.READY, True)


# Guards against a late report of an earlier start than that of the record.
def test_a_later_start_that_was_leaving_replaces_an_earlier_one() -> None:
    """The later start is the one at the address."""
    local = LocalServer(2.0, lambda: None)
    local.record_heartbeat(READY, 1.0)
    later = replace(READY, server="i-b", started_ms=2_000, state=ServerState.GONE)
    local.restore(later, 2.0)
    assert (local.server, local.state) == ("i-b", ServerState.DRAINING)
    local.restore(replace(READY, state=ServerState.DRAINING), 3.0)
    assert local.server == "i-b"


# Guards against review/6: a late report after a kill, while the record can't be read.
def test_a_late_report_revives_no_server_that_has_left() -> None:
    """Neither in the outage nor once the record is read, with a health check or not."""

    async def run(how: str, *, has_check: bool) -> None:
        async with run_fleet(a="one", b="two") as fleet:
            if not has_check:
                await _remove_health_check(fleet)
            node = fleet.nodes["b"]
            await _leave(node, how)
            fleet.kv.faults.status = 503
            await fleet.kill(node)
            node = await fleet.start_again(node)
            assert await node.send_heartbeat() == 200
            await wait_until(lambda: node.daemon.ready)
            await _assert_not_ready(node)
            fleet.kv.faults.status = None
            await wait_until(lambda: node.daemon._control_plane.members.has_read)
            await node.send_heartbeat()
            await _assert_not_ready(node)
            response = await fleet.nodes["a"].request("/open/", key=None)
            assert (response.status, node.backend.seen) == (503, [])

    for how, has_check in (("gone", True), ("draining", True), ("gone", False)):
        asyncio.run(run(how, has_check=has_check))


# Guards against a late report that counts as fresh: peers know that the server left.
def test_a_daemon_asks_its_peers_while_the_record_cannot_be_read() -> None:
    """Nothing was stored, and the server has no health check."""

    async def run(how: str) -> None:
        async with run_fleet(a="one", b="two") as fleet:
            await _remove_health_check(fleet)
            node = fleet.nodes["b"]
            fleet.kv.faults.status = 503
            await _leave(node, how)
            await fleet.kill(node)
            with _max_report_delay(1.5):
                node = await fleet.start_again(node)
            await node.send_heartbeat()
            await wait_until(lambda: node.daemon.local.restored_draining is not None)
            await asyncio.sleep(1.5)
            await node.send_heartbeat()
            assert node.daemon.local.state is ServerState.DRAINING
            fleet.kv.faults.status = None
            await wait_until(lambda: node.daemon._control_plane.members.has_read)
            await _assert_not_ready(node)

    for how in ("gone", "draining"):
        asyncio.run(run(how))


# Guards against review/7: a stored state that counts before the health check is known.
def test_a_stored_state_waits_for_the_configuration() -> None:
    """The server left in an outage, and all daemons were killed."""

    async def run(how: str, *, has_check: bool) -> None:
        async with run_fleet(a="one", b="two") as fleet:
            if not has_check:
                await _remove_health_check(fleet)
            node = fleet.nodes["b"]
            fleet.kv.faults.status = 503
            await _leave(node, how)
            nodes = tuple(fleet.nodes.values())
            for killed in nodes:
                await fleet.kill(killed)
            with _unread(fleet, CONFIG_PREFIX):
                fleet.kv.faults.status = None
                started = [await fleet.start_again(killed) for killed in nodes]
                node = started[-1]
                await wait_until(lambda: node.daemon._control_plane.members.has_read)
                await _assert_not_ready(node)
            await wait_until(lambda: node.daemon.ready)
            await _assert_not_ready(node)

    for how, has_check in (("gone", True), ("draining", True), ("gone", False)):
        asyncio.run(run(how, has_check=has_check))


# Guards against a server that is well and gets no calls after a start of its daemon.
def test_a_server_that_is_well_is_ready_soon_after_a_start() -> None:
    """In an outage its report and a peer's configuration suffice; later its record."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            node = fleet.nodes["b"]
            await wait_until(lambda: _stored_state(fleet, "b") is ServerState.READY)
            fleet.kv.faults.status = 503
            await fleet.kill(node)
            node = await fleet.start_again(node)
            await wait_until(lambda: node.daemon.ready)
            assert await node.send_heartbeat() == 200
            await _assert_ready_soon(node)
            for killed in tuple(fleet.nodes.values()):
                await fleet.kill(killed)
                node = await fleet.start_again(killed)
            await asyncio.sleep(0.5)
            fleet.kv.faults.status = None
            await wait_until(lambda: node.daemon._control_plane.members.has_read)
            await wait_until(lambda: node.daemon.ready)
            await _assert_ready_soon(node)

    asyncio.run(run())


# Guards against a server without a health check that gets no calls for good.
def test_a_report_that_was_sent_since_the_start_needs_no_health_check() -> None:
    """A full server, which rejects the check, is used, too; a failing one is not."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            with _max_report_delay(0.5):
                for name in ("a", "b"):
                    fleet.nodes[name].backend.healthy = False
                    await fleet.kill(fleet.nodes[name])
                    await fleet.start_again(fleet.nodes[name])
            failing, full = fleet.nodes.values()
            full.backend.rejects_checks = True
            await asyncio.sleep(0.6)
            for node in fleet.nodes.values():
                assert await node.send_heartbeat() == 200
            await _assert_ready_soon(full)
            await _assert_not_ready(failing)
            failing.backend.healthy = True
            assert await failing.send_heartbeat() == 200
            await _assert_ready_soon(failing)
            await _remove_health_check(fleet)
            await fleet.kill(full)
            with _max_report_delay(0.5):
                full = await fleet.start_again(full)
            await wait_until(lambda: full.daemon.ready)
            await asyncio.sleep(0.6)
            assert await full.send_heartbeat() == 200
            await _assert_ready_soon(full)

    asyncio.run(run())


# Guards against a departure that is lost: a daemon replaces the record before it reads.
def test_a_record_that_was_not_read_is_not_replaced_by_a_ready_one() -> None:
    """A report may count before the store can be read; writes may succeed."""

    async def run() -> None:
        async with run_fleet(b="two") as fleet:
            node = fleet.nodes["b"]
            await _leave(node, "gone")
            node.backend.healthy = True
            with _unread(fleet, MEMBER_PREFIX):
                await fleet.kill(node)
                node = await fleet.start_again(node)
                await wait_until(lambda: node.daemon.ready)
                assert await node.send_heartbeat() == 200
                await _assert_ready_soon(node)
                await asyncio.sleep(1.0)
            await wait_until(lambda: node.daemon._control_plane.members.has_read)
            assert node.daemon.local.state is ServerState.DRAINING
            assert not node.daemon.local.may_send(monotonic_s())

    asyncio.run(run())


# Guards against a server that waits in vain: its report is obeyed, and is confirmed.
def test_a_departure_that_nobody_else_knows_is_confirmed() -> None:
    """The next daemon asks the server; the record is written when the store is back."""

    async def run() -> None:
        async with run_fleet(b="two") as fleet:
            node = fleet.nodes["b"]
            fleet.kv.faults.status = 503
            with unittest.TestCase().assertLogs("damaskbay.mesh.app") as logs:
                await _leave(node, "gone")
            assert "not stored" in logs.output[-1]
            fleet.kv.faults.status = None
            await wait_until(lambda: _stored_state(fleet, "b") is ServerState.GONE)
            await fleet.kill(node)
            node = await fleet.start_again(node)
            await wait_until(lambda: node.daemon._control_plane.members.has_read)
            await node.send_heartbeat()
            await _assert_not_ready(node)

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
