"""Machine of the soak: daemon process, backend server and its access to the store."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request, Response
from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.ports.peer import PeerAddress
from tests.common import reserve_address
from tests.mesh.common import HOST
from tests.soak.proxy import LoopbackProxy
from tests.soak.records import ExecutionLog, Stop
from tests.soak.servers import ServerOptions, SoakServer

SLOTS = 8
DRAIN_S = 2.0
REVOKE_S = 5.0
READY_TIMEOUT_S = 15.0
SIGNAL_HANDLERS_SET_S = 3.0
"""Seconds after its start at which a daemon handles SIGHUP, which ends it before."""

_NETWORK = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
"""Loopback network of this process; the metrics port is fixed, so hosts must differ."""

_hosts = itertools.count(1)


@dataclass(frozen=True)
class MachineOptions:
    """Name and place of a machine, grace time in seconds, service times."""

    name: str
    failure_domain: str
    pool: str
    grace_s: float
    long_share: float
    makes_nested_calls: bool


class FaultyStore:
    """Store as one machine reaches it; `fault` is the injected fault or None."""

    def __init__(self, serve: Callable[[ReceivedRequest], Awaitable[Response]]) -> None:
        self.fault: str | None = None
        self._serve = serve

    async def serve(self, arrival: ReceivedRequest) -> Response:
        """Serve a request with the injected fault."""
        if self.fault == "status_503":
            return Response(503)
        if self.fault == "status_429":
            return Response(429)
        if self.fault == "no_response":
            await asyncio.sleep(3600)
        if self.fault == "slow":
            await asyncio.sleep(0.6)
        response = await self._serve(arrival)
        if self.fault == "lost_response" and arrival.request.method == "POST":
            await asyncio.sleep(3600)
        return response


class Machine:
    """
    Daemon process with its backend server, behind proxies that inject faults.

    Signals go only to the process that was started here, by its process id. `stops`
    holds the stops of all its daemon processes.
    """

    def __init__(
        self,
        options: MachineOptions,
        execution_log: ExecutionLog,
        store: Callable[[ReceivedRequest], Awaitable[Response]],
        folder: Path,
        rng: Random,
    ) -> None:
        self.name, self.failure_domain = options.name, options.failure_domain
        self.pool = options.pool
        self.grace_s = options.grace_s
        self.faulty_store = FaultyStore(store)
        self.drain_acked_at: float | None = None
        self.state = "ready"
        self.stops: list[Stop] = []
        self._host = f"{_NETWORK}.{next(_hosts) % 250 + 1}"
        self.caller_address = self._new_address()
        self._control_address = self._new_address()
        self._readiness_address = self._new_address()
        self._first_port = reserve_address().port
        self._quota_slack = 20
        self._folder = folder
        self._store_server = HttpServer(
            PeerAddress(HOST, 0),
            self.faulty_store.serve,
            CallerLimits(idle_timeout_s=600.0),
        )
        server_options = ServerOptions(
            options.name,
            options.pool,
            self.caller_address,
            options.long_share,
            options.makes_nested_calls,
        )
        self.backend = SoakServer(server_options, execution_log, rng)
        self.proxy: LoopbackProxy
        self._process: asyncio.subprocess.Process | None = None
        self._process_started_at = 0.0
        self._stopped_process: asyncio.subprocess.Process | None = None
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start store, backend server and proxy, then the daemon and heartbeats."""
        await stack.enter_async_context(self._store_server)
        await stack.enter_async_context(self.backend)
        self.proxy = LoopbackProxy(self.backend.address)
        await stack.enter_async_context(self.proxy)
        stack.push_async_callback(self.kill)
        self._settings_path().write_text(self._settings_toml())
        await self.start_daemon()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        stack.callback(self._heartbeat_task.cancel)

    async def start_daemon(self) -> None:
        """Start the daemon process; its output is appended to a log file."""
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
        self._process_started_at = time.monotonic()
        log.close()

    @property
    def running(self) -> bool:
        """Return whether the daemon process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def stopping(self) -> bool:
        """Return whether the running daemon process was asked to stop."""
        return self.running and self._stopped_process is self._process

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def stop_daemon(self) -> bool | None:
        """
        Send SIGTERM, wait until the daemon has exited, kill it after the grace time.

        Return whether it exited in time, None if it was asked to stop before or isn't
        running.
        """
        process = self._process
        if not self.running or self.stopping or process is None:
            return None
        self._stopped_process = process
        stop = Stop(time.monotonic(), self.grace_s)
        self.stops.append(stop)
        process.send_signal(signal.SIGTERM)
        in_time = True
        try:
            async with asyncio.timeout(self.grace_s):
                await process.wait()
        except TimeoutError:
            in_time = False
            process.kill()
            await process.wait()
        stop.exited_at = time.monotonic()
        return in_time

    def change_settings(self, *, with_signal: bool) -> None:
        """Change the settings file; send SIGHUP to a daemon that can handle it."""
        self._quota_slack += 1
        changed_path = self._settings_path().with_suffix(".new")
        changed_path.write_text(self._settings_toml())
        changed_path.replace(self._settings_path())
        age_s = time.monotonic() - self._process_started_at
        if with_signal and age_s > SIGNAL_HANDLERS_SET_S:
            self.send_signal(signal.SIGHUP)

    async def wait(self) -> None:
        """Wait until the daemon process has exited."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self) -> None:
        """Kill the daemon process, also a paused one, and wait until it has exited."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness address responds with status 200."""
        response = await _request(
            self._readiness_address, Request("GET", "c", "/ready")
        )
        return response is not None and response.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until the daemon is ready; raise TimeoutError."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def drain(self) -> None:
        """Report the server as draining; record when the daemon acknowledged that."""
        self.backend.leaving = True
        self.state = "draining"
        if await self._send_heartbeat():
            self.drain_acked_at = time.monotonic()

    def replace_server(self) -> None:
        """Replace the drained server with a new one that has another id."""
        self.backend.leaving = False
        self.backend.limits.set_limit(None, time.monotonic())
        number = int(self.backend.server.rpartition("-")[2]) + 1
        self.backend.server = f"i-{self.name}-{number}"
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.drain_acked_at = None
        self.state = "ready"

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(0.5)

    async def _send_heartbeat(self) -> bool:
        self._sequence += 1
        report = {
            "Service": self.pool,
            "Address": str(self.proxy.address),
            "Zone": self.failure_domain,
            "State": self.state,
            "Slots": SLOTS,
            "Seq": self._sequence,
            "ColdRemaining": "0ms",
            "born": self._born_ms,
        }
        path = f"/Instances.Heartbeat/{self.backend.server}"
        body = json.dumps(report).encode()
        response = await _request(
            self._control_address, Request("POST", "c", path, (), body)
        )
        return response is not None and response.status == 200

    def _new_address(self) -> PeerAddress:
        return PeerAddress(self._host, reserve_address().port)

    def _settings_path(self) -> Path:
        return self._folder / f"{self.name}.toml"

    def _settings_toml(self) -> str:
        return f"""
Node = "{self.name}"
Ip = "{self._host}"
Zone = "{self.failure_domain}"
Service = "{self.pool}"
AppAddr = "{self.proxy.address}"
PortRange = [{self._first_port}, {self._first_port + 1}]
[Listen]
Outbound = "{self.caller_address}"
Readiness = "{self._readiness_address}"
Control = "{self._control_address}"
[Bounds]
Drain = "{DRAIN_S}s"
Grace = "{self.grace_s}s"
Revoke = "{REVOKE_S}s"
RetryBudgetRatio = 0.2
RetryBudgetSlack = 50
QuotaOverage = 0.1
QuotaSlack = {self._quota_slack}
[Platform]
Address = "{self._store_server.address}"
"""


async def _request(address: PeerAddress, request: Request) -> Response | None:
    client = HttpClient(address, HttpClientOptions(connect_timeout_s=0.5))
    outcome = await client.send(request, timeout_s=1.0)
    client.close()
    return None if isinstance(outcome, HttpFailure) else outcome
