"""What the local server's reports get from a daemon that is shutting down."""

import asyncio
import unittest

from damaskbay.adapters.http1.client import HttpProblem
from tests.common import function_suite
from tests.mesh.common import run_fleet


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
