"""Processes of a site's backend servers and callers, apart from its daemons."""

import asyncio
import multiprocessing
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from multiprocessing.connection import Connection
from random import Random
from types import TracebackType
from typing import Any, Self

import uvloop

from damaskbay.ports.peer import PeerAddress
from tests.soak.callers import RequestSource
from tests.soak.planned import LagRecorder
from tests.soak.promises import InvariantChecker
from tests.soak.proxy import LoopbackProxy
from tests.soak.records import Execution, ExecutionLog, SentRequest
from tests.soak.servers import ServerOptions, SoakServer
from tests.soak.site_callers import CallerCounts, SiteCallers

SERVER_HEADERS = ("api-key", "x-tenant", "x-caller-service")
"""Headers of executions that are checked at the end of a run."""

END_S = 10.0
"""Seconds that a worker has to end after its report."""


@dataclass(frozen=True)
class WorkerOptions:
    """
    Options of one worker.

    `has_proxies` puts a proxy before each server.
    """

    name: str
    seed: int
    timeout_s: float
    workspaces_by_key: dict[str, str]
    counts: CallerCounts
    has_proxies: bool


@dataclass(frozen=True)
class Command:
    """What a worker shall do; `action` is the name of a method of _Worker."""

    action: str
    machine: str = ""
    value: Any = None


@dataclass
class WorkerReport:
    """What the callers and servers of a worker saw."""

    requests: list[SentRequest]
    executions: dict[str, list[Execution]]
    lag: LagRecorder
    violations: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)


@dataclass
class _Place:
    """The server and the callers of one machine."""

    name: str
    pool: str
    caller_address: PeerAddress
    options: ServerOptions
    server: SoakServer
    stopping: bool = False
    proxy: LoopbackProxy | None = None
    callers: asyncio.Task[None] | None = None


class _Worker:
    """Runs servers and callers as its commands say."""

    def __init__(self, options: WorkerOptions, connection: Connection) -> None:
        self._options = options
        self._connection = connection
        self._rng = Random(f"{options.seed} {options.name}")
        self._executions = ExecutionLog()
        self._checker = InvariantChecker(self._executions, options.workspaces_by_key)
        self._source = RequestSource(
            f"s{options.seed}{options.name}", self._rng, options.timeout_s
        )
        self._places: dict[str, _Place] = {}
        self._ended_servers: list[SoakServer] = []
        self._lag = LagRecorder()

    async def run(self) -> None:
        """Obey commands until `finish`, which sends the report."""
        lag_task = asyncio.create_task(self._lag.run())
        with ThreadPoolExecutor(1) as pool:
            loop = asyncio.get_running_loop()
            while True:
                command = await loop.run_in_executor(pool, self._connection.recv)
                if command.action == "finish":
                    break
                await getattr(self, command.action)(command)
        lag_task.cancel()
        for place in self._places.values():
            self._stop_callers(place)
        # Executions that a caller no longer waits for come to their end.
        await asyncio.sleep(1.0)
        self._connection.send(self._report())

    def _report(self) -> WorkerReport:
        for executions in self._executions.executions.values():
            for execution in executions:
                execution.headers = {
                    name: execution.headers[name]
                    for name in SERVER_HEADERS
                    if name in execution.headers
                }
        servers = [place.server for place in self._places.values()]
        nested = [
            sent
            for server in (*self._ended_servers, *servers)
            for sent in server.nested
        ]
        return WorkerReport(
            self._source.requests + nested,
            self._executions.executions,
            self._lag,
            self._checker.violations,
            self._checker.statuses,
        )

    async def add(self, command: Command) -> None:
        """Start the server of a machine; send the address at which it is reached."""
        options: ServerOptions = command.value
        server = SoakServer(options, self._executions, self._rng)
        await server.__aenter__()
        options = replace(options, port=server.address.port)
        place = _Place(options.machine, options.pool, options.daemon, options, server)
        if self._options.has_proxies:
            place.proxy = LoopbackProxy(server.address)
            await place.proxy.__aenter__()
        self._places[options.machine] = place
        self._connection.send(place.proxy.address if place.proxy else server.address)

    async def call(self, command: Command) -> None:
        """Start the callers of a machine."""
        place = self._places[command.machine]
        callers = SiteCallers(
            place, self._source, self._rng, self._checker.check_response
        )
        place.callers = asyncio.create_task(callers.run_all(self._options.counts))

    async def stop_callers(self, command: Command) -> None:
        """Stop the callers of a machine."""
        self._stop_callers(self._places[command.machine])

    async def leave_server(self, command: Command) -> None:
        """Let the responses of a server say that it leaves."""
        self._places[command.machine].server.leaving = True

    async def end_server(self, command: Command) -> None:
        """End the server of a machine as if it was killed."""
        self._places[command.machine].server.reset_all()

    async def start_server(self, command: Command) -> None:
        """Start another server at the address of one that has ended."""
        place = self._places[command.machine]
        self._ended_servers.append(place.server)
        await place.server.__aexit__(None, None, None)
        place.server = SoakServer(place.options, self._executions, self._rng)
        place.server.server = command.value
        await place.server.__aenter__()

    async def remove(self, command: Command) -> None:
        """End the server and the callers of a machine for good."""
        place = self._places[command.machine]
        self._stop_callers(place)
        place.server.reset_all()

    async def reset_links(self, command: Command) -> None:
        """Reset the connections to a server."""
        proxy = self._places[command.machine].proxy
        if proxy is not None:
            proxy.reset_all()

    async def silence_links(self, command: Command) -> None:
        """Let the open connections to a server go silent."""
        proxy = self._places[command.machine].proxy
        if proxy is not None:
            proxy.silence_open()

    def _stop_callers(self, place: _Place) -> None:
        """Stop the callers of a machine; if they have failed, the run has, too."""
        task, place.callers = place.callers, None
        if task is None:
            return
        if task.done() and not task.cancelled():
            self._checker.violations.append(
                f"callers of {place.name} failed: {task.exception()!r}"
            )
        task.cancel()


def run_worker(options: WorkerOptions, connection: Connection) -> None:
    """Run a worker; the entry of its process."""
    uvloop.run(_Worker(options, connection).run())


class WorkerProcess:
    """Process that runs `entry`, a worker's; an async context manager."""

    def __init__(
        self, options: Any, entry: Callable[[Any, Connection], None] = run_worker
    ) -> None:
        self._connection, self._child_connection = multiprocessing.Pipe()
        context = multiprocessing.get_context("spawn")
        self._process = context.Process(
            target=entry, args=(options, self._child_connection)
        )
        self._pool = ThreadPoolExecutor(1)
        self._replies = asyncio.Lock()

    async def __aenter__(self) -> Self:
        self._process.start()
        self._child_connection.close()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if exc_type is not None:
            self._process.terminate()
        await self._in_thread(lambda: self._process.join(END_S))
        if self._process.is_alive():
            self._process.kill()
        self._connection.close()
        self._pool.shutdown(wait=False)

    def tell(self, command: Any) -> None:
        """Send a command that has no reply."""
        self._connection.send(command)

    async def ask(self, command: Any) -> Any:
        """Send a command and return its reply; raise EOFError if the worker ended."""
        async with self._replies:
            self._connection.send(command)
            return await self._in_thread(self._connection.recv)

    async def _in_thread(self, function: Callable[[], Any]) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self._pool, function)
