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
from dataclasses import dataclass, field
from pathlib import Path

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Headers, Request, Response
from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.ports.peer import PeerAddress
from tests.common import reserve_address
from tests.mesh.common import HOST
from tests.soak.proxy import LoopbackProxy

SLOTS = 8
GRACE_S = 3.0
DRAIN_S = 2.0
REVOKE_S = 5.0
READY_TIMEOUT_S = 15.0
_NETWORK = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
"""Loopback network of this process; the metrics port is fixed, so hosts must differ."""

_hosts = itertools.count(1)


@dataclass
class Execution:
    """One execution of a request at a backend server."""

    server: str
    arrived_at: float
    headers: dict[str, str]
    method: str


@dataclass
class ExecutionLog:
    """Executions at all backend servers, by request id."""

    executions: dict[str, list[Execution]] = field(default_factory=dict)

    def of_request(self, request_id: str) -> list[Execution]:
        """Return the executions of a request, in order of arrival."""
        return self.executions.get(request_id, [])


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

    Signals go only to the process that was started here, by its process id.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        pool: str,
        execution_log: ExecutionLog,
        store: Callable[[ReceivedRequest], Awaitable[Response]],
        folder: Path,
    ) -> None:
        self.name, self.failure_domain, self.pool = name, failure_domain, pool
        self.server = f"i-{name}-1"
        self.response_delay_s = 0.01
        self.faulty_store = FaultyStore(store)
        self.drain_acked_at: float | None = None
        self.state = "ready"
        self._host = f"{_NETWORK}.{next(_hosts) % 250 + 1}"
        self.caller_address = self._new_address()
        self._control_address = self._new_address()
        self._readiness_address = self._new_address()
        self._folder = folder
        self._execution_log = execution_log
        self._store_server = HttpServer(
            PeerAddress(HOST, 0),
            self.faulty_store.serve,
            CallerLimits(idle_timeout_s=600.0),
        )
        self._backend_server = HttpServer(
            PeerAddress(HOST, 0), self._serve_call, CallerLimits()
        )
        self.proxy: LoopbackProxy
        self._process: asyncio.subprocess.Process | None = None
        self._stopped_process: asyncio.subprocess.Process | None = None
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start store, backend server and proxy, then the daemon and heartbeats."""
        await stack.enter_async_context(self._store_server)
        await stack.enter_async_context(self._backend_server)
        self.proxy = LoopbackProxy(self._backend_server.address)
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
        log.close()

    @property
    def running(self) -> bool:
        """Return whether the daemon process is running."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def request_stop(self) -> bool:
        """Send SIGTERM once per process; return False if sent before or not running."""
        if not self.running or self._stopped_process is self._process:
            return False
        self._stopped_process = self._process
        self.send_signal(signal.SIGTERM)
        return True

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
        self.state = "draining"
        if await self._send_heartbeat():
            self.drain_acked_at = time.monotonic()

    def replace_server(self) -> None:
        """Replace the drained server with a new one that has another id."""
        number = int(self.server.rpartition("-")[2]) + 1
        self.server = f"i-{self.name}-{number}"
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
        path = f"/Instances.Heartbeat/{self.server}"
        body = json.dumps(report).encode()
        response = await _request(
            self._control_address, Request("POST", "c", path, (), body)
        )
        return response is not None and response.status == 200

    async def _serve_call(self, arrival: ReceivedRequest) -> Response:
        """Serve a call as backend server; the body names the request and the server."""
        request = arrival.request
        headers = {name.lower(): value for name, value in request.headers}
        request_id = headers["x-request-id"]
        id_header: Headers = (("X-Request-Id", request_id),)
        if headers.get("x-expect-instance") != self.server:
            return Response(421, id_header)
        execution = Execution(self.server, time.monotonic(), headers, request.method)
        self._execution_log.executions.setdefault(request_id, []).append(execution)
        await asyncio.sleep(self.response_delay_s)
        response_headers = (
            *id_header,
            ("X-Server-Stamp", f"{request_id}.{self.server}"),
        )
        return Response(200, response_headers, f"{request_id} {self.server}".encode())

    def _new_address(self) -> PeerAddress:
        return PeerAddress(self._host, reserve_address().port)

    def _settings_path(self) -> Path:
        return self._folder / f"{self.name}.toml"

    def _settings_toml(self) -> str:
        first_port = reserve_address().port
        return f"""
Node = "{self.name}"
Ip = "{self._host}"
Zone = "{self.failure_domain}"
Service = "{self.pool}"
AppAddr = "{self.proxy.address}"
PortRange = [{first_port}, {first_port + 1}]
[Listen]
Outbound = "{self.caller_address}"
Readiness = "{self._readiness_address}"
Control = "{self._control_address}"
[Bounds]
Drain = "{DRAIN_S}s"
Grace = "{GRACE_S}s"
Revoke = "{REVOKE_S}s"
RetryBudgetRatio = 0.2
RetryBudgetSlack = 50
QuotaOverage = 0.1
QuotaSlack = 20
[Platform]
Address = "{self._store_server.address}"
"""


async def _request(address: PeerAddress, request: Request) -> Response | None:
    client = HttpClient(address, HttpClientOptions(connect_timeout_s=0.5))
    outcome = await client.send(request, timeout_s=1.0)
    client.close()
    return None if isinstance(outcome, HttpFailure) else outcome
