"""A fleet of event-driven daemons on loopback, with their store and servers."""

import asyncio
import contextlib
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.adapters.http1.server import Handler, HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Headers, Request, Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.worker import WorkerThread
from damaskbay.mesh.app import MeshDaemon
from damaskbay.mesh.settings import MeshSettings
from damaskbay.platform.const import CONFIG_KEY
from damaskbay.platform.daemon import make_parts
from damaskbay.platform.heartbeats import HeartbeatListener
from damaskbay.platform.store import KvStore
from damaskbay.ports.peer import PeerAddress
from tests.common import reserve_address
from tests.platform.kv_stand_in import KvStandIn

WAIT_S = 10.0
HOST = "127.0.0.1"
HEALTH_PATH = "/healthz"
_ids = itertools.count(1)


@dataclass
class Backend:
    """
    A backend server; `override_response` may override its responses.

    Its health check says whether it is `leaving` and how long it stays cold, `cold_ms`,
    and names its `limit`; it fails unless the server is `healthy`, and is rejected if
    it `rejects_checks`. `arrivals` are the times of all requests, in seconds.
    """

    pool: str
    server: str
    address: PeerAddress
    leaving: bool = False
    healthy: bool = True
    rejects_checks: bool = False
    limit: str | None = None
    cold_ms: str | None = None
    arrivals: list[float] = field(default_factory=list)
    seen: list[Request] = field(default_factory=list)
    override_response: Callable[[Request], Awaitable[Response | None]] | None = None

    async def serve(self, arrival: ReceivedRequest) -> Response:
        """Return the usual response, or the one that `override_response` returns."""
        request = arrival.request
        self.arrivals.append(monotonic_s())
        if request.target == HEALTH_PATH:
            return self._health()
        self.seen.append(request)
        if self.override_response is not None:
            override = await self.override_response(request)
            if override is not None:
                return override
        headers = dict(request.headers)
        own: Headers = (
            ("X-Request-Id", headers.get("X-Request-Id", "")),
            ("X-Server-Stamp", f"stamp-{self.server}"),
        )
        return Response(200, own, self.server.encode())

    def _health(self) -> Response:
        headers: Headers = (("X-Instance-Id", self.server),)
        if self.rejects_checks:
            return Response(503, (*headers, ("X-Not-Executed", "1")))
        if self.limit is not None:
            headers = (*headers, ("Server-Limit", self.limit))
        if self.cold_ms is not None:
            headers = (*headers, ("X-Cold-Ms", self.cold_ms))
        if self.leaving:
            return Response(503, (*headers, ("Server-Leaving", "1")))
        return Response(200 if self.healthy else 503, headers)

    def ids(self) -> list[str]:
        """Return the ids of the received requests."""
        return [dict(request.headers)["X-Request-Id"] for request in self.seen]


@dataclass
class Node:
    """A daemon and its local server."""

    daemon: MeshDaemon
    backend: Backend
    run_task: "asyncio.Task[None]"
    sequence: int = 0

    async def send_heartbeat(
        self, state: str = "ready", slots: int = 8, *, cold_ms: int = 0
    ) -> int:
        """Send a heartbeat as the server does; return the response status."""
        self.sequence += 1
        report = {
            "Service": self.backend.pool,
            "Address": str(self.backend.address),
            "State": state,
            "Slots": slots,
            "Seq": self.sequence,
            "ColdRemaining": f"{cold_ms}ms",
            "born": 1_000,
        }
        path = f"/Instances.Heartbeat/{self.backend.server}"
        body = json.dumps(report).encode()
        answer = await _send(
            self.daemon.settings.control, Request("POST", "c", path, (), body)
        )
        return answer.status

    async def send_deregistration(self, body: bytes = b'{"born": 1000}') -> int:
        """Deregister the server as it does itself; return the response status."""
        path = f"/Instances.Deregister/{self.backend.server}"
        answer = await _send(
            self.daemon.settings.control, Request("POST", "c", path, (), body)
        )
        return answer.status

    async def request(
        self,
        path: str,
        *,
        key: str | None = "k1",
        method: str = "GET",
        headers: Headers = (),
        request_id: str | None = None,
        deadline_ms: int = 3000,
        body: bytes = b"",
    ) -> Response:
        """Send a request as a local caller."""
        own: Headers = (
            ("X-Request-Id", request_id or f"q{next(_ids)}"),
            ("X-Deadline-Ms", str(deadline_ms)),
        )
        if key is not None:
            own = (*own, ("Api-Key", key))
        request = Request(method, "a.example", path, (*own, *headers), body)
        return await _send(self.daemon.settings.callers, request)


async def _send(address: PeerAddress, request: Request) -> Response:
    client = HttpClient(address, HttpClientOptions())
    outcome = await client.send(request)
    client.close()
    assert not isinstance(outcome, HttpFailure), outcome
    return outcome


class Fleet:
    """Daemons by name, with their store and the published manifest."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        self.kv = KvStandIn()
        self.nodes: dict[str, Node] = {}
        self.version = 0
        self.service: dict[str, Any] = {}
        self._stack = stack
        self._worker = stack.enter_context(WorkerThread("config"))
        self._store_address = PeerAddress(HOST, 0)

    async def start(self) -> None:
        """Start the store."""
        server = HttpServer(self._store_address, self.kv.serve, CallerLimits())
        await self._stack.enter_async_context(server)
        self._store_address = server.address

    async def publish(
        self, *, keys: tuple[str, ...] = ("k1",), rate: int = 500, **route: Any
    ) -> None:
        """Store the next version of the manifest."""
        self.version += 1
        contents = manifest(self.version, keys, rate, route, self.service)
        document = json.dumps(contents).encode()
        await self.kv.put(CONFIG_KEY, document)

    async def add(self, name: str, pool: str, **changes: Any) -> Node:
        """Start a daemon and its server, and report the server ready."""
        backend = Backend(pool, f"i-{name}", reserve_address())
        await self._stack.enter_async_context(
            HttpServer(backend.address, backend.serve, CallerLimits())
        )
        node = await self.add_daemon(name, backend, **changes)
        assert await node.send_heartbeat() == 200
        return node

    async def add_daemon(self, name: str, backend: Backend, **changes: Any) -> Node:
        """Start a daemon for a running server and wait until it serves."""
        node = self.start_daemon(name, backend, **changes)
        await wait_until(lambda: node.daemon.ready or node.run_task.done())
        if node.run_task.done():
            node.run_task.result()
        return node

    async def kill(self, node: Node) -> None:
        """End a daemon at once, as a kill of its process does."""
        tasks = {node.run_task, *node.daemon._tasks}
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    async def start_again(self, node: Node) -> Node:
        """Start a daemon for the server of a killed one; wait until it listens."""
        settings = node.daemon.settings
        started = self.start_daemon(
            settings.instance,
            node.backend,
            callers=settings.callers,
            control=settings.control,
            peers=settings.peers,
        )
        started.sequence = node.sequence
        await wait_until(lambda: bool(started.daemon._tasks))
        return started

    def start_daemon(self, name: str, backend: Backend, **changes: Any) -> Node:
        """Start a daemon for a running server."""
        settings = _settings(name, backend, self._store_address, changes)
        platform_parts = make_parts(KvStore(settings.store), self._worker)

        def control(daemon: MeshDaemon) -> Handler:
            return HeartbeatListener(
                backend.pool,
                backend.address,
                daemon.record_heartbeat,
                daemon.record_deregistration,
            ).serve

        daemon = MeshDaemon(settings, platform_parts, control)
        node = Node(daemon, backend, asyncio.create_task(daemon.run()))
        self.nodes[name] = node
        self._stack.callback(node.run_task.cancel)
        return node

    async def wait_until_connected(self) -> None:
        """Wait until every daemon knows every server."""
        count = len(self.nodes)
        for node in self.nodes.values():
            await wait_until(lambda node=node: _reachable_servers(node) == count)  # type: ignore[misc]


def _reachable_servers(node: Node) -> int:
    directory = node.daemon._directory
    pools = {record.record.pool for record in directory._by_instance.values()}
    return sum(len(directory.servers(pool)) for pool in pools)


@contextlib.asynccontextmanager
async def run_fleet(**nodes: str) -> AsyncIterator[Fleet]:
    """Yield a serving fleet of daemons, given as name=pool."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.start()
        await fleet.publish()
        for name, pool in nodes.items():
            await fleet.add(name, pool)
        await fleet.wait_until_connected()
        async with asyncio.timeout(4 * WAIT_S):
            yield fleet


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not holds():
            await asyncio.sleep(0.01)


def manifest(
    version: int,
    keys: tuple[str, ...],
    rate: int,
    changes: dict[str, Any],
    service_changes: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """
    Return a manifest; /safe/ and /unsafe/ go to pool one, /open/ to pool two.

    `changes` are fields of the routes to pool one, `service_changes` of both pools.
    """
    spec: dict[str, Any] = {
        "Host": "a.example",
        "Timeout": "2s",
        "TargetLatency": "500ms",
        "Priority": 1,
        "NumAttempts": 2,
    }
    routes = [
        {**spec, "Prefix": "/safe/", "Kind": "safe", "Service": "one", **changes},
        {**spec, "Prefix": "/unsafe/", "Kind": "unsafe", "Service": "one", **changes},
        {
            **spec,
            "Prefix": "/open/",
            "Kind": "safe",
            "Service": "two",
            "AuthExempt": True,
        },
    ]
    tenant = {"ApiKeys": list(keys), "Priority": 1, "RatePerS": rate, "Burst": rate}
    entries = [("Routes", f"r{number}", route) for number, route in enumerate(routes)]
    service = {"MaxConnections": 50, "HealthCheckPath": HEALTH_PATH}
    service |= service_changes or {}
    entries += [("Services", name, service) for name in ("one", "two")]
    entries += [("Tenants", "t", tenant)]
    resources = [
        {"Type": kind, "Metadata": {"Name": name}, "Spec": body}
        for kind, name, body in entries
    ]
    return {"Version": version, "Resources": resources}


def _settings(
    name: str, backend: Backend, store: PeerAddress, changes: dict[str, Any]
) -> MeshSettings:
    values: dict[str, Any] = {
        "instance": name,
        "failure_domain": "zone",
        "pool": backend.pool,
        "callers": reserve_address(),
        "control": reserve_address(),
        "readiness": reserve_address(),
        "peers": reserve_address(),
        "metrics": reserve_address(),
        "server": backend.address,
        "store": store,
        "drain_s": 2.0,
        "grace_s": 4.0,
        "revoke_s": 5.0,
        "retry_ratio": 0.2,
        "retry_slack": 50.0,
        "quota_overage": 0.1,
        "quota_slack": 20.0,
    }
    return MeshSettings(**{**values, **changes})
