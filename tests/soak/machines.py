"""Machine of the soak: daemon, backend server and its access to the store."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HOST
from tests.soak.daemons import MachineDaemon, MachineOptions, record_disturbance
from tests.soak.proxy import LoopbackProxy
from tests.soak.records import Disturbance, ExecutionLog
from tests.soak.servers import ServerOptions, SoakServer


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


class Machine(MachineDaemon):
    """Daemon process with its backend server, behind proxies that inject faults."""

    def __init__(
        self,
        options: MachineOptions,
        execution_log: ExecutionLog,
        store: Callable[[ReceivedRequest], Awaitable[Response]],
        folder: Path,
        rng: Random,
    ) -> None:
        super().__init__(options, folder)
        self.faulty_store = FaultyStore(store)
        self.drain_acked_at: float | None = None
        self.server_disturbances: list[Disturbance] = []
        self.store_disturbances: list[Disturbance] = []
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
            options.nested,
        )
        self.backend = SoakServer(server_options, execution_log, rng)
        self.proxy: LoopbackProxy

    def cold_ms(self) -> int:
        """Return how long the server stays cold, in milliseconds."""
        return self.backend.cold.left_ms()

    def report_confirmed(self, cold_ms: int) -> None:
        """Record that the daemon knows of a cold phase."""
        self.backend.cold.record_told(cold_ms)

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start store, backend server and proxy, then the daemon and heartbeats."""
        await stack.enter_async_context(self._store_server)
        await stack.enter_async_context(self.backend)
        self.proxy = LoopbackProxy(self.backend.address)
        await stack.enter_async_context(self.proxy)
        self.server_address = self.proxy.address
        self.store_address = self._store_server.address
        await super().start(stack)

    def disturbed_server(self) -> contextlib.AbstractContextManager[None]:
        """Record a disturbance of the way to the server, which is not sound then."""
        return record_disturbance(self.server_disturbances)

    def reset_store_connections(self) -> None:
        """Reset the daemon's connections to the store."""
        for connection in tuple(self._store_server.connections):
            if connection._transport is not None:
                connection._transport.abort()

    async def drain(self) -> None:
        """Report the server as draining; record when the daemon acknowledged that."""
        self.backend.leaving = True
        self.state = "draining"
        if await self._send_heartbeat():
            self.drain_acked_at = time.monotonic()

    async def leave(self, *, drains: bool) -> float | None:
        """Let the server leave; return when the daemon acknowledged it, if it did."""
        self.backend.leaving = self.backend.leaves_quietly = True
        self.state = "draining" if drains else "gone"
        is_acked = await (self._send_heartbeat() if drains else self._deregister())
        return time.monotonic() if is_acked else None

    def replace_server(self) -> None:
        """Replace the drained server with a new one that has another id."""
        self.backend.leaving = self.backend.leaves_quietly = False
        self.backend.limits.set_limit(None, time.monotonic())
        number = int(self.server_id.rpartition("-")[2]) + 1
        self.server_id = self.backend.server = f"i-{self.name}-{number}"
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.drain_acked_at = None
        self.state = "ready"
