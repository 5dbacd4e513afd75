"""The daemon as a process on the external platform: settings file and signals."""

import asyncio
import contextlib
import gc
import logging
import signal
import sys
from functools import partial
from pathlib import Path

import uvloop

from damaskbay.adapters.http1.server import Handler
from damaskbay.config.objects import ConfigSet
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.logs import set_up_queued_logging
from damaskbay.helpers.signals import deliver_signals, hold_signals
from damaskbay.helpers.worker import WorkerThread
from damaskbay.mesh.app import MeshDaemon
from damaskbay.mesh.assembly import PlatformParts
from damaskbay.mesh.settings import MeshSettings
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

SWITCH_INTERVAL_S = 0.0005
"""Seconds after which the thread that decodes a set yields to the event loop."""

SETTINGS_POLL_S = 0.5
"""Seconds between checks of the file: a quarter of the time allowed to apply it."""

SETTINGS_WAIT_S = 2.0
"""Seconds that a start waits for valid settings: the file may just be written."""

SETTINGS_RETRY_S = 0.05
"""Seconds between attempts to read the settings at a start."""

FileStamp = tuple[int, int]
"""Modification time in nanoseconds and size of a file."""


def decode_config(document: bytes) -> ConfigSet | str:
    """Return the configuration set of a manifest, or an error that names the field."""
    try:
        return decode_manifest(document)
    except FieldError as error:
        return str(error)


def make_parts(store: KvStore, worker: WorkerThread) -> PlatformParts:
    """Return the platform-specific parts of a daemon; the worker decodes its sets."""
    return PlatformParts(
        store,
        HEADER_NAMES,
        partial(worker.run, decode_config),
        CONFIG_PREFIX,
        CONFIG_KEY,
        MEMBER_PREFIX,
    )


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


async def read_settings(path: Path) -> tuple[MeshSettings, FileStamp | None]:
    """
    Return the settings of a start, and the stamp of their file.

    Raise FieldError, OSError if they are still invalid after SETTINGS_WAIT_S.
    """
    ends_at = monotonic_s() + SETTINGS_WAIT_S
    is_first = True
    while True:
        stamp = _file_stamp(path)
        try:
            return load_settings(path), stamp
        except (FieldError, OSError) as error:
            if monotonic_s() >= ends_at:
                raise
            if is_first:
                extra = {"why": str(error), "wait_s": SETTINGS_WAIT_S}
                _LOGGER.error("daemon: settings are invalid.", extra=extra)
            is_first = False
        await asyncio.sleep(SETTINGS_RETRY_S)


async def watch_settings(
    daemon: MeshDaemon, path: Path, last_stamp: FileStamp | None
) -> None:
    """Poll the settings file, which may change without a signal; reload on changes."""
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        stamp = _file_stamp(path)
        if stamp not in (last_stamp, None):
            last_stamp = stamp
            reload_settings(daemon, path, "file")


def _file_stamp(path: Path) -> FileStamp | None:
    """Return the stamp of a file; None if stat fails."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def serve() -> None:
    """Run the daemon until SIGTERM or SIGINT; raise FieldError, OSError."""
    path = settings_path()
    settings, stamp = await read_settings(path)
    store = KvStore(settings.store)
    worker = WorkerThread("config")

    def control_handler(daemon: MeshDaemon) -> Handler:
        listener = HeartbeatListener(
            settings.pool,
            settings.server,
            daemon.record_heartbeat,
            daemon.record_deregistration,
        )
        return listener.serve

    daemon = MeshDaemon(settings, make_parts(store, worker), control_handler)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, daemon, path, "signal")
    deliver_signals()
    settings_task = loop.create_task(watch_settings(daemon, path, stamp))
    try:
        with contextlib.closing(store), worker:
            await daemon.run()
    finally:
        # The loop takes its handlers away when it closes.
        hold_signals()
        settings_task.cancel()


def main() -> int:
    """Run the daemon; return its exit status, EXIT_INVALID for invalid settings."""
    set_up_queued_logging(level="INFO", lines_per_s=LOG_LINES_PER_S, stream=sys.stdout)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        uvloop.run(serve())
    except (FieldError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    return 0
