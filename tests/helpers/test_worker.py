"""Tests of the thread beside an event loop."""

import asyncio
import signal
import threading
import unittest
from unittest.mock import patch

from damaskbay.helpers.signals import HANDLED_SIGNALS
from damaskbay.helpers.worker import WorkerThread
from tests.common import function_suite

WAIT_S = 20.0
ENDLESS_STACK_BYTES = 1 << 60


def test_the_thread_leaves_signals_to_the_main_thread() -> None:
    """A signal that it took during an exit would end the process."""

    async def run() -> set[int]:
        with WorkerThread("test") as worker:
            return await worker.run(signal.pthread_sigmask, signal.SIG_BLOCK, ())

    assert asyncio.run(run()) >= HANDLED_SIGNALS


def test_the_exit_does_not_wait_for_the_running_function() -> None:
    """Functions that have not begun are dropped."""
    started, released, dropped = (threading.Event() for _ in range(3))

    def wait() -> bool:
        started.set()
        return released.wait(WAIT_S)

    async def run() -> None:
        with WorkerThread("test") as worker:
            running = asyncio.create_task(worker.run(wait))
            waiting = asyncio.create_task(worker.run(dropped.set))
            while not started.is_set():
                await asyncio.sleep(0)
        released.set()
        assert await running
        await asyncio.wait((waiting,))
        assert waiting.cancelled() and not dropped.is_set()

    asyncio.run(run())


# A set stayed undecoded for good after one thread could not be started.
def test_a_function_runs_though_no_thread_can_be_started() -> None:
    """The next one has a thread again."""

    async def run() -> tuple[int, int]:
        with WorkerThread("test") as worker:
            earlier = threading.stack_size(ENDLESS_STACK_BYTES)
            try:
                without = await worker.run(threading.get_ident)
            finally:
                threading.stack_size(earlier)
            return without, await worker.run(threading.get_ident)

    without, later = asyncio.run(run())
    assert without == threading.get_ident() != later


# A function that waited was cancelled, and with it the watch of the configuration.
def test_functions_that_wait_outlast_one_that_could_not_be_queued() -> None:
    """There is no memory to queue it while the thread is busy."""
    started, released = threading.Event(), threading.Event()

    def wait() -> bool:
        started.set()
        return released.wait(WAIT_S)

    async def run() -> tuple[bool, int, int]:
        with WorkerThread("test") as worker:
            running = asyncio.create_task(worker.run(wait))
            waiting = asyncio.create_task(worker.run(threading.get_ident))
            while not started.is_set():
                await asyncio.sleep(0)
            with patch.object(worker._executor, "submit", side_effect=MemoryError):
                here = await worker.run(threading.get_ident)
            released.set()
            return await running, await waiting, here

    done, waited, here = asyncio.run(run())
    assert done
    assert waited != here == threading.get_ident()


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
