"""Pattern: the store of a fleet is restored from a snapshot that is seconds old."""

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.platform.const import CONFIG_KEY, MEMBER_PREFIX
from tests.common import function_suite, reserve_address
from tests.mesh.common import Backend, Fleet, Node, run_fleet, wait_until

RETURN_S = 2.0
"""Required time, seconds: entries of living servers are back this soon."""

PROOF_VALID_S = 3.7
"""Age of the proof, seconds, up to which keyed requests are served."""


def _run(check: Callable[[Fleet], Awaitable[None]]) -> None:
    """Check a fleet with a snapshot of its store from before the first record."""

    async def run() -> None:
        async with run_fleet() as fleet:
            fleet.kv.era = 1
            fleet.kv.snapshot()
            for name, pool in (("a", "one"), ("b", "one"), ("c", "two")):
                await fleet.add(name, pool)
            await fleet.wait_until_connected()
            await check(fleet)

    asyncio.run(run())


def _listed(fleet: Fleet) -> set[str]:
    keys = (key for key in fleet.kv.items if key.startswith(MEMBER_PREFIX))
    return {key.removeprefix(MEMBER_PREFIX) for key in keys}


# Guards against daemons that are unknown until they renew their lease, or for good, as
# the lease of another daemon has their number.
def test_lost_records_are_written_again_in_time() -> None:
    """All daemons lose lease and record; the store may be unavailable before."""

    async def check(fleet: Fleet) -> None:
        await wait_until(lambda: _listed(fleet) == {"a", "b", "c"})
        # Some renewals happen just before the restore: the next ones come too late.
        await asyncio.sleep(2.0)
        for outage_s in (0.0, 0.0, 1.0):
            fleet.kv.faults.status = 503 if outage_s else None
            await asyncio.sleep(outage_s)
            await fleet.kv.restore()
            fleet.kv.faults.status = None
            restored_at = time.monotonic()
            await wait_until(lambda: _listed(fleet) == {"a", "b", "c"})
            assert time.monotonic() - restored_at < RETURN_S
            leases = [fleet.kv.items[MEMBER_PREFIX + name]["Lease"] for name in "abc"]
            assert len(set(leases)) == 3
            assert set(leases) <= fleet.kv.leases
            await asyncio.sleep(0.3)

    _run(check)


# Guards against a fleet that takes no more changes: their revisions seem to be old.
def test_a_daemon_that_starts_after_a_restore_is_known_to_all() -> None:
    """The revisions of the store are far behind those that were known before it."""

    async def check(fleet: Fleet) -> None:
        for number in range(50):
            await fleet.kv.put("other", str(number).encode())
        await fleet.kv.put(MEMBER_PREFIX + "gone", b"")
        await asyncio.sleep(1.5)
        before = {node.daemon._control_plane.members.revision for node in _nodes(fleet)}
        assert len(before) == 1
        await fleet.kv.restore()
        await fleet.add("d", "two")
        await fleet.wait_until_connected()
        await wait_until(lambda: _listed(fleet) == {"a", "b", "c", "d"})

        def agree() -> bool:
            members = [node.daemon._control_plane.members for node in _nodes(fleet)]
            revisions = {one.revision for one in members}
            names = [frozenset(one._log._entries_by_instance) for one in members]
            return min(revisions) > max(before) and set(names) == {frozenset("abcd")}

        await wait_until(agree)

    _run(check)


# Guards against a withdrawn key that works again, and against refusals for want of a
# proof while the store holds an older set than the active one.
def test_a_withdrawn_key_stays_withdrawn_beside_an_older_set() -> None:
    """A daemon that starts after the loss takes the newer set from its peers."""

    async def check(fleet: Fleet) -> None:
        await fleet.publish(keys=("k1", "k2"))
        fleet.kv.snapshot()
        older = fleet.kv.items[CONFIG_KEY]
        await fleet.publish(keys=("k1",))
        nodes = _nodes(fleet)
        await wait_until(lambda: all(_version(node) == fleet.version for node in nodes))
        await fleet.kv.restore()
        assert fleet.kv.items[CONFIG_KEY]["Value"] == older["Value"]
        backend = Backend("two", "i-d", reserve_address())
        late = await fleet.add_daemon("d", backend)
        await wait_until(lambda: _version(late) == fleet.version)
        ends_at = time.monotonic() + 1.2 * PROOF_VALID_S
        while time.monotonic() < ends_at:
            for node in nodes:
                assert (await node.request("/safe/1", key="k2")).status == 401
                assert (await node.request("/safe/1", key="k1")).status == 200
            await asyncio.sleep(0.1)

    _run(check)


# Guards against a set that is never taken since its revision was seen before.
def test_a_set_that_is_written_again_under_an_old_revision_is_taken() -> None:
    """The lost set is written again, then a newer one, both under earlier numbers."""

    async def check(fleet: Fleet) -> None:
        fleet.kv.snapshot()
        await fleet.publish(keys=("k1", "k2"))
        document, revision = fleet.kv.items[CONFIG_KEY]["Value"], fleet.kv.revision
        nodes = _nodes(fleet)
        await wait_until(lambda: all(_version(node) == fleet.version for node in nodes))
        await fleet.kv.restore()
        await asyncio.sleep(0.6)
        await fleet.publish(keys=("k1",))
        assert fleet.kv.revision <= revision + len(nodes) + 1
        assert document != fleet.kv.items[CONFIG_KEY]["Value"]
        await wait_until(lambda: all(_version(node) == fleet.version for node in nodes))
        assert (await nodes[0].request("/safe/1", key="k2")).status == 401

    _run(check)


def _nodes(fleet: Fleet) -> list[Node]:
    return list(fleet.nodes.values())


def _version(node: Node) -> int:
    return node.daemon.configuration.version


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
