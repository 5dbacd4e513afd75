"""
Pattern: a signal meets a start before Python code runs.

It neither ends the process with the signal's status nor is it forgotten.
"""

import contextlib
import os
import signal
import subprocess
import tempfile
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

from damaskbay.platform.const import SETTINGS_VARIABLE
from tests.common import ROOT, daemon_command, function_suite

WAIT_S = 20.0
POLL_S = 0.0002
STARTS_AT_ONCE = 6
LIBRARY = "/libpython"
"""In the paths of the interpreter's library, which is mapped before it runs."""


@contextlib.contextmanager
def _starts(count: int) -> Iterator[list[subprocess.Popen[bytes]]]:
    """Start processes that wait for their settings file, together on one core."""
    allowed = os.sched_getaffinity(0)
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        settings = Path(folder, "missing.toml")
        command = daemon_command()
        processes = []
        try:
            os.sched_setaffinity(0, {min(allowed)})
            for _ in range(count):
                process = subprocess.Popen(
                    command,
                    cwd=ROOT,
                    env={**os.environ, SETTINGS_VARIABLE: str(settings)},
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
                stack.callback(process.wait)
                stack.callback(process.kill)
                processes.append(process)
        finally:
            os.sched_setaffinity(0, allowed)
        yield processes


def _signal_as_loaded(
    processes: list[subprocess.Popen[bytes]], number: signal.Signals
) -> None:
    """Send each a signal as soon as its interpreter's library is in the process."""
    ends_at = time.monotonic() + WAIT_S
    waiting = list(processes)
    while waiting:
        assert time.monotonic() < ends_at, "the interpreter has no shared library"
        for process in list(waiting):
            if LIBRARY in Path(f"/proc/{process.pid}/maps").read_text():
                process.send_signal(number)
                waiting.remove(process)
        time.sleep(POLL_S)


def _handles_hang_ups(pid: int) -> bool:
    """Return whether the daemon has set its handler of SIGHUP."""
    status = Path(f"/proc/{pid}/status").read_text()
    return bool(int(status.partition("SigCgt:")[2].split()[0], 16) & 1)


def _until_handled(process: subprocess.Popen[bytes]) -> None:
    """Wait until the daemon handles SIGHUP, or has ended."""
    ends_at = time.monotonic() + WAIT_S
    while process.poll() is None and not _handles_hang_ups(process.pid):
        assert time.monotonic() < ends_at, "waited in vain"
        time.sleep(POLL_S)


# A SIGHUP between exec and the first line of Python code ended a start.
def test_hang_ups_before_the_first_line_do_not_end_many_starts_at_once() -> None:
    """Each gets one as soon as its interpreter is loaded, and is stopped later."""
    with _starts(STARTS_AT_ONCE) as processes:
        _signal_as_loaded(processes, signal.SIGHUP)
        for process in processes:
            _until_handled(process)
            process.send_signal(signal.SIGTERM)
        assert [process.wait(WAIT_S) for process in processes] == [0] * STARTS_AT_ONCE


# SIGTERM and SIGINT before the first line ended a start with the signal's status.
def test_a_stop_before_the_first_line_ends_a_start_with_status_0() -> None:
    """It is handled at the first line."""
    for number in (signal.SIGTERM, signal.SIGINT):
        with _starts(1) as processes:
            _signal_as_loaded(processes, number)
            assert processes[0].wait(WAIT_S) == 0, number


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
