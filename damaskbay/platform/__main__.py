"""Runs the daemon on the users' platform: `python -m damaskbay.platform`."""

import asyncio
import contextlib
import logging
import signal
import sys

from damaskbay.adapters.http1.server import Handler
from damaskbay.config.objects import ConfigSet
from damaskbay.helpers.logs import set_up_logging
from damaskbay.mesh.app import MeshDaemon, Surroundings
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
EXIT_INVALID = 3


def decode_config(document: bytes) -> ConfigSet | str:
    """Return the set in a manifest, or the field that is wrong."""
    try:
        return decode_manifest(document)
    except FieldError as error:
        return str(error)


async def serve() -> None:
    """Run until SIGTERM."""
    settings = load_settings(settings_path())
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
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    with contextlib.closing(store):
        await daemon.run()


def main() -> int:
    """Check the settings, then run."""
    set_up_logging(level="INFO", log_format="json", lines_per_s=LOG_LINES_PER_S)
    try:
        asyncio.run(serve())
    except (FieldError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    return 0


if __name__ == "__main__":
    sys.exit(main())
