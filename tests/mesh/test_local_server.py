"""State of the local backend server around the start of its daemon."""

import asyncio
import base64
import unittest
from dataclasses import replace
from unittest import mock

from damaskbay.core.call import Response
from damaskbay.mesh.local_server import Heartbeat, LocalServer
from damaskbay.mesh.records import decode_record
from damaskbay.platform.const import MEMBER_PREFIX
from damaskbay.ports.fleet import ServerState
from tests.common import function_suite
from tests.mesh.common import Fleet, Node, run_fleet, wait_until

READY = Heartbeat("i-a", ServerState.READY, 8, 0, 1_000)


async def _restart(fleet: Fleet, node: Node) -> Node:
    """Replace a daemon by one at the same addresses."""
    await fleet.kill(node)
    started = await fleet.start_again(node)
    await wait_until(lambda: started.daemon.ready)
    return started


async def _wait_until_registered(fleet: Fleet, node: Node) -> None:
    """Wait until the daemon has read the records and written its own."""
    daemon = node.daemon
    await wait_until(lambda: daemon._control_plane.members.has_read)
    key = MEMBER_PREFIX + daemon.settings.instance

    def is_written() -> bool:
        item = fleet.kv.items.get(key)
        record = decode_record(base64.b64decode(item["Value"])) if item else None
        return record is not None and record.incarnation == daemon._incarnation

    await wait_until(is_written)


# Guards against an ack that is lost: the record of an earlier start revives the server.
def test_a_deregistration_before_the_stored_record_is_read_is_obeyed() -> None:
    """A daemon that has just started knows no server yet, and confirms the report."""
    local = LocalServer(2.0, lambda: None)
    local.deregister("i-a", 1_000, now=1.0)
    local.restore(Heartbeat("i-a", ServerState.READY, 8, 0, 1_000), now=2.0)
    assert local.state is not ServerState.READY
    assert not local.may_send(9.0)


# Guards against an ack that is lost: a late report of the server that has left.
def test_a_late_report_does_not_revive_a_server_that_was_not_known() -> None:
    """Its start identifies it; a later start is another server."""
    local = LocalServer(2.0, lambda: None)
    assert local.deregister("i-a", 1_000, now=1.0)
    local.record_heartbeat(replace(READY, sequence=7), now=1.5)
    assert local.state.value == "gone"
    local.record_heartbeat(replace(READY, sequence=1, started_ms=2_000), now=3.0)
    assert local.state.value == "ready"
    assert local.may_send(9.0)


# Guards against an ack that is lost: the known server is of an earlier start.
def test_a_later_start_that_deregisters_is_gone() -> None:
    """Neither its late reports nor those of the earlier start are taken."""
    for later in ("i-a", "i-b"):
        local = LocalServer(2.0, lambda: None)
        local.restore(READY, now=1.0)
        assert local.deregister(later, 2_000, now=2.0)
        for late in (
            replace(READY, sequence=9),
            replace(READY, server=later, started_ms=2_000, sequence=9),
        ):
            local.record_heartbeat(late, now=2.5)
            assert (local.server, local.state) == (later, ServerState.GONE)


# Guards against a new server that gets no calls, as an earlier one has left late.
def test_a_deregistration_of_an_earlier_start_spares_the_stored_server() -> None:
    """Starts decide; without one, the id does."""
    for server, born_ms in (("i-a", 900), ("i-0", 900), ("i-0", None)):
        local = LocalServer(2.0, lambda: None)
        local.deregister(server, born_ms, now=1.0)
        local.restore(READY, now=2.0)
        assert (local.server, local.state) == ("i-a", ServerState.READY)
        assert local.slots == 8
        assert local.may_send(9.0)


# Guards against calls to a server that has left, whose report names no start.
def test_the_stored_record_tells_the_start_of_a_server_that_has_left() -> None:
    """The record was written before the report, so that it is of the same start."""
    local = LocalServer(2.0, lambda: None)
    local.deregister("i-a", None, now=1.0)
    local.restore(READY, now=2.0)
    local.record_heartbeat(replace(READY, sequence=7), now=2.5)
    assert (local.server, local.state) == ("i-a", ServerState.GONE)
    assert (local.born_ms, local.may_send(9.0)) == (1_000, False)


# Guards against a leaving server that gets no ack after a restart of its daemon.
def test_a_server_that_was_draining_needs_no_start_to_deregister() -> None:
    """The record that was read tells it."""
    local = LocalServer(2.0, lambda: None)
    local.restore(replace(READY, state=ServerState.DRAINING), now=1.0)
    assert local.deregister("i-a", None, now=2.0)
    assert (local.state, local.born_ms) == (ServerState.GONE, 1_000)


# Guards against an ack that binds only until the next restart of the daemon.
def test_a_confirmed_deregistration_binds_the_next_daemon() -> None:
    """The daemon that confirms it has not read the store yet."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            fleet.kv.faults.status = 503
            node = await _restart(fleet, fleet.nodes["b"])
            assert await node.send_deregistration() == 200
            fleet.kv.faults.status = None
            members = node.daemon._control_plane.members
            await wait_until(lambda: members.has_read)
            # The second report is confirmed once the store has it.
            assert await node.send_deregistration() == 200
            assert node.daemon.local.state is ServerState.GONE
            node = await _restart(fleet, node)
            members = node.daemon._control_plane.members
            await wait_until(lambda: members.has_read)
            await node.send_heartbeat()
            assert node.daemon.local.state is ServerState.DRAINING

    asyncio.run(run())


# Guards against an ack of a report whose server the next daemon can't identify.
def test_a_deregistration_without_a_start_is_confirmed_once_it_is_known() -> None:
    """A report tells the start; until then the stored record can't name it."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            fleet.kv.faults.status = 503
            node = await _restart(fleet, fleet.nodes["b"])
            assert await node.send_deregistration(b"") == 503
            await node.send_heartbeat()
            fleet.kv.faults.status = None
            assert await node.send_deregistration(b"") == 200
            assert node.daemon.local.state is ServerState.GONE

    asyncio.run(run())


# Guards against an ack that is lost: the next daemon replaces a record it hasn't read.
def test_a_stored_drain_outlasts_a_daemon_that_cannot_read_at_first() -> None:
    """A late report does not revive the server, at that daemon or the one after it."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            node = fleet.nodes["b"]
            assert await node.send_heartbeat("draining") == 200
            unread = Response(503)
            with mock.patch.object(fleet.kv, "_read_page", return_value=unread):
                node = await _restart(fleet, node)
                await asyncio.sleep(1.0)
            await _wait_until_registered(fleet, node)
            node = await _restart(fleet, node)
            await _wait_until_registered(fleet, node)
            await node.send_heartbeat()
            assert node.daemon.local.state is ServerState.DRAINING

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
