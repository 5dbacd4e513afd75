"""Pattern: a run of the daemon fails; it starts again in its process, or is stopped."""

import asyncio
import os
import signal
import subprocess
import sys
import unittest
from pathlib import Path
from unittest.mock import patch

from damaskbay.helpers.signals import hold_signals
from damaskbay.platform import daemon
from tests.common import ROOT, function_suite

WAIT_S = 20.0


def _runs(scenario: str) -> int:
    """Return how often a process ran the daemon until it was stopped."""
    code = f"from {__name__} import {scenario}; {scenario}()"
    result = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        timeout=WAIT_S,
        check=True,
    )
    return int(result.stdout)


# A SIGTERM just before a run failed was forgotten: the daemon started again.
def test_a_stop_just_before_a_failure_is_not_forgotten() -> None:
    """The loop has not handled the signal as the run fails."""
    assert _runs("fail_after_stop") == 1


def fail_after_stop() -> None:
    """Fail in the pass of the loop in which SIGTERM comes, and print the runs."""
    runs = 0

    async def run(*arguments: object) -> None:
        nonlocal runs
        runs += 1
        os.kill(os.getpid(), signal.SIGTERM)
        if runs == 1:
            raise OSError
        stopping = arguments[3]
        assert isinstance(stopping, asyncio.Event)
        await stopping.wait()

    _run_daemon(run)
    print(runs)


# A process ended if there was no memory for the line about its failed run.
def test_a_daemon_starts_again_though_its_failure_could_not_be_logged() -> None:
    """The next run is stopped."""
    assert _runs("fail_without_memory") == 2


def fail_without_memory() -> None:
    """Fail in the first run, of which nothing can be logged, and print the runs."""
    runs = 0

    async def run(*_: object) -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            raise MemoryError

    with patch.object(daemon._LOGGER, "exception", side_effect=MemoryError):
        _run_daemon(run)
    print(runs)


def _run_daemon(run: object) -> None:
    async def read_settings(*_: object) -> tuple[None, None]:
        return None, None

    hold_signals()
    with (
        patch.object(daemon, "read_settings", read_settings),
        patch.object(daemon, "_run", run),
    ):
        daemon._run_until_stopped(Path())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
