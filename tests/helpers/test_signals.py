"""Signals that arrive while the event loop is blocked."""

import asyncio
import os
import signal
import time
import unittest

import uvloop

from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.signals import StopRequest
from tests.common import block_loop, function_suite

BLOCKED_S = 0.3
STEP_S = 0.01


# A late loop planned its stop from when it saw the signal, and was killed before.
def test_a_request_to_stop_counts_from_its_arrival() -> None:
    """Not from the pass in which the loop handles it."""

    async def run() -> tuple[float, float]:
        request = StopRequest()
        request.handle(signal.SIGTERM)
        sent_at = monotonic_s()

        def work() -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            while monotonic_s() < sent_at + BLOCKED_S:
                time.sleep(STEP_S)

        await block_loop(work)
        await request.wait()
        assert request.arrived_at is not None
        return request.arrived_at - sent_at, monotonic_s() - sent_at

    for runner in (asyncio.run, uvloop.run):
        arrived_s, handled_s = runner(run())
        assert arrived_s < BLOCKED_S <= handled_s, (arrived_s, handled_s)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
