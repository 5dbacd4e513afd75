"""
Pattern: metrics of many workspaces are read.

The daemon goes on serving meanwhile.
"""

import asyncio
import unittest
from typing import Any, cast

from damaskbay.adapters.telemetry.const import MAX_WORKSPACE_LABELS
from tests.common import function_suite
from tests.mesh.common import run_fleet


# The text of all series was written in one pass of the event loop, in 0.4 s.
def test_the_loop_turns_while_metrics_are_written() -> None:
    """They are written in parts."""

    async def run() -> None:
        async with run_fleet(a="one") as fleet:
            daemon = fleet.nodes["a"].daemon
            for number in range(MAX_WORKSPACE_LABELS):
                daemon._telemetry.latency.series(f"w{number}", "0").observe(0.1)
            passes = 0

            async def count() -> None:
                nonlocal passes
                while True:
                    await asyncio.sleep(0)
                    passes += 1

            task = asyncio.create_task(count())
            response = await daemon._status.metrics(cast("Any", None))
            task.cancel()
            assert b'workspace="w199"' in response.body
            assert passes > 3, passes

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
