"""`damaskbay backend`: serve a stand-in for a backend server."""

import argparse
import signal
import threading
from typing import Any

from damaskbay.cli.const import EXIT_OK, EXIT_USAGE
from damaskbay.ports.peer import PeerAddress
from damaskbay.stand_ins.backend import BackendOptions, BackendStandIn


def add_parser(commands: Any) -> None:
    """Add the sub-command."""
    parser = commands.add_parser(
        "backend",
        help="serve a stand-in for a backend server",
        description="Serve a stand-in for a backend server until SIGTERM.",
        epilog="example: damaskbay backend --port 9001 --name campo-1 --slots 8",
    )
    parser.add_argument("--host", default="127.0.0.1", help="IP number")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="backend")
    parser.add_argument("--slots", type=int, default=8, help="concurrent requests")
    parser.add_argument("--threads", type=int, default=64)
    parser.add_argument(
        "--work-ms", type=float, default=0.0, help="processing time per request"
    )
    parser.add_argument(
        "--daemon", help="HOST:PORT of the local daemon's caller listener"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until SIGTERM or SIGINT."""
    daemon = None
    if options.daemon:
        host, _, port = options.daemon.rpartition(":")
        if not port.isdigit():
            print("backend: --daemon: expected HOST:PORT")
            return EXIT_USAGE
        daemon = PeerAddress(host, int(port))
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    settings = BackendOptions(
        host=options.host,
        port=options.port,
        name=options.name,
        slots=options.slots,
        threads=options.threads,
        work_s=options.work_ms / 1000,
        daemon=daemon,
    )
    with BackendStandIn(settings) as backend:
        print(f"backend: {options.name} listens on {options.host}:{backend.port}.")
        stop.wait()
    return EXIT_OK
