"""
Measure how long daemons on few cores are silent while a large set arrives.

Readiness of every daemon is asked for all the time; the longest wait for a response
contains the longest block of its event loop.
"""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import median

from bench.common import ROOT, parser
from damaskbay.adapters.http1.server import HttpServer
from damaskbay.config.objects import CallerLimits
from damaskbay.platform.const import CONFIG_KEY, SETTINGS_VARIABLE
from damaskbay.ports.peer import PeerAddress
from tests.common import reserve_address
from tests.mesh.common import HOST
from tests.platform.kv_stand_in import KvStandIn
from tests.soak.manifest import make_manifest

PROBE_INTERVAL_S = 0.02
START_TIMEOUT_S = 60.0
SETTLE_S = 5.0
PHASE_S = 4.0
DOMAINS = 3
MS_PER_S = 1000.0
PROBE = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
SETTINGS = """
Node = "n{number}"
Ip = "{host}"
Zone = "z{domain}"
Service = "one"
AppAddr = "{host}:1"
PortRange = [{peers}, {last}]
[Listen]
Outbound = "{host}:{callers}"
Readiness = "{host}:{readiness}"
Control = "{host}:{control}"
[Bounds]
Grace = "2s"
[Platform]
Address = "{store}"
"""


class _Daemon:
    """A daemon process, and the waits for its readiness since `waits_s` was cleared."""

    def __init__(self, number: int, store: PeerAddress, folder: Path) -> None:
        self.host = f"127.231.{os.getpid() % 250 + 1}.{number + 1}"
        ports = [reserve_address().port for _ in range(4)]
        self.port = ports[0]
        self.waits_s: list[float] = []
        self.path = folder / f"{number}.toml"
        self.path.write_text(
            SETTINGS.format(
                number=number,
                host=self.host,
                domain=number % DOMAINS,
                readiness=ports[0],
                callers=ports[1],
                control=ports[2],
                peers=ports[3],
                last=ports[3] + 1,
                store=store,
            )
        )

    async def start(
        self, stack: contextlib.AsyncExitStack, tree: Path, cores: set[int], log: Path
    ) -> None:
        """Start the process on some cores, and stop it with the stack."""
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damaskbay.platform",
                cwd=tree,
                env={**os.environ, SETTINGS_VARIABLE: str(self.path)},
                stdout=output,
                preexec_fn=lambda: os.sched_setaffinity(0, cores),
            )
        stack.push_async_callback(process.wait)
        stack.callback(process.terminate)

    async def probe(self) -> None:
        """Ask for readiness until cancelled."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                while True:
                    started_s = time.monotonic()
                    writer.write(PROBE)
                    await reader.readuntil(b"\r\n\r\n")
                    self.waits_s.append(time.monotonic() - started_s)
                    await asyncio.sleep(PROBE_INTERVAL_S)
            await asyncio.sleep(PROBE_INTERVAL_S)


async def _measure(
    count: int, cores: set[int], tree: Path, sizes: Sequence[int]
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        kv = KvStandIn()
        server = HttpServer(PeerAddress(HOST, 0), kv.serve, CallerLimits())
        await stack.enter_async_context(server)
        await _publish(kv, 1, 0)
        daemons = [_Daemon(number, server.address, folder) for number in range(count)]
        for number, daemon in enumerate(daemons):
            await daemon.start(stack, tree, cores, folder / f"{number}.log")
        probes = [asyncio.create_task(daemon.probe()) for daemon in daemons]
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(daemon.waits_s for daemon in daemons):
                await asyncio.sleep(PROBE_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)
        for version, size in enumerate((0, *sizes), start=2):
            for daemon in daemons:
                daemon.waits_s.clear()
            if size:
                await _publish(kv, version, size)
            await asyncio.sleep(PHASE_S)
            _print(size, daemons, folder, version)
        for probe in probes:
            probe.cancel()


async def _publish(kv: KvStandIn, version: int, routes: int) -> None:
    manifest = make_manifest(version, 2.0, {"k": "w"}, ["w"], routes)
    await kv.put(CONFIG_KEY, json.dumps(manifest).encode())


def _print(size: int, daemons: list[_Daemon], folder: Path, version: int) -> None:
    longest_ms = [MS_PER_S * max(daemon.waits_s, default=0.0) for daemon in daemons]
    waits_s = sorted(wait for daemon in daemons for wait in daemon.waits_s)
    logs = [path.read_text() for path in folder.glob("*.log")]
    in_force = sum(
        f'"version": {version},' in line
        for log in logs
        for line in log.splitlines()
        if "version is in force" in line
    )
    print(
        f"{size} routes: longest wait {max(longest_ms):.0f} ms, of a daemon"
        f" {median(longest_ms):.0f} ms (median);"
        f" 99 %: {MS_PER_S * waits_s[int(len(waits_s) * 0.99)]:.0f} ms of"
        f" {len(waits_s)}; in force at {in_force} of {len(daemons)};"
        f" blocks logged {sum(log.count('loop was blocked') for log in logs)},"
        f" busy {sum(log.count('busy') for log in logs)}"
    )


def main(arguments: Sequence[str]) -> int:
    """Print the waits for each size of a set."""
    options_parser = parser(__doc__ or "")
    options_parser.add_argument("--daemons", type=int, default=14)
    options_parser.add_argument("--cores", type=int, default=1)
    options_parser.add_argument("--tree", type=Path, default=ROOT, help="of the code")
    options_parser.add_argument("--routes", type=int, nargs="*", default=[350, 2000])
    options = options_parser.parse_args(arguments)
    usable = sorted(os.sched_getaffinity(0))
    cores = set(usable[-options.cores :])
    os.sched_setaffinity(0, set(usable[: -options.cores]))
    asyncio.run(_measure(options.daemons, cores, options.tree, options.routes))
    return 0
