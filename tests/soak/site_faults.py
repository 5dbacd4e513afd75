"""Faults of a site: signals in series, and faults of processes and links."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from tests.soak.harsh import BIG_CONFIG_ROUTES, SIGNALS_RANGE
from tests.soak.records import Disturbance
from tests.soak.site_machines import SiteMachine

SiteFault = Callable[[], Coroutine[Any, Any, None]]
MachineFault = Callable[[SiteMachine], Coroutine[Any, Any, None]]

ALLOTMENT_PERIOD_S = 0.1
STILL_RANGE_S = (0.05, 0.085)
"""Seconds of each period for which a daemon without an allotment stands still."""

ALLOTMENT_RANGE_S = (2.0, 6.0)
EARLY_SIGNAL_RANGE_S = (0.0, 0.6)
"""Seconds after the exec of a process at which it may get SIGHUPs; half at once."""

EARLY_SIGNALS_RANGE = (1, 4)
"""Number of SIGHUPs in a series that meets a start."""

EARLY_SIGNAL_SHARE = 0.5
"""Part of the starts, 0 to 1, that a SIGHUP meets."""

EARLY_STOP_SHARE = 0.15
"""Part of the starts, 0 to 1, that are followed by a stop at once or soon."""

SIGNALS_IN_STOP_SHARE = 0.3
"""Part of the stops, 0 to 1, that a series of SIGHUPs meets."""


@dataclass(frozen=True)
class SiteParts:
    """
    What the faults act on.

    `publish` publishes a set with so many routes more, `add` starts a machine more,
    `record` notes what was done to a machine. `late_stops` takes the names of daemons
    that outlast their grace time.
    """

    machines: Sequence[SiteMachine]
    rng: Random
    publish: Callable[[int], Awaitable[None]]
    add: Callable[[], Awaitable[None]]
    record: Callable[[str, str], None]
    late_stops: list[str]

    @property
    def present(self) -> list[SiteMachine]:
        """Return the machines that have not been removed."""
        return [machine for machine in self.machines if machine.removed_at is None]

    def some(self, most: int) -> list[SiteMachine]:
        """Return up to `most` of the present machines, one at least."""
        present = self.present
        return self.rng.sample(present, self.rng.randint(1, min(most, len(present))))


class SiteFaults:
    """Faults by method; each begins at once and ends by itself."""

    def __init__(self, parts: SiteParts) -> None:
        self._parts, self._rng = parts, parts.rng
        self._is_set_large = False

    def planned(self) -> list[SiteFault]:
        """Return the faults that are planned work."""
        often = [
            self._hang_up_series,
            self._change_set,
            self._stop_one,
            self._stop_series,
            self._stop_beside_set,
        ]
        return [*often, *often, self._stop_all, self._use_up_allotment]

    def unplanned(self) -> list[SiteFault]:
        """Return the faults of processes, links, servers and machines."""
        return [
            self._kill_some,
            self._pause_some,
            self._replace_machine,
        ]

    async def _hang_up_series(self) -> None:
        """Send series of SIGHUPs to some daemons, some with changed settings."""
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.some(4):
                group.create_task(self._hang_up(machine))

    async def _hang_up(self, machine: SiteMachine) -> None:
        self._parts.record("SIGHUP series", machine.name)
        for _ in range(self._rng.randint(*SIGNALS_RANGE)):
            if self._rng.random() < 0.3:
                machine.change_settings(with_signal=False)
            machine.hang_up()
            await asyncio.sleep(self._rng.expovariate(10.0))

    async def _change_set(self) -> None:
        """Publish a set with many more routes, and go back some time later."""
        if self._is_set_large:
            return
        self._is_set_large = True
        count = self._rng.choice(BIG_CONFIG_ROUTES)
        self._parts.record(f"set with {count} routes", "all")
        await self._parts.publish(count)
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        await self._parts.publish(0)
        self._is_set_large = False

    async def _stop_one(self) -> None:
        await self.stop(self._rng.choice(self._parts.present))

    async def _stop_series(self) -> None:
        """Stop some daemons one after the other; the stops overlap."""
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.some(5):
                group.create_task(self.stop(machine))
                await asyncio.sleep(self._rng.uniform(0.0, 1.5))

    async def _stop_beside_set(self) -> None:
        """Publish a set with many routes while some daemons stop."""
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.some(4):
                group.create_task(self.stop(machine))
            await asyncio.sleep(self._rng.uniform(1.0, 2.8))
            await self._change_set()

    async def _stop_all(self) -> None:
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.present:
                group.create_task(self.stop(machine))

    async def stop(self, machine: SiteMachine) -> None:
        """Stop a daemon, sometimes beside SIGHUPs, and start it again."""
        self._parts.record("stop", machine.name)
        async with asyncio.TaskGroup() as group:
            if self._rng.random() < SIGNALS_IN_STOP_SHARE:
                group.create_task(self._hang_up(machine))
            in_time = await machine.stop_daemon()
        if in_time is None:
            return
        if not in_time:
            self._parts.late_stops.append(machine.name)
        await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        await self.start(machine)

    async def start(self, machine: SiteMachine) -> None:
        """Start a daemon unless it runs; SIGHUPs or a stop may meet the start."""
        if machine.running or machine.removed_at is not None:
            return
        await machine.start_daemon()
        if self._rng.random() < EARLY_SIGNAL_SHARE:
            pause_s = self._rng.uniform(*EARLY_SIGNAL_RANGE_S)
            await asyncio.sleep(self._rng.choice([0.0, pause_s]))
            self._parts.record("SIGHUPs after a start", machine.name)
            for _ in range(self._rng.randint(*EARLY_SIGNALS_RANGE)):
                machine.send_signal(signal.SIGHUP)
                await asyncio.sleep(self._rng.expovariate(20.0))
        if self._rng.random() < EARLY_STOP_SHARE:
            await asyncio.sleep(self._rng.choice([0.0, self._rng.uniform(0.0, 2.5)]))
            self._parts.record("stop after a start", machine.name)
            await self.stop(machine)

    async def _use_up_allotment(self) -> None:
        """Let daemons stand still for most of each period, as without allotment."""
        machines = self._rng.choice(
            [self._parts.some(1), self._parts.some(7), self._parts.present]
        )
        still_s = self._rng.uniform(*STILL_RANGE_S)
        until = time.monotonic() + self._rng.uniform(*ALLOTMENT_RANGE_S)
        async with asyncio.TaskGroup() as group:
            for machine in machines:
                group.create_task(self._stand_still(machine, still_s, until))

    async def _stand_still(
        self, machine: SiteMachine, still_s: float, until: float
    ) -> None:
        """Let a daemon stand still in each period; a longer time is a disturbance."""
        if machine.has_allotment:
            return
        self._parts.record(f"stands still for {still_s:.3f} s", machine.name)
        with machine.on_allotment():
            await asyncio.sleep(self._rng.random() * ALLOTMENT_PERIOD_S)
            while time.monotonic() < until:
                stopped_at = time.monotonic()
                machine.send_signal(signal.SIGSTOP)
                await asyncio.sleep(still_s)
                machine.send_signal(signal.SIGCONT)
                if time.monotonic() - stopped_at > ALLOTMENT_PERIOD_S:
                    pause = Disturbance(stopped_at, time.monotonic())
                    machine.disturbances.append(pause)
                await asyncio.sleep(ALLOTMENT_PERIOD_S - still_s)

    async def _kill_some(self) -> None:
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.some(7):
                group.create_task(self._kill(machine))

    async def _kill(self, machine: SiteMachine) -> None:
        self._parts.record("kill", machine.name)
        with machine.disturbed():
            machine.send_signal(signal.SIGKILL)
            await machine.wait()
            await asyncio.sleep(self._rng.uniform(0.05, 0.5))
            await self.start(machine)

    async def _pause_some(self) -> None:
        async with asyncio.TaskGroup() as group:
            for machine in self._parts.some(4):
                group.create_task(self._pause(machine))

    async def _pause(self, machine: SiteMachine) -> None:
        self._parts.record("pause", machine.name)
        with machine.disturbed():
            machine.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.1, 4.0))
            machine.send_signal(signal.SIGCONT)

    async def _replace_machine(self) -> None:
        """Remove a machine for good, with or without SIGTERM; add one elsewhere."""
        if len(self._parts.present) < len(self._parts.machines) / 2:
            return
        machine = self._rng.choice(self._parts.present)
        self._parts.record("removal", machine.name)
        with machine.disturbed():
            if self._rng.random() < 0.5:
                await machine.stop_daemon()
            await machine.remove()
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        await self._parts.add()
