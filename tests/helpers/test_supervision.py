"""Tests of helpers.supervision."""

import asyncio
import unittest
from unittest.mock import patch

from damaskbay.helpers.supervision import keep_running
from tests.common import function_suite

WAIT_S = 20.0


# A task that died stopped leases or the watch of settings without a log line.
def test_a_task_that_fails_is_logged_and_runs_again() -> None:
    """Its second run goes on until it is cancelled."""
    failures = [ValueError("unexpected")]

    async def run() -> None:
        if failures:
            raise failures.pop()
        second_run.set()
        await asyncio.Event().wait()

    async def check() -> None:
        task = asyncio.create_task(keep_running(run, restart_delay_s=0.0))
        await asyncio.wait_for(second_run.wait(), 60.0)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    second_run = asyncio.Event()
    with unittest.TestCase().assertLogs("damaskbay.helpers.supervision") as logs:
        asyncio.run(check())
    assert "ValueError: unexpected" in logs.output[0]


# A task ended for good, without a log line, if what it waited for was cancelled.
def test_a_task_that_was_not_cancelled_itself_runs_again() -> None:
    """Its second run goes on until it is cancelled."""
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            waited_for = asyncio.get_running_loop().create_future()
            waited_for.cancel()
            await waited_for
        second_run.set()
        await asyncio.Event().wait()

    async def check() -> None:
        task = asyncio.create_task(keep_running(run, restart_delay_s=0.0))
        await asyncio.wait_for(second_run.wait(), WAIT_S)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    second_run = asyncio.Event()
    with unittest.TestCase().assertLogs("damaskbay.helpers.supervision") as logs:
        asyncio.run(check())
    assert "CancelledError" in logs.output[0]


# A task whose failure could not be logged ended for good.
def test_a_task_runs_again_though_its_failure_is_not_logged() -> None:
    """There is no memory for the task, nor for the line."""
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            raise MemoryError
        second_run.set()
        await asyncio.Event().wait()

    async def check() -> None:
        task = asyncio.create_task(keep_running(run, restart_delay_s=0.0))
        await asyncio.wait_for(second_run.wait(), WAIT_S)
        task.cancel()
        await asyncio.wait([task])

    second_run = asyncio.Event()
    logger = "damaskbay.helpers.supervision._LOGGER.exception"
    with patch(logger, side_effect=MemoryError):
        asyncio.run(check())


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
