"""The daemon as a process on the external platform: settings file and signals."""

import asyncio
import contextlib
import gc
import json
import logging
import signal
import sys
from functools import partial
from pathlib import Path

import uvloop

from damaskbay.adapters.http1.server import Handler
from damaskbay.config.objects import ConfigSet
from damaskbay.helpers.arrivals import read_arrived
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.descriptors import (
    open_standard_descriptors,
    require_loop_descriptors,
)
from damaskbay.helpers.logs import (
    log_what_goes_to_standard_error,
    set_up_queued_logging,
)
from damaskbay.helpers.signals import StopRequest, deliver_signals, hold_signals
from damaskbay.helpers.supervision import RESTART_DELAY_S, keep_running
from damaskbay.helpers.worker import WorkerThread
from damaskbay.mesh.app import MeshDaemon
from damaskbay.mesh.assembly import PlatformParts
from damaskbay.mesh.settings import MeshSettings
from damaskbay.platform.const import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    EVACUATION_PREFIX,
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

SETTINGS_RETRY_S = 0.05
"""Seconds between attempts to read the settings at a start."""

SETTINGS_LOG_INTERVAL_S = 10.0
"""Seconds between log lines about settings that stay invalid at a start."""

_open_runners: list[asyncio.Runner] = []
"""Keeps the loop of a stopped daemon from being freed, which would close it."""

FileStamp = tuple[int, int]
"""Modification time in nanoseconds and size of a file."""


def decode_config(document: bytes) -> ConfigSet | str:
    """Return the configuration set of a manifest, or an error that names the field."""
    try:
        return decode_manifest(document)
    except FieldError as error:
        return str(error)


def check_evacuation(value: bytes) -> str | None:
    """Return why the value of an evacuation's key can't be read, None if it can."""
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as error:
        return str(error)
    return None if isinstance(document, dict) else "expected an object"


def make_parts(store: KvStore, worker: WorkerThread) -> PlatformParts:
    """Return the platform-specific parts of a daemon; the worker decodes its sets."""
    return PlatformParts(
        store,
        HEADER_NAMES,
        partial(worker.run, decode_config),
        CONFIG_PREFIX,
        CONFIG_KEY,
        MEMBER_PREFIX,
        EVACUATION_PREFIX,
        check_evacuation,
    )


def reload_settings(daemon: MeshDaemon, path: Path, cause: str) -> bool:
    """
    Apply changed settings; keep the active ones if the file is invalid.

    Return whether the file could be read.
    """
    try:
        settings = load_settings(path)
    except (FieldError, OSError) as error:
        _LOGGER.error(
            "daemon: changed settings are invalid and not applied.",
            extra={"why": str(error), "active_digest": daemon.settings.digest},
        )
        daemon.settings_history.refused += 1
        return isinstance(error, FieldError)
    _LOGGER.info(
        "daemon: settings are read again.",
        extra={"why": cause, "digest": settings.digest},
    )
    daemon.reload(settings)
    return True


async def read_settings(
    path: Path, stopping: asyncio.Event
) -> tuple[MeshSettings, FileStamp | None] | None:
    """
    Return the settings of a start, and the stamp of their file; None if it is stopped.

    A file that is missing or invalid is waited for: it may just be written, and an
    operator may correct it.
    """
    last_why, log_at = "", monotonic_s()
    while not stopping.is_set():
        stamp = _file_stamp(path)
        try:
            return load_settings(path), stamp
        except (FieldError, OSError) as error:
            why = str(error)
        now = monotonic_s()
        if why != last_why or now >= log_at:
            last_why, log_at = why, now + SETTINGS_LOG_INTERVAL_S
            _LOGGER.error("daemon: settings are invalid.", extra={"why": why})
        await _wait(stopping, SETTINGS_RETRY_S)
    return None


async def watch_settings(
    daemon: MeshDaemon,
    path: Path,
    last_stamp: FileStamp | None,
    hang_up: asyncio.Event,
) -> None:
    """Reload the settings file after a signal, or as it has changed without one."""
    while True:
        await _wait(hang_up, SETTINGS_POLL_S)
        stamp = _file_stamp(path)
        cause = "signal" if hang_up.is_set() else "file"
        hang_up.clear()
        if cause == "file" and stamp in (last_stamp, None):
            continue
        if reload_settings(daemon, path, cause):
            last_stamp = stamp


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, `timeout_s` seconds at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()


def _file_stamp(path: Path) -> FileStamp | None:
    """Return the stamp of a file; None if stat fails."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def serve(path: Path) -> None:
    """
    Run the daemon until SIGTERM or SIGINT.

    Raise what it can't go on after, such as OSError, unless it is being stopped.
    """
    stopping, hang_up = StopRequest(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        stopping.handle(signal_number)
    loop.add_signal_handler(signal.SIGHUP, hang_up.set)
    deliver_signals()
    try:
        found = await read_settings(path, stopping)
        if found is None:
            _LOGGER.info("daemon: is stopped before it has settings.")
            return
        await _run(path, *found, stopping, hang_up)
    except Exception:
        hold_signals()
        # The loop handles the signals that came before in a later pass.
        await read_arrived()
        if not stopping.is_set():
            raise
        with contextlib.suppress(MemoryError):
            _LOGGER.exception("daemon: the stop has failed.")
    finally:
        # The loop takes its handlers away when it closes.
        hold_signals()


async def _run(
    path: Path,
    settings: MeshSettings,
    stamp: FileStamp | None,
    stopping: StopRequest,
    hang_up: asyncio.Event,
) -> None:
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
    watch = partial(watch_settings, daemon, path, stamp, hang_up)
    loop = asyncio.get_running_loop()
    tasks = (
        loop.create_task(keep_running(watch)),
        loop.create_task(_stop_after(stopping, daemon)),
    )
    try:
        with contextlib.closing(store), worker:
            await daemon.run()
    finally:
        for task in tasks:
            task.cancel()


async def _stop_after(stopping: StopRequest, daemon: MeshDaemon) -> None:
    await stopping.wait()
    daemon.stop(stopping.arrived_at)


def main() -> int:
    """
    Run the daemon; return its exit status, EXIT_INVALID without a settings path.

    The log is written as far as its stream takes it; the caller ends the process.
    """
    # Threads inherit that, and so leave signals to the main thread.
    hold_signals()
    try:
        path = settings_path()
    except FieldError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    _, log_writer = set_up_queued_logging(
        level="INFO", lines_per_s=LOG_LINES_PER_S, stream=sys.stdout
    )
    log_what_goes_to_standard_error()
    open_standard_descriptors()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    gc.enable()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    _run_until_stopped(path)
    log_writer.stop()
    return 0


def _run_loop(path: Path) -> None:
    """
    Run the daemon in an event loop, which is closed after a failure.

    After a stop it stays open: its close takes as many passes as the rest of a stop,
    and the process ends anyway.
    """
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    try:
        runner.run(serve(path))
    except BaseException:
        runner.close()
        raise
    _open_runners.append(runner)


def _run_until_stopped(path: Path) -> None:
    """Run the daemon until it is stopped, again after a failure."""
    while True:
        try:
            require_loop_descriptors()
            _run_loop(path)
        except Exception:
            # The line of a run that found no memory may find none, either.
            with contextlib.suppress(MemoryError):
                _LOGGER.exception(
                    "daemon: has failed and starts again.",
                    extra={"delay_s": RESTART_DELAY_S},
                )
        else:
            return
        # Signals are held between two runs.
        if signal.sigtimedwait((signal.SIGTERM, signal.SIGINT), RESTART_DELAY_S):
            _LOGGER.info("daemon: is stopped before it starts again.")
            return
