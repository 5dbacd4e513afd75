"""
Pattern: signals, an address in use or unfinished settings meet a start or an exit.

The process neither ends by itself nor forgets what it was asked to do.
"""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path

from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.platform.daemon import EXIT_INVALID
from tests.common import function_suite, reserve_address

WAIT_S = 20.0
SIGNAL_INTERVAL_S = 0.002
IMPORTED_FIRST = "uvloop"
"""Extension module with whose import the slow part of a start begins."""

GRACE_S = 1.0
SETTINGS_DELAY_S = 0.6


class _Process:
    """A daemon process and its settings file; there is no store and no server."""

    def __init__(self, folder: Path) -> None:
        number = os.getpid()
        self.host = f"127.200.{number // 250 % 250 + 1}.{number % 250 + 1}"
        self.port = reserve_address().port
        self.path = folder / "node.toml"
        self._process: subprocess.Popen[bytes] | None = None

    def settings(self) -> str:
        """Return valid settings."""
        readiness, control, peers = (reserve_address().port for _ in range(3))
        return f"""
Node = "n1"
Ip = "{self.host}"
Zone = "a"
Service = "one"
AppAddr = "{self.host}:1"
PortRange = [{peers}, {peers + 1}]
[Listen]
Outbound = "{self.host}:{self.port}"
Readiness = "{self.host}:{readiness}"
Control = "{self.host}:{control}"
[Bounds]
Grace = "{GRACE_S}s"
[Platform]
Address = "{self.host}:2"
"""

    def start(self) -> subprocess.Popen[bytes]:
        """Start the process."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", "damaskbay.platform"],
            env={**os.environ, SETTINGS_VARIABLE: str(self.path)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        return self._process

    def listens(self) -> bool:
        """Return whether the process accepts callers."""
        with contextlib.suppress(OSError):
            socket.create_connection((self.host, self.port), timeout=1.0).close()
            return True
        return False

    def kill(self) -> None:
        """End the process if it is still there."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


@contextlib.contextmanager
def _daemon() -> Iterator[_Process]:
    with tempfile.TemporaryDirectory() as folder:
        daemon = _Process(Path(folder))
        daemon.path.write_text(daemon.settings())
        try:
            yield daemon
        finally:
            daemon.kill()


def _until(holds: Callable[[], bool], pause_s: float = 0.01) -> None:
    ends_at = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < ends_at, "waited in vain"
        time.sleep(pause_s)


def _until_imports(process: subprocess.Popen[bytes]) -> None:
    """Wait until the process imports the modules of the daemon."""
    maps = Path(f"/proc/{process.pid}/maps")
    _until(lambda: IMPORTED_FIRST in maps.read_text(), SIGNAL_INTERVAL_S)


def _signal_until(
    process: subprocess.Popen[bytes],
    number: signal.Signals,
    holds: Callable[[], bool],
) -> None:
    """Send a signal again and again until a condition holds or the process ends."""

    def sends_no_more() -> bool:
        if process.poll() is not None:
            return True
        process.send_signal(number)
        return holds()

    _until(sends_no_more, SIGNAL_INTERVAL_S)


# A SIGHUP in the first 0.3 s of a start ended the process: its handler came later.
def test_signals_during_a_start_do_not_end_the_process() -> None:
    """SIGHUP, in series, is handled once the daemon can read its settings again."""
    with _daemon() as daemon:
        process = daemon.start()
        _until_imports(process)
        _signal_until(process, signal.SIGHUP, daemon.listens)
        assert process.poll() is None, process.returncode


def test_a_stop_during_a_start_is_not_forgotten() -> None:
    """SIGTERM during the imports ends the process as one that was stopped."""
    with _daemon() as daemon:
        process = daemon.start()
        _until_imports(process)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


def test_signals_during_an_exit_do_not_change_its_status() -> None:
    """SIGHUP is sent from SIGTERM on until the process has gone."""
    with _daemon() as daemon:
        process = daemon.start()
        _until(daemon.listens)
        process.send_signal(signal.SIGTERM)
        _signal_until(process, signal.SIGHUP, lambda: False)
        assert process.wait(WAIT_S) == 0


# A port that the process before still had, or an empty settings file, ended a start.
def test_a_start_waits_for_an_address_that_is_in_use() -> None:
    """The process before may just be ending."""
    with _daemon() as daemon, socket.socket() as earlier:
        earlier.bind((daemon.host, daemon.port))
        earlier.listen()
        process = daemon.start()
        _until_imports(process)
        time.sleep(SETTINGS_DELAY_S)
        assert process.poll() is None, process.returncode
        earlier.close()
        _until(daemon.listens)


def test_a_start_waits_for_settings_that_are_being_written() -> None:
    """The file is empty while it is written."""
    with _daemon() as daemon:
        settings = daemon.path.read_text()
        daemon.path.write_text("")
        process = daemon.start()
        _until_imports(process)
        time.sleep(SETTINGS_DELAY_S)
        assert process.poll() is None, process.returncode
        daemon.path.write_text(settings)
        _until(daemon.listens)


def test_settings_that_stay_invalid_end_a_start() -> None:
    """The exit status says so."""
    with _daemon() as daemon:
        daemon.path.write_text("Node = 1\n")
        assert daemon.start().wait(WAIT_S) == EXIT_INVALID


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
