"""Daemons as processes, with the servers, the store and the load of `call_cost`."""

import asyncio
import contextlib
import json
import os
import sys
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Headers, Request, Response
from damaskbay.mesh.running import SEPARATOR
from damaskbay.platform.const import CONFIG_KEY
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HEALTH_PATH, HOST
from tests.platform.kv_stand_in import KvStandIn
from tests.soak.daemons import MachineDaemon, MachineOptions

HOST_HEADER = "a.example"
KEY = "bench-key"
LIMITED_KEY = "bench-limited-key"
TIMEOUT_MS = 2000
BODY_BYTES = 300
BUSY_S = 0.05
"""Seconds that a call takes at the server that is overloaded."""

SLOTS = 64
GRACE_S = 4.0
PROFILED_COMMAND = (sys.executable, "-m", "bench.call_cost_daemon")


@dataclass(frozen=True, slots=True)
class Case:
    """Requests of one kind; their usual status, and requests a second."""

    name: str
    path: str
    key: str | None
    status: int
    per_s: float


CASES = (
    Case("refused_503", "/busy/x", KEY, 503, 400.0),
    Case("refused_429", "/near/x", LIMITED_KEY, 429, 400.0),
    Case("own_server", "/near/x", KEY, 200, 150.0),
    Case("peers_server", "/far/x", KEY, 200, 150.0),
    Case("nested", "/near/nested", KEY, 200, 100.0),
)
POOLS = {"ingress": "near", "target": "far", "busy": "busy"}
"""Pool of each daemon's server, by the daemon's name."""


class CostDaemon(MachineDaemon):
    """Daemon process of the deploy file's command, or one that is `profiled`."""

    def __init__(
        self, options: MachineOptions, folder: Path, *, profiled: bool
    ) -> None:
        super().__init__(options, folder)
        self._profiled = profiled

    @property
    def pid(self) -> int:
        """Return the id of the process; raise RuntimeError if it isn't started."""
        if self._process is None:
            raise RuntimeError(f"{self.name} is not started")
        return self._process.pid

    def _command(self) -> Sequence[str]:
        return PROFILED_COMMAND if self._profiled else super()._command()


class CostServer:
    """Backend server beside a daemon; some paths call the peer's pool first."""

    def __init__(self, machine: CostDaemon) -> None:
        self._server = machine.server_id
        self._daemon = HttpClient(machine.caller_address, HttpClientOptions())
        self.listener = HttpServer(
            PeerAddress(HOST, 0), self._serve, CallerLimits(idle_timeout_s=600.0)
        )

    def close(self) -> None:
        """Close the connections to the daemon."""
        self._daemon.close()

    async def _serve(self, arrival: ReceivedRequest) -> Response:
        request = arrival.request
        if request.target == HEALTH_PATH:
            return Response(200, (("X-Instance-Id", self._server),))
        headers = {name.lower(): value for name, value in request.headers}
        request_id, status = headers["x-request-id"], 200
        if request.target.startswith("/busy/"):
            await asyncio.sleep(BUSY_S)
        elif request.target.endswith("/nested"):
            nested = request_headers(f"{request_id}{SEPARATOR}1", None)
            outcome = await self._daemon.send(
                Request("GET", HOST_HEADER, "/open/x", nested)
            )
            status = outcome.status if isinstance(outcome, Response) else 500
        stamp = f"{request_id}{SEPARATOR}{self._server}{SEPARATOR}{BODY_BYTES}"
        own: Headers = (("X-Request-Id", request_id), ("X-Server-Stamp", stamp))
        return Response(status, own, b"." * BODY_BYTES)


def request_headers(request_id: str, key: str | None) -> Headers:
    """Return the headers of a caller's request."""
    headers: Headers = (
        ("Accept", "application/json"),
        ("User-Agent", "bench"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(TIMEOUT_MS)),
    )
    return headers if key is None else (*headers, ("Api-Key", key))


@contextlib.asynccontextmanager
async def running_daemons(
    folder: Path, core: int, *, profiled: bool = False
) -> AsyncIterator[dict[str, CostDaemon]]:
    """Run the daemons on one core with their servers and store; by name."""
    kv = KvStandIn()
    async with contextlib.AsyncExitStack() as stack:
        store = HttpServer(
            PeerAddress(HOST, 0), kv.serve, CallerLimits(idle_timeout_s=600.0)
        )
        await stack.enter_async_context(store)
        await kv.put(CONFIG_KEY, json.dumps(_manifest()).encode())
        machines = {}
        for name, pool in POOLS.items():
            options = MachineOptions(
                name,
                "a",
                pool,
                GRACE_S,
                0.0,
                nested=None,
                cores=frozenset({core}),
                slots=1 if name == "busy" else SLOTS,
            )
            machine = machines[name] = CostDaemon(options, folder, profiled=profiled)
            server = CostServer(machine)
            stack.callback(server.close)
            await stack.enter_async_context(server.listener)
            machine.server_address = server.listener.address
            machine.store_address = store.address
            await machine.start(stack)
        for machine in machines.values():
            await machine.wait_until_ready()
        yield machines


async def send_load(
    daemon: PeerAddress, case: Case, count: int, rng: Random
) -> Counter[int]:
    """Send requests at random moments of a steady rate; return them by status."""
    client = HttpClient(daemon, HttpClientOptions())
    loop = asyncio.get_running_loop()
    statuses: Counter[int] = Counter()
    run = f"{case.name}-{os.getpid()}-{rng.getrandbits(32):x}"

    async def send(number: int) -> None:
        headers = request_headers(f"{run}-{number}", case.key)
        outcome = await client.send(Request("GET", HOST_HEADER, case.path, headers))
        statuses[outcome.status if isinstance(outcome, Response) else 0] += 1

    due_at = loop.time()
    async with asyncio.TaskGroup() as tasks:
        for number in range(count):
            due_at += rng.expovariate(case.per_s)
            if (wait_s := due_at - loop.time()) > 0.0:
                await asyncio.sleep(wait_s)
            tasks.create_task(send(number))
    client.close()
    return statuses


def _manifest() -> dict[str, object]:
    routes = {"near": "near", "far": "far", "busy": "busy", "open": "far"}
    service = {"MaxConnections": 90, "HealthCheckPath": HEALTH_PATH}
    workspace = {"ApiKeys": [KEY], "Priority": 1}
    limited = {"ApiKeys": [LIMITED_KEY], "Priority": 1, "RatePerS": 100.0, "Burst": 1}
    entries: list[tuple[str, str, dict[str, object]]] = [
        (
            "Routes",
            f"r-{path}",
            {
                "Host": HOST_HEADER,
                "Timeout": "2s",
                "TargetLatency": "500ms",
                "Priority": 1,
                "NumAttempts": 2,
                "Prefix": f"/{path}/",
                "Kind": "safe",
                "Service": pool,
                "AuthExempt": path == "open",
            },
        )
        for path, pool in routes.items()
    ]
    entries += [("Services", pool, service) for pool in POOLS.values()]
    entries += [("Tenants", "w", workspace), ("Tenants", "limited", limited)]
    return {
        "Version": 1,
        "Resources": [
            {"Type": kind, "Metadata": {"Name": name}, "Spec": spec}
            for kind, name, spec in entries
        ],
    }
