"""Which calls a leaving daemon takes late in its stop, and which it sends again."""

import asyncio
import unittest
from dataclasses import replace

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
