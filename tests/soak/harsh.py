"""Faults that bring signals, memory and descriptors of daemons to their limits."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from tests.soak.callers import MachineCallers, RequestSource, send_once
from tests.soak.daemons import TORN_WRITE_RANGE_S
from tests.soak.machines import Machine
from tests.soak.promises import InvariantChecker

BIG_CONFIG_ROUTES = (350, 2000)
SIGNALS_RANGE = (1, 12)
"""Number of SIGHUPs in one series."""

SIGNAL_SHARE = 0.3
"""Part of the series, 0 to 1, with changed settings or a restart."""

Fault = Callable[[Machine], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class HarshParts:
    """
    What the faults act on.

    `stop` stops a daemon and starts it again. `publish` publishes a set with so many
    routes more.
    """

    machines: Sequence[Machine]
    source: RequestSource
    checker: InvariantChecker
    rng: Random
    caller_rng: Random
    stop: Fault
    publish: Callable[[int], Awaitable[None]]


class HarshFaults:
    """Faults by method; each begins at once and ends by itself."""

    def __init__(self, parts: HarshParts) -> None:
        self._parts = parts
        self._machines, self._rng = parts.machines, parts.rng
        self._source, self._checker = parts.source, parts.checker

    def planned(self) -> list[Fault]:
        """Return the faults that are planned work."""
        return [
            self._hang_up,
            self._hang_up_several,
            self._tear_settings,
            self._big_config,
            self._shift,
        ]

    def unplanned(self) -> list[Fault]:
        """Return the faults of servers, of the store and of callers."""
        return [self._reset_store, self._endless, self._upload]

    async def _hang_up(self, machine: Machine) -> None:
        """Send a series of SIGHUPs, some of them with changed settings."""
        for _ in range(self._rng.randint(*SIGNALS_RANGE)):
            if self._rng.random() < SIGNAL_SHARE:
                machine.change_settings(with_signal=False)
            machine.hang_up()
            await asyncio.sleep(self._rng.expovariate(10.0))

    async def _hang_up_several(self, _machine: Machine) -> None:
        """Restart a machine while series of SIGHUPs meet it and others."""
        count = self._rng.randint(2, max(2, len(self._machines) // 2))
        machines = self._rng.sample(self._machines, count)
        async with asyncio.TaskGroup() as group:
            for machine in machines:
                group.create_task(self._hang_up(machine))
                await asyncio.sleep(self._rng.uniform(0.0, 0.3))
            group.create_task(self._parts.stop(machines[0]))
            for _ in range(SIGNALS_RANGE[1]):
                await asyncio.sleep(self._rng.uniform(0.0, 1.0))
                machines[0].hang_up()

    async def _tear_settings(self, machine: Machine) -> None:
        """Write the settings file in place, during a restart, too."""
        empty_s = self._rng.uniform(*TORN_WRITE_RANGE_S)
        if self._rng.random() < SIGNAL_SHARE:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._parts.stop(machine))
                group.create_task(machine.tear_settings(empty_s))
            return
        await machine.tear_settings(empty_s)

    async def _big_config(self, _machine: Machine) -> None:
        """Publish a set with many more routes, and go back some time later."""
        await self._parts.publish(self._rng.choice(BIG_CONFIG_ROUTES))
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        await self._parts.publish(0)

    async def _shift(self, machine: Machine) -> None:
        """Let many more callers come to one machine for some seconds."""
        callers = MachineCallers(
            machine,
            self._source,
            self._parts.caller_rng,
            self._checker.check_response,
            1.0,
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._rng.uniform(1.0, 4.0)):
                async with asyncio.TaskGroup() as group:
                    for _ in range(self._rng.randint(2, 6)):
                        group.create_task(callers.run(pipelines=True))

    async def _reset_store(self, machine: Machine) -> None:
        """Reset the connections to the store, in series."""
        for _ in range(self._rng.randint(1, 5)):
            machine.reset_store_connections()
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))

    async def _endless(self, machine: Machine) -> None:
        """Let a server send bodies in short chunks without an end."""
        with machine.disturbed_server():
            machine.proxy.faults.endless = True
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            machine.proxy.faults.endless = False

    async def _upload(self, machine: Machine) -> None:
        """Let callers send long bodies at the same time."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self._rng.randint(1, 6)):
                group.create_task(self._send_upload(machine))

    async def _send_upload(self, machine: Machine) -> None:
        sent, request = self._source.new(machine, "unsafe", ["k1"])
        body = bytes(self._rng.randint(1, 7) * 1024 * 1024)
        await send_once(machine, sent, replace(request, body=body))
        self._checker.check_response(sent)
