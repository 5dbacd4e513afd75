"""Machines of a site, whose servers and callers run in workers."""

import asyncio
import contextlib
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from types import TracebackType
from typing import Self

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HOST
from tests.soak.daemons import MachineDaemon, MachineOptions, record_disturbance
from tests.soak.machines import FaultyStore
from tests.soak.proxy import LoopbackProxy
from tests.soak.servers import ServerOptions
from tests.soak.workers import Command, WorkerProcess

SERVICE_RANGE_S = (0.005, 0.22)
BODY_RANGE = (400, 30_000)
BIG_RANGE = (1024 * 1024, 7 * 1024 * 1024)


class SiteMachine(MachineDaemon):
    """
    Daemon process of a site; an async context manager.

    With `has_proxies`, `proxies` stand between it and the store, and between other
    daemons and it. `store` injects faults of the store. `left_servers` holds the ids
    of servers that left, with the time of the daemon's acknowledgement, `ready_times`
    how long its starts took until it was ready, in seconds, `removed_at` when it was
    taken away for good.
    """

    def __init__(
        self,
        options: MachineOptions,
        worker: WorkerProcess,
        store: Callable[[ReceivedRequest], Awaitable[Response]],
        folder: Path,
        *,
        has_proxies: bool,
    ) -> None:
        super().__init__(options, folder)
        self.worker = worker
        self.ready_times: list[float] = []
        self.removed_at: float | None = None
        self.server_runs = True
        self.left_servers: list[tuple[str, float]] = []
        self.has_allotment = False
        self.proxies: dict[str, LoopbackProxy] = {}
        self.store = FaultyStore(store)
        self._has_proxies = has_proxies
        self._store_server = HttpServer(
            PeerAddress(HOST, 0), self.store.serve, CallerLimits(idle_timeout_s=600.0)
        )
        self._stack = contextlib.AsyncExitStack()
        self._ready_tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._store_server)
        self.store_address = self._store_server.address
        if self._has_proxies:
            self.store_address = await self._add_proxy(
                "store", self._store_server.address
            )
            self.advertised = await self._add_proxy(
                "peers", PeerAddress(self._host, self._first_port)
            )
        server_options = ServerOptions(
            self.name,
            self.pool,
            self.caller_address,
            self._options.long_share,
            self._options.nested,
            SERVICE_RANGE_S,
            BODY_RANGE,
            BIG_RANGE,
        )
        self.server_address = await self.worker.ask(
            Command("add", self.name, server_options)
        )
        await self.start(self._stack)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._ready_tasks:
            task.cancel()
        await self._stack.aclose()

    async def _add_proxy(self, name: str, target: PeerAddress) -> PeerAddress:
        """Start a proxy before an address; return its own address."""
        proxy = LoopbackProxy(target)
        self.proxies[name] = await self._stack.enter_async_context(proxy)
        return proxy.address

    async def start_daemon(self) -> None:
        """Start the daemon process unless it runs; measure the time until ready."""
        started_at = time.monotonic()
        await super().start_daemon()
        task = asyncio.create_task(self._measure_start(started_at))
        self._ready_tasks.add(task)
        task.add_done_callback(self._ready_tasks.discard)

    async def _measure_start(self, started_at: float) -> None:
        process = self._process
        while self.running and self._process is process and not self.stopping:
            if await self.is_ready():
                self.ready_times.append(time.monotonic() - started_at)
                return
            await asyncio.sleep(0.1)

    def tell_worker(self, action: str, value: object = None) -> None:
        """Send the worker a command for this machine."""
        self.worker.tell(Command(action, self.name, value))

    @contextlib.contextmanager
    def on_allotment(self) -> Iterator[None]:
        """Record an allotment of the daemon's processor; let it run after that."""
        self.has_allotment = True
        try:
            with record_disturbance(self.standstills):
                yield
        finally:
            self.has_allotment = False
            self.send_signal(signal.SIGCONT)

    @contextlib.contextmanager
    def taken_port(self, name: str) -> Iterator[None]:
        """Let another program have the "control" or "readiness" port if it is free."""
        address = {
            "control": self._control_address,
            "readiness": self._readiness_address,
        }[name]
        try:
            taken = socket.create_server((address.host, address.port))
        except OSError:
            # Another fault has started the daemon again.
            yield
            return
        with taken:
            yield

    async def leave(self, *, drains: bool) -> bool:
        """Report the server as draining, or deregister it; return if that worked."""
        if drains:
            self.state = "draining"
            return await self._send_heartbeat()
        self._stop_heartbeats()
        return await self._deregister()

    async def remove(self) -> None:
        """Take the machine away for good, with its server and callers."""
        self.removed_at = time.monotonic()
        self.tell_worker("remove")
        self._stop_heartbeats()
        await self.kill()

    def end_server(self) -> None:
        """End the server as if it was killed; it reports no more."""
        self.server_runs = False
        self.tell_worker("end_server")
        self._stop_heartbeats()

    def start_server(self) -> None:
        """Start another server, with another id, at the same address."""
        self.server_runs = True
        self.state = "ready"
        number = int(self.server_id.rpartition("-")[2]) + 1
        self.server_id = f"i-{self.name}-{number}"
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.tell_worker("start_server", self.server_id)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def _stop_heartbeats(self) -> None:
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
