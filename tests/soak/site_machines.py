"""Machines of a site, whose servers and callers run in workers."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Self

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HOST
from tests.soak.daemons import MachineDaemon, MachineOptions
from tests.soak.proxy import LoopbackProxy
from tests.soak.servers import ServerOptions
from tests.soak.workers import Command, WorkerProcess

SERVICE_RANGE_S = (0.005, 0.22)
BODY_RANGE = (400, 30_000)


class SiteMachine(MachineDaemon):
    """
    Daemon process of a site; an async context manager.

    With `has_proxies`, proxies stand between it and the store, and between other
    daemons and it. `ready_times` holds how long its starts took until it was ready, in
    seconds, `removed_at` when it was taken away for good.
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
        self.store_proxy: LoopbackProxy | None = None
        self.peer_proxy: LoopbackProxy | None = None
        self._has_proxies = has_proxies
        self._store_server = HttpServer(
            PeerAddress(HOST, 0), store, CallerLimits(idle_timeout_s=600.0)
        )
        self._stack = contextlib.AsyncExitStack()
        self._ready_tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._store_server)
        self.store_address = self._store_server.address
        if self._has_proxies:
            self.store_proxy = LoopbackProxy(self._store_server.address)
            await self._stack.enter_async_context(self.store_proxy)
            self.store_address = self.store_proxy.address
            self.peer_proxy = LoopbackProxy(PeerAddress(self._host, self._first_port))
            await self._stack.enter_async_context(self.peer_proxy)
            self.advertised = self.peer_proxy.address
        server_options = ServerOptions(
            self.name,
            self.pool,
            self.caller_address,
            self._options.long_share,
            self._options.makes_nested_calls,
            SERVICE_RANGE_S,
            BODY_RANGE,
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

    async def remove(self) -> None:
        """Take the machine away for good, with its server and callers."""
        self.removed_at = time.monotonic()
        self.tell_worker("remove")
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await self.kill()

    def end_server(self) -> None:
        """End the server as if it was killed; it reports no more."""
        self.server_runs = False
        self.tell_worker("end_server")
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    def start_server(self) -> None:
        """Start another server, with another id, at the same address."""
        self.server_runs = True
        number = int(self.server_id.rpartition("-")[2]) + 1
        self.server_id = f"i-{self.name}-{number}"
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.tell_worker("start_server", self.server_id)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
