"""Runs the daemon on the users' platform: `python -m damaskbay.platform`."""

import asyncio
import contextlib
import gc
import logging
import signal
import sys
from pathlib import Path

import uvloop

from damaskbay.adapters.http1.server import Handler
from damaskbay.config.objects import ConfigSet
from damaskbay.helpers.logs import set_up_queued_logging
from damaskbay.mesh.app import MeshDaemon
from damaskbay.mesh.assembly import Surroundings
from damaskbay.platform.const import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    DIALECT,
    MEMBER_PREFIX,
)
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.heartbeats import HeartbeatListener
from damaskbay.platform.manifest import decode_manifest
from damaskbay.platform.settings import load_settings, settings_path
from damaskbay.platform.store import KvStore

_LOGGER = logging.getLogger(__name__)

LOG_LINES_PER_S = 20.0
"""Lines per second of each message and reason; what is more is counted."""

EXIT_INVALID = 3

GC_ALLOCATIONS = 20_000
"""Allocations between looks for cycles: calls make few, and looking takes time."""

SETTINGS_LOOK_S = 0.5
"""Seconds between looks at the settings file: a quarter of the time to apply."""


def decode_config(document: bytes) -> ConfigSet | str:
    """Return the set in a manifest, or the field that is wrong."""
    try:
        return decode_manifest(document)
    except FieldError as error:
        return str(error)


def reload_settings(daemon: MeshDaemon, path: Path, cause: str) -> None:
    """Take changed settings; what can't be read leaves the present ones in force."""
    try:
        settings = load_settings(path)
    except (FieldError, OSError) as error:
        _LOGGER.error("daemon: settings are not taken.", extra={"why": str(error)})
        return
    _LOGGER.info("daemon: settings are read again.", extra={"why": cause})
    daemon.reload(settings)


async def watch_settings(daemon: MeshDaemon, path: Path) -> None:
    """Read the settings again whenever the file has changed without a signal."""
    seen = _stamp(path)
    while True:
        await asyncio.sleep(SETTINGS_LOOK_S)
        stamp = _stamp(path)
        if stamp not in (seen, None):
            seen = stamp
            reload_settings(daemon, path, "file")


def _stamp(path: Path) -> tuple[int, int] | None:
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size


async def serve() -> None:
    """Run until SIGTERM."""
    path = settings_path()
    settings = load_settings(path)
    store = KvStore(settings.store)

    def control(daemon: MeshDaemon) -> Handler:
        listener = HeartbeatListener(
            settings.pool, settings.server, daemon.take_heartbeat, daemon.take_leave
        )
        return listener.serve

    around = Surroundings(
        store, DIALECT, decode_config, CONFIG_PREFIX, CONFIG_KEY, MEMBER_PREFIX
    )
    daemon = MeshDaemon(settings, around, control)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, daemon, path, "signal")
    watching = loop.create_task(watch_settings(daemon, path))
    with contextlib.closing(store):
        await daemon.run()
    watching.cancel()


def main() -> int:
    """Check the settings, then run."""
    set_up_queued_logging(level="INFO", lines_per_s=LOG_LINES_PER_S, stream=sys.stdout)
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    try:
        uvloop.run(serve())
    except (FieldError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    return 0


if __name__ == "__main__":
    sys.exit(main())
