"""The end of the process after a stop."""

import asyncio
import unittest
from pathlib import Path
from unittest.mock import patch

from damaskbay.platform import daemon
from tests.common import function_suite

FEW_PASSES = 2


# The close of the loop took eight passes after the last response of a stop.
def test_the_end_of_a_stopped_daemon_takes_few_passes() -> None:
    """Though tasks are left that nobody needs any more."""
    passes = 0

    def count() -> None:
        nonlocal passes
        passes += 1
        asyncio.get_running_loop().call_soon(count)

    async def serve(_: Path) -> None:
        loop = asyncio.get_running_loop()
        left = loop.create_task(asyncio.Event().wait())
        left.add_done_callback(lambda _: None)
        loop.call_soon(count)

    with patch.object(daemon, "serve", serve):
        daemon._run_until_stopped(Path())
    passes_at_end = passes
    daemon._open_runners.pop().close()
    assert passes_at_end <= FEW_PASSES, passes_at_end


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
