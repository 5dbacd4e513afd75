"""Machines of the soak: a daemon process, its backend server, its way to the store."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.adapters.http1.server import Arrival, HttpServer
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Answer, Headers, Request
from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HOST, free_address
from tests.soak.proxy import LoopbackProxy

SLOTS = 8
GRACE_S = 3.0
DRAIN_S = 2.0
REVOKE_S = 5.0
READY_WAIT_S = 15.0
_NETWORK = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
"""Addresses of this process alone: the metrics port of a daemon is fixed."""

_hosts = itertools.count(1)


@dataclass
class Run:
    """One arrival of a request at a backend server."""

    server: str
    at: float
    headers: dict[str, str]
    method: str


@dataclass
class Ledger:
    """What backend servers saw, by request id."""

    runs: dict[str, list[Run]] = field(default_factory=dict)

    def ran(self, request_id: str) -> list[Run]:
        """Return the runs of a request."""
        return self.runs.get(request_id, [])


class StoreGate:
    """One machine's way to the store; `fault` is None or what goes wrong."""

    def __init__(self, serve: Callable[[Arrival], Awaitable[Answer]]) -> None:
        self.fault: str | None = None
        self._serve = serve

    async def serve(self, arrival: Arrival) -> Answer:
        """Serve a call, or fail it as the fault says."""
        if self.fault == "busy":
            return Answer(503)
        if self.fault == "many":
            return Answer(429)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "slow":
            await asyncio.sleep(0.6)
        answer = await self._serve(arrival)
        if self.fault == "lost" and arrival.request.method == "POST":
            await asyncio.sleep(3600)
        return answer


class Machine:
    """
    One machine. Faults are `stop`, `pause`, `kill`, the proxy's and the gate's.

    Only the process started here is ever signalled, by its own id.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        pool: str,
        ledger: Ledger,
        store: Callable[[Arrival], Awaitable[Answer]],
        folder: Path,
    ) -> None:
        self.name, self.domain, self.pool = name, domain, pool
        self.server = f"i-{name}-1"
        self.slow_s = 0.01
        self.gate = StoreGate(store)
        self.acked_drain_at: float | None = None
        self.state = "ready"
        self._host = f"{_NETWORK}.{next(_hosts) % 250 + 1}"
        self.callers = self._own_address()
        self._control = self._own_address()
        self._readiness = self._own_address()
        self._folder = folder
        self._ledger = ledger
        self._store = HttpServer(
            PeerAddress(HOST, 0), self.gate.serve, CallerLimits(idle_timeout_s=600.0)
        )
        self._backend = HttpServer(PeerAddress(HOST, 0), self._run, CallerLimits())
        self.proxy: LoopbackProxy
        self._process: asyncio.subprocess.Process | None = None
        self._stopping: asyncio.subprocess.Process | None = None
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._beating: asyncio.Task[None] | None = None

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the parts around the daemon, then the daemon."""
        await stack.enter_async_context(self._store)
        await stack.enter_async_context(self._backend)
        self.proxy = LoopbackProxy(self._backend.address)
        await stack.enter_async_context(self.proxy)
        stack.push_async_callback(self.end)
        self._settings_path().write_text(self._settings())
        await self.start_daemon()
        self._beating = asyncio.create_task(self._beat())
        stack.callback(self._beating.cancel)

    async def start_daemon(self) -> None:
        """Start the daemon process, its log going to a file."""
        log = (self._folder / f"{self.name}.log").open("ab")
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_path())}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "damaskbay.platform",
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()

    @property
    def running(self) -> bool:
        """Tell whether the daemon process is there."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Signal the own daemon process, if it is there."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def begin_stop(self) -> bool:
        """Ask the daemon process to stop, once; return False where it was already."""
        if not self.running or self._stopping is self._process:
            return False
        self._stopping = self._process
        self.signal(signal.SIGTERM)
        return True

    async def wait(self) -> None:
        """Wait for the end of the daemon process."""
        if self._process is not None:
            await self._process.wait()

    async def end(self) -> None:
        """End the daemon process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait()

    async def is_ready(self) -> bool:
        """Tell whether the daemon says that callers may come."""
        answer = await _ask(self._readiness, Request("GET", "c", "/ready"))
        return answer is not None and answer.status == 200

    async def until_ready(self) -> None:
        """Wait until the daemon is ready."""
        async with asyncio.timeout(READY_WAIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def drain(self) -> None:
        """Have the server leave; note when that was acknowledged."""
        self.state = "draining"
        if await self._report():
            self.acked_drain_at = time.monotonic()

    def replace_server(self) -> None:
        """Put a new server in the place of one that left."""
        number = int(self.server.rpartition("-")[2]) + 1
        self.server = f"i-{self.name}-{number}"
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.acked_drain_at = None
        self.state = "ready"

    async def _beat(self) -> None:
        while True:
            await self._report()
            await asyncio.sleep(0.5)

    async def _report(self) -> bool:
        self._sequence += 1
        report = {
            "Service": self.pool,
            "Address": str(self.proxy.address),
            "Zone": self.domain,
            "State": self.state,
            "Slots": SLOTS,
            "Seq": self._sequence,
            "ColdRemaining": "0ms",
            "born": self._born_ms,
        }
        path = f"/Instances.Heartbeat/{self.server}"
        body = json.dumps(report).encode()
        answer = await _ask(self._control, Request("POST", "c", path, (), body))
        return answer is not None and answer.status == 200

    async def _run(self, arrival: Arrival) -> Answer:
        """Serve as a backend server; the body names the request and the server."""
        request = arrival.request
        headers = {name.lower(): value for name, value in request.headers}
        request_id = headers["x-request-id"]
        named: Headers = (("X-Request-Id", request_id),)
        if headers.get("x-expect-instance") != self.server:
            return Answer(421, named)
        run = Run(self.server, time.monotonic(), headers, request.method)
        self._ledger.runs.setdefault(request_id, []).append(run)
        await asyncio.sleep(self.slow_s)
        stamped = (*named, ("X-Server-Stamp", f"{request_id}.{self.server}"))
        return Answer(200, stamped, f"{request_id} {self.server}".encode())

    def _own_address(self) -> PeerAddress:
        return PeerAddress(self._host, free_address().port)

    def _settings_path(self) -> Path:
        return self._folder / f"{self.name}.toml"

    def _settings(self) -> str:
        first = free_address().port
        return f"""
Node = "{self.name}"
Ip = "{self._host}"
Zone = "{self.domain}"
Service = "{self.pool}"
AppAddr = "{self.proxy.address}"
PortRange = [{first}, {first + 1}]
[Listen]
Outbound = "{self.callers}"
Readiness = "{self._readiness}"
Control = "{self._control}"
[Bounds]
Drain = "{DRAIN_S}s"
Grace = "{GRACE_S}s"
Revoke = "{REVOKE_S}s"
RetryBudgetRatio = 0.2
RetryBudgetSlack = 50
QuotaOverage = 0.1
QuotaSlack = 20
[Platform]
Address = "{self._store.address}"
"""


async def _ask(address: PeerAddress, request: Request) -> Answer | None:
    client = HttpClient(address, HttpClientOptions(connect_timeout_s=0.5))
    outcome = await client.send(request, timeout_s=1.0)
    client.close()
    return None if isinstance(outcome, HttpFailure) else outcome
