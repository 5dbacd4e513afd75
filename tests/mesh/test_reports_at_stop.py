"""What the local server's reports get from a daemon that is shutting down."""

import asyncio
import unittest

from damaskbay.adapters.http1.client import HttpProblem
from damaskbay.ports.fleet import ServerState
from tests.common import function_suite
from tests.mesh.common import run_fleet


# Guards against acks that are not obeyed: the next daemon knows nothing of the report.
def test_a_leaving_daemon_confirms_no_drain_that_it_cannot_store() -> None:
    """The report gets 503 while the store is down, and 200 once it is stored."""

    async def run() -> None:
        async with run_fleet(a="one") as fleet:
            node = fleet.nodes["a"]
            fleet.kv.faults.status = 503
            node.daemon.stop()
            assert await node.send_heartbeat("draining") == 503
            assert node.daemon.local.state is ServerState.DRAINING
            fleet.kv.faults.status = None
            assert await node.send_heartbeat("draining") == 200

    asyncio.run(run())


# Guards against acks that are lost: a report that was read before the daemon's end.
def test_a_leaving_daemon_answers_each_report_that_it_has_read() -> None:
    """The daemon ends after its responses, also if the store doesn't respond."""

    async def run() -> None:
        async with run_fleet(a="one") as fleet:
            node = fleet.nodes["a"]
            fleet.kv.faults.lose_answers = True
            node.daemon.stop()
            reports = []
            while not node.run_task.done():
                reports.append(asyncio.create_task(node.send_heartbeat("draining")))
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.05)
            unanswered = [number for number, r in enumerate(reports) if not r.done()]
            assert not unanswered, f"{unanswered} of {len(reports)}"
            for failure in filter(None, (report.exception() for report in reports)):
                assert failure.args[0].problem is HttpProblem.NOT_SENT, failure

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
