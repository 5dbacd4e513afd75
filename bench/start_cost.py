"""
Measure the processor time of a start until it listens and until it is ready.

Processes with the deploy file's command run on a copy of the modules: compiled ones as
the build leaves them, and sources alone that can't be compiled in place. Each process
starts alone; then `--starts` of them start at once on `--cores`.
"""

import asyncio
import compileall
import contextlib
import http.client
import json
import os
import shutil
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

from bench.common import ROOT, finish, parser
from damaskbay.adapters.http1.server import HttpServer
from damaskbay.config.objects import CallerLimits
from damaskbay.platform.const import CONFIG_KEY, SETTINGS_VARIABLE
from damaskbay.ports.peer import PeerAddress
from tests.common import daemon_command
from tests.mesh.common import manifest
from tests.platform.kv_stand_in import KvStandIn
from tests.platform.processes import DaemonProcess

POLL_S = 0.005
TIMEOUT_S = 60.0
HOST = "127.0.0.1"
HTTP_OK = 200
LISTEN_STATE = "0A"
FIRST_CPU_FIELD = 11
"""Number of the field with the user time, after the name in /proc/PID/stat."""


@contextlib.contextmanager
def _store() -> Iterator[PeerAddress]:
    """Run a store with a small configuration set in a thread."""
    started: list[PeerAddress] = []
    ready, loop = threading.Event(), asyncio.new_event_loop()
    stop = asyncio.Event()

    async def run() -> None:
        store = KvStandIn()
        await store.put(CONFIG_KEY, json.dumps(manifest(1, ("k1",), 500, {})).encode())
        address = PeerAddress(HOST, 0)
        async with HttpServer(address, store.serve, CallerLimits()) as server:
            started.append(server.address)
            ready.set()
            await stop.wait()

    thread = threading.Thread(target=loop.run_until_complete, args=(run(),))
    thread.start()
    ready.wait(TIMEOUT_S)
    try:
        yield started[0]
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join()


@contextlib.contextmanager
def _modules(*, compiled: bool) -> Iterator[Path]:
    """Return a copy of the modules, with or without compiled ones."""
    with tempfile.TemporaryDirectory() as folder:
        target = Path(folder, "damaskbay")
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / "damaskbay", target, ignore=ignored)
        if compiled:
            compileall.compile_dir(target, quiet=1)
        yield Path(folder)


def _processor_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    values = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = sum(map(int, values[FIRST_CPU_FIELD : FIRST_CPU_FIELD + 2]))
    return ticks / os.sysconf("SC_CLK_TCK")


def _listens(daemon: DaemonProcess) -> bool:
    """Return whether a daemon accepts callers; it notices nothing of that."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    port = f":{daemon.port:04X}"
    return any(
        fields[1].endswith(port) and fields[3] == LISTEN_STATE
        for fields in map(str.split, lines)
    )


def _is_ready(daemon: DaemonProcess) -> bool:
    with contextlib.suppress(OSError):
        connection = http.client.HTTPConnection(daemon.host, daemon.readiness_port)
        connection.request("GET", "/")
        return connection.getresponse().status == HTTP_OK
    return False


def _until(holds: Callable[[], bool]) -> None:
    ends_at = time.monotonic() + TIMEOUT_S
    while not holds():
        if time.monotonic() > ends_at:
            raise TimeoutError
        time.sleep(POLL_S)


def _start(
    root: Path, store: PeerAddress, cores: set[int], number: int
) -> dict[str, float]:
    """Return the processor and wall-clock seconds of a start until two moments."""
    with tempfile.TemporaryDirectory() as folder:
        daemon = DaemonProcess(Path(folder))
        daemon.host = daemon.callers_host = f"127.202.{os.getpid() % 250 + 1}.{number}"
        daemon.store = str(store)
        daemon.settings_path.write_text(daemon.settings())
        variables = {
            SETTINGS_VARIABLE: str(daemon.settings_path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        began_s = time.monotonic()
        process = subprocess.Popen(
            daemon_command(),
            cwd=root,
            env={**os.environ, **variables},
            stdout=subprocess.DEVNULL,
        )
        try:
            os.sched_setaffinity(process.pid, cores)
            _until(lambda: _listens(daemon))
            listens_s = _processor_s(process.pid)
            _until(lambda: _is_ready(daemon))
            return {
                "until_it_listens_s": listens_s,
                "until_it_is_ready_s": _processor_s(process.pid),
                "ready_after_s": time.monotonic() - began_s,
            }
        finally:
            process.kill()
            process.wait()


def _measure(root: Path, options: Any) -> dict[str, float]:
    cores = set(sorted(os.sched_getaffinity(0))[-options.cores :])
    with _store() as store, ThreadPoolExecutor(options.starts) as pool:
        start = partial(_start, root, store, cores)
        alone = [start(1) for _ in range(options.rounds)]
        at_once = list(pool.map(start, range(1, options.starts + 1)))
    result = {name: median(item[name] for item in alone) for name in alone[0]}
    result["all_at_once_ready_after_s"] = max(item["ready_after_s"] for item in at_once)
    return {name: round(value, 3) for name, value in result.items()}


def main(arguments: Sequence[str]) -> int:
    """Print the seconds of starts with and without compiled modules."""
    options_parser = parser(__doc__ or "")
    options_parser.add_argument("--starts", type=int, default=14)
    options_parser.add_argument("--rounds", type=int, default=7)
    options_parser.add_argument("--cores", type=int, default=1)
    options = options_parser.parse_args(arguments)
    result: dict[str, Any] = {}
    for name, compiled in (("compiled", True), ("sources_alone", False)):
        with _modules(compiled=compiled) as root:
            result[name] = _measure(root, options)
    return finish("start_cost", result, options)
