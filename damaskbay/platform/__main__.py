"""Run the daemon on the external platform: `python -m damaskbay.platform`."""

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
from damaskbay.mesh.assembly import PlatformParts
from damaskbay.platform.const import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    HEADER_NAMES,
    MEMBER_PREFIX,
)
from damaskbay.platform.exceptions import FieldError
from damaskbay.platform.heartbeats import HeartbeatListener
from damaskbay.platform.manifest import decode_manifest
from damaskbay.platform.settings import load_settings, settings_path
from damaskbay.platform.store import KvStore

_LOGGER = logging.getLogger(__name__)

LOG_LINES_PER_S = 20.0
"""Log lines per second for each message and reason; further ones are only counted."""

EXIT_INVALID = 3

GC_THRESHOLD_ALLOCATIONS = 20_000
"""Allocations between collections; calls create few cycles and collecting is slow."""

SETTINGS_POLL_S = 0.5
"""Seconds between checks of the file: a quarter of the time allowed to apply it."""


def decode_config(document: bytes) -> ConfigSet | str:
    """Return the configuration set of a manifest, or an error that names the field."""
    try:
        return decode_manifest(document)
    except FieldError as error:
        return str(error)


def reload_settings(daemon: MeshDaemon, path: Path, cause: str) -> None:
    """Apply changed settings; keep the active ones if the file is invalid."""
    try:
        settings = load_settings(path)
    except (FieldError, OSError) as error:
        _LOGGER.error(
            "daemon: changed settings are invalid and not applied.",
            extra={"why": str(error), "active_digest": daemon.settings.digest},
        )
        daemon.settings_history.refused += 1
        return
    _LOGGER.info(
        "daemon: settings are read again.",
        extra={"why": cause, "digest": settings.digest},
    )
    daemon.reload(settings)


async def watch_settings(daemon: MeshDaemon, path: Path) -> None:
    """Poll the settings file, which may change without a signal; reload on changes."""
    last_stamp = _file_stamp(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        stamp = _file_stamp(path)
        if stamp not in (last_stamp, None):
            last_stamp = stamp
            reload_settings(daemon, path, "file")


def _file_stamp(path: Path) -> tuple[int, int] | None:
    """Return modification time in nanoseconds and size; None if stat fails."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def serve() -> None:
    """Run the daemon until SIGTERM or SIGINT; raise FieldError, OSError."""
    path = settings_path()
    settings = load_settings(path)
    store = KvStore(settings.store)

    def control_handler(daemon: MeshDaemon) -> Handler:
        listener = HeartbeatListener(
            settings.pool,
            settings.server,
            daemon.record_heartbeat,
            daemon.record_deregistration,
        )
        return listener.serve

    platform_parts = PlatformParts(
        store, HEADER_NAMES, decode_config, CONFIG_PREFIX, CONFIG_KEY, MEMBER_PREFIX
    )
    daemon = MeshDaemon(settings, platform_parts, control_handler)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, daemon, path, "signal")
    settings_task = loop.create_task(watch_settings(daemon, path))
    with contextlib.closing(store):
        await daemon.run()
    settings_task.cancel()


def main() -> int:
    """Run the daemon; return its exit status, EXIT_INVALID for invalid settings."""
    set_up_queued_logging(level="INFO", lines_per_s=LOG_LINES_PER_S, stream=sys.stdout)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    try:
        uvloop.run(serve())
    except (FieldError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    return 0


if __name__ == "__main__":
    sys.exit(main())
