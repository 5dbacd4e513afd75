"""`damaskbay platform`: serve a stand-in for the platform."""

import argparse
import signal
import threading
from typing import Any

from damaskbay.cli.const import EXIT_FAILED, EXIT_OK
from damaskbay.cli.platform_option import CommandError, with_error_report
from damaskbay.stand_ins.platform import DEFAULT_THREADS, PlatformServer


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "platform",
        help="serve a stand-in for the platform's key-value service",
        description=(
            "Serve the stand-in until SIGTERM. All data is in memory. Faults are read "
            "and set at /v1/faults; request counters are read at /v1/counters."
        ),
        epilog="example: damaskbay platform --port 7400",
    )
    parser.add_argument("--host", default="127.0.0.1", help="IP number")
    parser.add_argument("--port", type=int, default=0, help="default: a free port")
    parser.add_argument(
        "--threads",
        type=int,
        default=DEFAULT_THREADS,
        help="concurrent requests, including waiting watches",
    )
    parser.set_defaults(run=with_error_report("platform", run))


def run(options: argparse.Namespace) -> int:
    """Serve until SIGTERM or SIGINT."""
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    try:
        server = PlatformServer(
            host=options.host, port=options.port, threads=options.threads
        )
    except OSError as error:
        raise CommandError(f"can't listen: {error}", EXIT_FAILED) from error
    with server:
        print(f"platform: listens on {server.host}:{server.port}.", flush=True)
        stop.wait()
    return EXIT_OK
