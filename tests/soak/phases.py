"""Cold phases of servers, evacuations of failure domains, and the check of both."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from tests.platform.kv_stand_in import KvStandIn
from tests.soak.machines import Machine
from tests.soak.records import ExecutionLog

EVACUATED_WITHIN_S = 5.0
ARRIVAL_S = 0.8
"""Seconds that a request may take to its server, with the faults on its way."""

EVACUATION_PREFIX = "op/evacuate/"


@dataclass
class Phases:
    """Starts phases at random times; those of one server may overlap."""

    kv: KvStandIn
    machines: Sequence[Machine]
    rng: Random
    record_event: Callable[[str, Machine], None]
    evacuations: list[tuple[str, float, float]] = field(default_factory=list)

    async def run(self, duration_s: float) -> None:
        """Let servers be cold, and evacuate one failure domain for a while."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat(self._cold_phase, duration_s))
            await asyncio.sleep(self.rng.uniform(0.0, 0.3 * duration_s))
            group.create_task(self._evacuate(self.rng.choice(self.machines)))

    async def _repeat(
        self, start: Callable[[Machine], Awaitable[None]], duration_s: float
    ) -> None:
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            await start(self.rng.choice(self.machines))
            await asyncio.sleep(self.rng.expovariate(0.5))

    async def _cold_phase(self, machine: Machine) -> None:
        cold_s = self.rng.uniform(2.0, 4.0)
        self.record_event(f"cold for {cold_s:.1f} s", machine)
        machine.backend.cold.begin(cold_s)

    async def _evacuate(self, machine: Machine) -> None:
        key = EVACUATION_PREFIX + machine.failure_domain
        self.record_event(f"evacuate {machine.failure_domain}", machine)
        await self.kv.put(key, b"{}")
        began_at = time.monotonic()
        await asyncio.sleep(EVACUATED_WITHIN_S + self.rng.uniform(2.0, 4.0))
        span = (machine.failure_domain, began_at, time.monotonic())
        self.evacuations.append(span)
        self.record_event(f"end evacuation {machine.failure_domain}", machine)
        async with self.kv.changed:
            self.kv._remove(key)
            self.kv.changed.notify_all()

    def violations(self, log: ExecutionLog) -> list[str]:
        """Return what broke the bound of a cold server, or reached an evacuated one."""
        found = [
            f"{machine.name}: its cold server got {excess}"
            for machine in self.machines
            for excess in machine.backend.cold.find_excess()
        ]
        for domain, began_at, ended_at in self.evacuations:
            binds_at = began_at + EVACUATED_WITHIN_S + ARRIVAL_S
            connected = {
                machine.name
                for machine in self.machines
                if machine.failure_domain == domain
                and not any(
                    one.touches(began_at, ended_at)
                    for one in (*machine.disturbances, *machine.store_disturbances)
                )
            }
            found += [
                f"{request_id}: reached {execution.server} "
                f"{execution.arrived_at - began_at:.1f} s after its evacuation"
                for request_id, executions in log.executions.items()
                for execution in executions
                if execution.machine in connected
                and binds_at < execution.arrived_at < ended_at
            ]
        return found
