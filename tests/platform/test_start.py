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
import sysconfig
import tempfile
import time
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path

from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.platform.daemon import EXIT_INVALID
from tests.common import ROOT, daemon_command, function_suite, reserve_address

WAIT_S = 20.0
SIGNAL_INTERVAL_S = 0.002
IMPORTED_FIRST = "uvloop"
"""Extension module with whose import the slow part of a start begins."""

SLOW_SITE = """
import pathlib, time
folder = pathlib.Path(__file__).parent
(folder / "begun").touch()
while not (folder / "go").exists():
    time.sleep(0.01)
"""
"""A `sitecustomize` module that waits until the test lets it end."""

GRACE_S = 1.0
SETTINGS_DELAY_S = 2.5
ADDRESS_DELAY_S = 4.5
STARTS_AT_ONCE = 6
SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


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

    def start(
        self, *, stdout: int = subprocess.DEVNULL, packages: Path | None = None
    ) -> subprocess.Popen[bytes]:
        """Start the process; `packages` is a folder to find modules in first."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.path)}
        if packages is not None:
            environment["PYTHONPATH"] = str(packages)
        self._process = subprocess.Popen(
            daemon_command(),
            cwd=ROOT,
            env=environment,
            stdout=stdout,
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


def _tasks(pid: int) -> Iterator[Path]:
    """Yield the folder of each thread of a process."""
    return Path(f"/proc/{pid}/task").iterdir()


def _held_signals(pid: int, thread: int) -> int:
    """Return the mask of the signals that a thread lets wait."""
    status = Path(f"/proc/{pid}/task/{thread}/status").read_text()
    return int(status.partition("SigBlk:")[2].split()[0], 16)


def _holds_signals(pid: int, thread: int) -> bool:
    """Return whether a thread lets all of SIGNALS wait."""
    held = _held_signals(pid, thread)
    return all(held & 1 << (number - 1) for number in SIGNALS)


def _holds_hang_ups(pid: int) -> bool:
    """Return whether the main thread lets SIGHUP wait."""
    return bool(_held_signals(pid, pid) & 1 << (signal.SIGHUP - 1))


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


# The interpreter imported its packages before the first line that holds signals.
def test_signals_before_the_packages_are_found_do_not_end_the_process() -> None:
    """SIGHUP while `site` runs, as the interpreter does before a module of `-m`."""
    with _daemon() as daemon, tempfile.TemporaryDirectory() as folder:
        packages = Path(folder)
        (packages / "sitecustomize.py").write_text(SLOW_SITE)
        process = daemon.start(packages=packages)
        _until((packages / "begun").exists)
        process.send_signal(signal.SIGHUP)
        (packages / "go").touch()
        _until(lambda: daemon.listens() or process.poll() is not None)
        assert process.poll() is None, process.returncode


# Starts that share a core held signals up to 0.8 s late.
def test_signals_from_the_first_line_on_do_not_end_many_starts_at_once() -> None:
    """SIGHUP meets each of them in series, SIGTERM then ends them with status 0."""
    allowed = os.sched_getaffinity(0)
    with contextlib.ExitStack() as stack:
        daemons = [stack.enter_context(_daemon()) for _ in range(STARTS_AT_ONCE)]
        try:
            os.sched_setaffinity(0, {min(allowed)})
            processes = [daemon.start() for daemon in daemons]
        finally:
            os.sched_setaffinity(0, allowed)
        for process in processes:
            _until(lambda p=process: _holds_hang_ups(p.pid), SIGNAL_INTERVAL_S)  # type: ignore[misc]
        for daemon, process in zip(daemons, processes, strict=True):
            _signal_until(process, signal.SIGHUP, daemon.listens)
            process.send_signal(signal.SIGTERM)
        assert [process.wait(WAIT_S) for process in processes] == [0] * STARTS_AT_ONCE


# SIGTERM waited for the imports, for seconds where many starts share a core.
def test_a_stop_ends_a_start_that_serves_nothing_yet() -> None:
    """It comes while the interpreter looks for packages."""
    with _daemon() as daemon, tempfile.TemporaryDirectory() as folder:
        packages = Path(folder)
        (packages / "sitecustomize.py").write_text(SLOW_SITE)
        process = daemon.start(packages=packages)
        _until((packages / "begun").exists)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


def test_the_command_finds_packages_and_the_project() -> None:
    """As a file and as a module, in an environment and with packages on the path."""
    packages = sysconfig.get_path("purelib")
    environment = {k: v for k, v in os.environ.items() if k != SETTINGS_VARIABLE}
    on_path = {**environment, "PYTHONPATH": packages}
    base = getattr(sys, "_base_executable", sys.executable)
    module = ["-m", "damaskbay.platform"]
    file = [str(ROOT / part) if "/" in part else part for part in daemon_command()[1:]]
    for command, variables, folder in (
        ([*daemon_command()[:1], *file], environment, "/"),
        ([sys.executable, *file], environment, "/"),
        ([base, *file], on_path, "/"),
        ([sys.executable, *file[-1:]], environment, "/"),
        ([sys.executable, *module], environment, ROOT),
        ([base, "-S", *module], on_path, ROOT),
    ):
        result = subprocess.run(
            command,
            cwd=folder,
            env=variables,
            capture_output=True,
            text=True,
            timeout=WAIT_S,
            check=False,
        )
        assert result.returncode == EXIT_INVALID, (command, result)
        assert result.stderr.startswith(SETTINGS_VARIABLE), (command, result)


def test_threads_leave_signals_to_the_loop() -> None:
    """A thread that took one while the loop has no handler would end the process."""
    with _daemon() as daemon:
        process = daemon.start()
        _until(daemon.listens)
        threads = [int(path.name) for path in _tasks(process.pid)]
        assert len(threads) > 1
        holding = [thread for thread in threads if _holds_signals(process.pid, thread)]
        assert set(threads) - set(holding) == {process.pid}


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
        time.sleep(ADDRESS_DELAY_S)
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


# SIGTERM waited until the wait for settings ended, which it now may never do.
def test_a_stop_ends_the_wait_for_settings() -> None:
    """The status is that of a process that was stopped."""
    with _daemon() as daemon:
        daemon.path.write_text("")
        process = daemon.start()
        _until_imports(process)
        time.sleep(SETTINGS_DELAY_S)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


# An exit waited for the log thread, and so for a reader, without a limit.
def test_a_log_that_nobody_reads_does_not_delay_an_exit() -> None:
    """The pipe is full from the start on."""
    reader, writer = os.pipe()
    with _daemon() as daemon, os.fdopen(reader), os.fdopen(writer):
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while os.write(writer, b"\n" * 4096):
                pass
        os.set_blocking(writer, True)
        process = daemon.start(stdout=writer)
        _until(daemon.listens)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


def test_a_log_whose_reader_has_gone_does_not_change_the_status() -> None:
    """The reader goes before the first line is written."""
    reader, writer = os.pipe()
    os.close(reader)
    with _daemon() as daemon, os.fdopen(writer):
        process = daemon.start(stdout=writer)
        _until(daemon.listens)
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0


def test_settings_that_stay_invalid_end_a_start() -> None:
    """The exit status says so."""
    with _daemon() as daemon:
        daemon.path.write_text("Node = 1\n")
        assert daemon.start().wait(WAIT_S) == EXIT_INVALID


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
