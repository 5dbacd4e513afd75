"""Process of servers and callers of the saturation measurement."""

import asyncio
import contextlib
import os
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from multiprocessing.connection import Connection
from random import Random
from typing import Any

import uvloop

from bench.saturation_callers import Callers, Load, Target
from bench.saturation_calls import StepReport, WorkerState
from bench.saturation_server import SaturationServer, ServerSpec
from damaskbay.ports.peer import PeerAddress
from tests.soak.planned import LagRecorder


@dataclass(frozen=True)
class SaturationWorkerOptions:
    """Name, seed and cores of a worker."""

    name: str
    seed: int
    cores: frozenset[int]


@dataclass(frozen=True)
class Ask:
    """What a worker shall do: `action` is the name of a method of _Worker."""

    action: str
    value: Any = None


class _Worker:
    """Runs servers and callers as it is asked to; each method returns a reply."""

    def __init__(self, options: SaturationWorkerOptions) -> None:
        self._name = options.name
        self._rng = Random(f"{options.seed} {options.name}")
        self._state = WorkerState()
        self._servers: list[SaturationServer] = []
        self._stack = contextlib.AsyncExitStack()
        self._steps = 0

    async def run(self, connection: Connection) -> None:
        """Do what is asked until `finish`."""
        loop = asyncio.get_running_loop()
        with ThreadPoolExecutor(1) as pool:
            async with self._stack:
                while True:
                    ask = await loop.run_in_executor(pool, connection.recv)
                    if ask.action == "finish":
                        break
                    connection.send(await getattr(self, ask.action)(ask.value))

    async def add(self, spec: ServerSpec) -> PeerAddress:
        """Start the server of a machine; return its address."""
        server = SaturationServer(spec, self._state, self._rng)
        self._servers.append(await self._stack.enter_async_context(server))
        return server.address

    async def load(self, load: Load) -> StepReport:
        """Run a step of load and return what was seen once all of it has ended."""
        self._steps += 1
        self._state.report = StepReport()
        self._state.lag = LagRecorder()
        lag_task = asyncio.create_task(self._state.lag.run())
        spent_s = time.process_time()
        targets = [Target(one.machine, one.daemon) for one in self._servers]
        name = f"{self._name}-{self._steps}"
        await Callers(name, targets, self._state, self._rng).run(load)
        lag_task.cancel()
        report = self._state.report
        report.processor_s = time.process_time() - spent_s
        report.longest_lag_s = self._state.lag.longest_s
        return report


def run_saturation_worker(
    options: SaturationWorkerOptions, connection: Connection
) -> None:
    """Run a worker; the entry of its process."""
    os.sched_setaffinity(0, options.cores)
    uvloop.run(_Worker(options).run(connection))
