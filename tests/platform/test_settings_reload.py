"""
Pattern: settings files change on many machines, with or without a signal.

From outside it shows which file each daemon uses, and why it refused another one.
"""

import asyncio
import errno
import tempfile
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import cast
from unittest.mock import patch

from damaskbay.mesh.app import MeshDaemon
from damaskbay.mesh.settings import (
    MeshSettings,
    SettingsHistory,
    fields_that_need_a_restart,
)
from damaskbay.platform.daemon import reload_settings, watch_settings
from damaskbay.platform.settings import load_settings
from tests.common import function_suite

WAIT_S = 20.0

FILE = """
Node = "n1"
Ip = "10.0.0.1"
Zone = "a"
Service = "one"
AppAddr = "10.0.0.1:8547"
PortRange = [7000, 7015]
[Listen]
Outbound = "10.0.0.1:1"
Control = "10.0.0.1:2"
Readiness = "10.0.0.1:3"
[Bounds]
Drain = "2000ms"
[Platform]
Address = "10.200.1.7:8545"
"""


class _Daemon:
    """Records applied settings as MeshDaemon does."""

    def __init__(self, settings: MeshSettings) -> None:
        self.settings = settings
        self.settings_history = SettingsHistory(settings.digest)

    def reload(self, settings: MeshSettings) -> None:
        self.settings = settings


@contextmanager
def _running() -> Iterator[tuple[_Daemon, Path]]:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "node.toml")
        path.write_text(FILE)
        yield _Daemon(load_settings(path)), path


def _reload(daemon: _Daemon, path: Path) -> None:
    reload_settings(cast("MeshDaemon", daemon), path, "file")


def test_a_changed_file_has_another_digest() -> None:
    """The digest is that of the file in use, also if no field has changed."""
    with _running() as (daemon, path):
        before = daemon.settings.digest
        path.write_text(FILE + "# changed\n")
        _reload(daemon, path)
        assert daemon.settings.digest not in ("", before)
        path.write_text(FILE)
        _reload(daemon, path)
        assert daemon.settings.digest == before


def test_an_invalid_file_changes_nothing_and_is_counted() -> None:
    """A file cut short, with a wrong field or missing leaves the settings in use."""
    with _running() as (daemon, path):
        before = daemon.settings
        for content in (FILE[:40], FILE.replace("2000ms", "soon"), "Node = 3"):
            path.write_text(content)
            _reload(daemon, path)
        path.unlink()
        _reload(daemon, path)
        assert daemon.settings is before
        assert daemon.settings_history.refused == 4


def test_fields_that_need_a_restart_are_named() -> None:
    """A changed limit is applied, a changed address is not."""
    with _running() as (daemon, path):
        path.write_text(FILE.replace("2000ms", "3s").replace("8547", "8548"))
        changed = load_settings(path)
        assert changed.drain_s == 3.0
        assert fields_that_need_a_restart(daemon.settings, changed) == ["server"]


# Changed settings that could not be read once were not applied until they changed.
def test_settings_that_could_not_be_read_are_read_again() -> None:
    """There is no descriptor for a while; the file stays the same."""
    failures = [OSError(errno.EMFILE, "Too many open files")]

    def load(path: Path) -> MeshSettings:
        if failures:
            raise failures.pop()
        return load_settings(path)

    async def run(daemon: _Daemon, path: Path) -> None:
        watch = watch_settings(cast("MeshDaemon", daemon), path, None, asyncio.Event())
        task = asyncio.create_task(watch)
        async with asyncio.timeout(WAIT_S):
            while daemon.settings.drain_s != 1.5:
                await asyncio.sleep(0.01)
        task.cancel()

    with _running() as (daemon, path):
        path.write_text(FILE.replace("2000ms", "1500ms"))
        with patch("damaskbay.platform.daemon.load_settings", load):
            asyncio.run(run(daemon, path))


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
