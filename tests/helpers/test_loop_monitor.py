"""Tests of the detection of blocked event loops."""

import asyncio
import time
import unittest
from pathlib import Path

from damaskbay.helpers.loop_monitor import (
    CHECK_INTERVAL_S,
    RECENT_S,
    BlockCause,
    LoopMonitor,
    LoopSample,
    take_sample,
)
from damaskbay.helpers.run_delay import RunDelay
from tests.common import function_suite

START = LoopSample(now=100.0, awake_s=50.0, thread_s=1.0, process_s=2.0, waited_s=0.0)
WAIT_S = 20.0


def _after(
    late_s: float,
    *,
    thread_s: float = 0.0,
    process_s: float = 0.0,
    asleep_s: float = 0.0,
    waited_s: float | None = None,
) -> LoopSample:
    elapsed_s = CHECK_INTERVAL_S + late_s
    return LoopSample(
        START.now + elapsed_s,
        START.awake_s + elapsed_s - asleep_s,
        START.thread_s + thread_s,
        START.process_s + process_s,
        waited_s,
    )


# Blocks for want of a processor could not be told from those of a stopped process.
def test_a_block_is_explained_by_what_ran_meanwhile() -> None:
    """Own work differs from that of other threads, and from having no processor."""
    samples_by_cause = {
        BlockCause.BUSY: _after(0.4, thread_s=0.35, process_s=0.35),
        BlockCause.OTHER_THREAD: _after(0.4, thread_s=0.05, process_s=0.4),
        BlockCause.NOT_RUNNING: _after(0.4, thread_s=0.06, process_s=0.1),
        BlockCause.NO_PROCESSOR: _after(
            0.4, thread_s=0.06, process_s=0.1, waited_s=0.3
        ),
        BlockCause.SUSPENDED: _after(3.0, thread_s=0.1, process_s=0.1, asleep_s=2.9),
    }
    for cause, sample in samples_by_cause.items():
        monitor = LoopMonitor(START)
        block = monitor.check(sample)
        assert block is not None and block.cause is cause, block
        assert (monitor.blocks, monitor.busy_blocks) == (1, cause is BlockCause.BUSY)


def test_a_check_that_is_slightly_late_is_no_block() -> None:
    """It still counts for the longest lateness."""
    monitor = LoopMonitor(START)
    sample = _after(0.09, thread_s=0.09, process_s=0.09)
    assert monitor.check(sample) is None
    assert monitor.blocks == 0
    assert abs(monitor.longest_s(sample.now) - 0.09) < 1e-6


def test_the_wait_for_a_processor_is_counted() -> None:
    """It grows by no more than the time that passes; other systems don't count it."""
    with RunDelay() as run_delay:
        start, waited_s = time.monotonic(), run_delay.read_s()
        if waited_s is not None:
            again_s = run_delay.read_s()
            assert again_s is not None
            assert 0.0 <= again_s - waited_s <= time.monotonic() - start
    assert run_delay.read_s() is None
    assert RunDelay(Path("/missing")).read_s() is None


def test_the_longest_block_is_forgotten() -> None:
    """It shows for one window at least, and for two at most."""
    monitor = LoopMonitor(START)
    monitor.check(_after(0.5))
    assert monitor.longest_s(START.now + RECENT_S + 1) > 0.4
    assert monitor.longest_s(START.now + 2 * RECENT_S + 2) == 0.0


def test_a_loop_that_is_blocked_is_noticed() -> None:
    """A callback that sleeps keeps the loop from its checks."""

    async def run() -> None:
        monitor = LoopMonitor(take_sample())
        task = asyncio.create_task(monitor.run())
        async with asyncio.timeout(WAIT_S):
            await asyncio.sleep(CHECK_INTERVAL_S)
            time.sleep(0.3)
            while not monitor.blocks:
                await asyncio.sleep(CHECK_INTERVAL_S)
        task.cancel()

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
