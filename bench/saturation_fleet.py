"""Daemons, store and workers of the saturation measurement, and stops of daemons."""

import asyncio
import contextlib
import itertools
import json
import resource
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Self

from bench.saturation_callers import Load
from bench.saturation_calls import POOLS, StepReport, make_set
from bench.saturation_server import ServerSpec
from bench.saturation_worker import (
    Ask,
    SaturationWorkerOptions,
    run_saturation_worker,
)
from damaskbay.adapters.http1.server import HttpServer
from damaskbay.config.objects import CallerLimits
from damaskbay.platform.const import CONFIG_KEY
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HOST
from tests.platform.kv_stand_in import KvStandIn
from tests.soak.daemons import MachineDaemon, MachineOptions
from tests.soak.processes import read_cores_s
from tests.soak.records import Stop
from tests.soak.workers import WorkerProcess

DOMAINS = ("a", "b", "c")
GRACE_S = 6.0
READY_INTERVAL_S = 0.1
FIRST_START_S = 90.0
MAX_READY_S = 20.0
"""Longest time, seconds, for which a start is waited for."""

STOP_INTERVAL_S = 1.5
GROUP, GROUP_INTERVAL = 4, 3
"""Daemons that are stopped at once in each third place of a series of stops."""

BLOCKED, LINK_LOST = "event loop was blocked", "link is lost"


@dataclass(frozen=True)
class FleetOptions:
    """Size of a fleet; its daemons run on `cores`, the workers on `worker_cores`."""

    seed: int
    machines: int
    workers: int
    slots: int
    cores: frozenset[int]
    worker_cores: frozenset[int]


@dataclass
class StepObservation:
    """
    What was seen of the daemons in a step of load, and the reports of workers.

    `daemon_cores` is what the daemons had of their cores, `other_cores` what other
    processes had, and `stolen_cores` what the host of the machine took.
    """

    started_at: float
    load: Load
    reports: list[StepReport] = field(default_factory=list)
    stops_by_machine: dict[str, list[Stop]] = field(default_factory=dict)
    late_ends: list[str] = field(default_factory=list)
    own_ends: list[str] = field(default_factory=list)
    ready_times: list[float] = field(default_factory=list)
    never_ready: list[str] = field(default_factory=list)
    daemon_cores: float = 0.0
    other_cores: float = 0.0
    stolen_cores: float = 0.0
    peak_mib: int = 0
    blocked: int = 0
    links_lost: int = 0


class SaturationFleet:
    """Daemons as processes with their servers and callers; a context manager."""

    def __init__(self, options: FleetOptions, folder: Path) -> None:
        self._options, self._folder = options, folder
        self._kv = KvStandIn()
        self._store = HttpServer(
            PeerAddress(HOST, 0), self._kv.serve, CallerLimits(idle_timeout_s=600.0)
        )
        self._stack = contextlib.AsyncExitStack()
        self._machines: list[MachineDaemon] = []
        self._workers = [
            WorkerProcess(
                SaturationWorkerOptions(
                    f"w{number}", options.seed, options.worker_cores
                ),
                run_saturation_worker,
            )
            for number in range(options.workers)
        ]

    async def __aenter__(self) -> Self:
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._store)
            for worker in self._workers:
                await stack.enter_async_context(worker)
                stack.callback(worker.tell, Ask("finish"))
            await self._kv.put(CONFIG_KEY, json.dumps(make_set(1)).encode())
            for number in range(self._options.machines):
                self._machines.append(await self._start_machine(number, stack))
            async with asyncio.timeout(FIRST_START_S):
                for machine in self._machines:
                    while not await machine.is_ready():
                        await asyncio.sleep(READY_INTERVAL_S)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(exc_type, exc, traceback)

    async def _start_machine(
        self, number: int, stack: contextlib.AsyncExitStack
    ) -> MachineDaemon:
        options = MachineOptions(
            f"m{number}",
            DOMAINS[number % len(DOMAINS)],
            POOLS[number % len(POOLS)],
            GRACE_S,
            long_share=0.0,
            nested=None,
            cores=self._options.cores,
            slots=self._options.slots,
        )
        machine = MachineDaemon(options, self._folder)
        machine.store_address = self._store.address
        worker = self._workers[number % len(self._workers)]
        spec = ServerSpec(machine.name, machine.caller_address)
        machine.server_address = await worker.ask(Ask("add", spec))
        await machine.start(stack)
        return machine

    async def run_step(self, load: Load, *, with_stops: bool) -> StepObservation:
        """Run a step of load; return what was seen once all requests have ended."""
        seen = StepObservation(time.monotonic(), load)
        before = {one.name: one.log_path.stat().st_size for one in self._machines}
        ends = {
            one.name: (len(one.stops), len(one.late_ends), len(one.own_ends))
            for one in self._machines
        }
        for machine in self._machines:
            machine.peak_kib = 0
        tasks = [asyncio.create_task(self._measure_processor(seen))]
        if with_stops:
            tasks.append(asyncio.create_task(self._stop_in_turn(seen)))
        seen.reports = await asyncio.gather(
            *(worker.ask(Ask("load", self._share(load))) for worker in self._workers)
        )
        await asyncio.gather(*tasks)
        for machine in self._machines:
            stops, late, own = ends[machine.name]
            seen.stops_by_machine[machine.name] = machine.stops[stops:]
            seen.late_ends += [f"{machine.name} {x}" for x in machine.late_ends[late:]]
            seen.own_ends += [f"{machine.name} {x}" for x in machine.own_ends[own:]]
            seen.peak_mib = max(seen.peak_mib, machine.peak_kib // 1024)
            with machine.log_path.open("rb") as log:
                log.seek(before[machine.name])
                text = log.read().decode(errors="replace")
            seen.blocked += text.count(BLOCKED)
            seen.links_lost += text.count(LINK_LOST)
        return seen

    def _share(self, load: Load) -> Load:
        """Return the part of a load that one worker has."""
        rate_per_s = load.rate_per_s / len(self._workers)
        return Load(load.seconds, rate_per_s, load.callers, load.obey_share)

    async def _measure_processor(self, seen: StepObservation) -> None:
        """Measure how much of a core the daemons use while the load lasts."""
        cores = self._options.cores
        before_s, (busy_before_s, stolen_before_s) = (
            self._processor_s(),
            read_cores_s(cores),
        )
        await asyncio.sleep(seen.load.seconds)
        elapsed_s = time.monotonic() - seen.started_at
        used_s = self._processor_s() - before_s
        busy_s, stolen_s = read_cores_s(cores)
        seen.daemon_cores = used_s / elapsed_s
        seen.other_cores = max(0.0, busy_s - busy_before_s - used_s) / elapsed_s
        seen.stolen_cores = (stolen_s - stolen_before_s) / elapsed_s

    def _processor_s(self) -> float:
        """Return the processor time of all daemons, also of those that have ended."""
        ended = resource.getrusage(resource.RUSAGE_CHILDREN)
        running = sum(machine.processor_s for machine in self._machines)
        return ended.ru_utime + ended.ru_stime + running

    async def _stop_in_turn(self, seen: StepObservation) -> None:
        """Stop one daemon after the other, and sometimes a group, until the end."""
        ends_at = seen.started_at + seen.load.seconds
        machines = itertools.cycle(self._machines)
        await asyncio.sleep(STOP_INTERVAL_S)
        async with asyncio.TaskGroup() as group:
            for number in itertools.count(1):
                if time.monotonic() >= ends_at:
                    break
                size = GROUP if number % GROUP_INTERVAL == 0 else 1
                for machine in itertools.islice(machines, size):
                    group.create_task(self._restart(machine, seen))
                await asyncio.sleep(STOP_INTERVAL_S)

    async def _restart(self, machine: MachineDaemon, seen: StepObservation) -> None:
        """Stop a daemon, start it again and wait until it is ready."""
        if await machine.stop_daemon() is None:
            return
        await machine.start_daemon()
        started_at = time.monotonic()
        while time.monotonic() < started_at + MAX_READY_S:
            if await machine.is_ready():
                seen.ready_times.append(time.monotonic() - started_at)
                return
            await asyncio.sleep(READY_INTERVAL_S)
        seen.never_ready.append(machine.name)
