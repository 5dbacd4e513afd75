"""`damaskbay daemon`: run the daemon beside a backend server."""

import argparse
import signal
import sys
import threading
from pathlib import Path
from typing import Any

from damaskbay.cli.const import EXIT_FAILED, EXIT_INVALID, EXIT_OK
from damaskbay.daemon.app import Daemon
from damaskbay.daemon.settings import SettingsProblem, load_secrets, load_settings
from damaskbay.helpers.logs import set_up_logging

SWITCH_INTERVAL_S = 0.0005


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "daemon",
        help="run the daemon beside a backend server",
        description="Run the daemon until SIGTERM, then drain it and exit.",
        epilog=(
            "example: damaskbay daemon --settings daemon.json; "
            "exit codes: 0 stopped, 1 failed, 3 invalid settings"
        ),
    )
    parser.add_argument("--settings", type=Path, required=True, help="JSON file")
    parser.add_argument(
        "--check-settings", action="store_true", help="check the file and stop"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Check the settings, then run until SIGTERM or SIGINT."""
    settings = load_settings(options.settings)
    if isinstance(settings, SettingsProblem):
        print(settings, file=sys.stderr)
        return EXIT_INVALID
    secrets = load_secrets(settings)
    if isinstance(secrets, SettingsProblem):
        print(secrets, file=sys.stderr)
        return EXIT_INVALID
    if options.check_settings:
        print(f"{options.settings}: the settings are valid.")
        return EXIT_OK
    set_up_logging(
        level=settings.logging.level,
        log_format=settings.logging.format,
        lines_per_s=settings.logging.lines_per_s,
    )
    # Short switch intervals keep a thread that checks a large set from delaying calls.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    # The settings are read at a start only; by default SIGHUP ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        with Daemon(settings, secrets) as daemon:
            print(f"daemon: {settings.instance} listens on {daemon.caller_address}.")
            sys.stdout.flush()
            stop.wait()
            daemon.drain()
    except OSError as error:
        print(f"daemon: can't listen: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK
