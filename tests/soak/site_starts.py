"""Faults around the starts of daemons: ports, settings and the store."""

import asyncio
import signal

from tests.soak.daemons import TORN_WRITE_RANGE_S
from tests.soak.site_faults import MachineFault, SiteFault, SiteParts
from tests.soak.site_machines import SiteMachine

STORE_FAULTS = ("status_503", "status_429", "no_response", "slow", "lost_response")


class StartFaults:
    """Faults by method; `stop` stops a daemon and starts it again."""

    def __init__(
        self, parts: SiteParts, stop: MachineFault, start: MachineFault
    ) -> None:
        self._parts, self._rng = parts, parts.rng
        self._stop, self._start = stop, start

    def planned(self) -> list[SiteFault]:
        """Return the faults that are planned work."""
        return [self._take_port, self._tear_settings, self._tear_settings]

    def unplanned(self) -> list[SiteFault]:
        """Return the faults of the store."""
        return [self._start_without_store]

    async def _take_port(self) -> None:
        """Start daemons while another program has one of their ports."""
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.some(3):
                group.create_task(self._start_without_port(machine))

    async def _start_without_port(self, machine: SiteMachine) -> None:
        self._parts.record("stop, port taken", machine.name)
        in_time = await machine.stop_daemon()
        if in_time is None:
            return
        if not in_time:
            self._parts.late_stops.append(machine.name)
        async with asyncio.TaskGroup() as group:
            with machine.taken_port(self._rng.choice(["control", "readiness"])):
                group.create_task(self._start(machine))
                await asyncio.sleep(self._rng.uniform(0.2, 3.0))

    async def _tear_settings(self) -> None:
        """Write settings files in place, also while their daemons stop and start."""
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.some(3):
                self._parts.record("settings are written", machine.name)
                if self._rng.random() < 0.6:
                    group.create_task(self._stop(machine))
                group.create_task(self._write_settings(machine))

    async def _write_settings(self, machine: SiteMachine) -> None:
        for _ in range(self._rng.randint(1, 5)):
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            if self._rng.random() < 0.5:
                machine.change_settings(with_signal=self._rng.random() < 0.5)
            else:
                await machine.tear_settings(self._rng.uniform(*TORN_WRITE_RANGE_S))

    async def _start_without_store(self) -> None:
        """Start daemons, after a stop or a kill, while the store is not available."""
        is_of_all = self._rng.random() < 0.3
        machines = self._parts.present if is_of_all else self._parts.some(4)
        fault = self._rng.choice(STORE_FAULTS)
        async with asyncio.TaskGroup() as group:
            for machine in machines:
                self._parts.record(f"store {fault} at a start", machine.name)
                machine.store.fault = fault
                group.create_task(self._restart(machine))
            await asyncio.sleep(self._rng.uniform(0.5, 6.0))
            for machine in machines:
                machine.store.fault = None

    async def _restart(self, machine: SiteMachine) -> None:
        if self._rng.random() < 0.5:
            await self._stop(machine)
            return
        with machine.disturbed():
            machine.send_signal(signal.SIGKILL)
            await machine.wait()
            await self._start(machine)
