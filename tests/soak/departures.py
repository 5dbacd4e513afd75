"""Servers that leave around outages of the store and kills of their daemons."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence

from tests.soak.daemons import DRAIN_S, record_disturbance
from tests.soak.harsh import Fault
from tests.soak.machines import Machine
from tests.soak.promises import InvariantChecker

INTERVAL_S = 4.0
"""Mean time between two departures, seconds."""

OUTAGES = ("status_503", "status_429", "no_response", "lost_response")
OUTAGE_RANGE_S = (0.5, 5.0)
DELAY_RANGE_S = (0.2, 3.5)
"""How late a report from before a departure arrives, seconds."""

KILL_DELAY_S = 1.0
"""Longest time from an acknowledged departure to the kill of its daemon, seconds."""

SERVES_ON_S = 6.0
"""Time from an acknowledged departure to the end of its server, seconds."""


class Departures:
    """
    Lets servers leave; outage, kill and a late report come in each order.

    `kill` kills a daemon and starts it again.
    """

    def __init__(
        self,
        machines: Sequence[Machine],
        checker: InvariantChecker,
        rng: random.Random,
        kill: Fault,
        record_event: Callable[[str, Machine], None],
    ) -> None:
        self._machines = machines
        self._checker = checker
        self._rng = rng
        self._kill = kill
        self._record_event = record_event

    async def run(self, duration_s: float) -> None:
        """Begin departures at random times for a while; each ends by itself."""
        end = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                await asyncio.sleep(self._rng.expovariate(1.0 / INTERVAL_S))
                machine = self._rng.choice(self._machines)
                if machine.state == "ready":
                    self._record_event("departure", machine)
                    group.create_task(self._depart(machine))

    async def _depart(self, machine: Machine) -> None:
        server, drains = machine.backend.server, self._rng.random() < 0.5
        late_report = machine.make_report()
        hit = list(self._machines) if self._rng.random() < 0.5 else [machine]
        outage_delay_s = self._rng.uniform(-1.0, 1.0)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refuse(hit, max(0.0, outage_delay_s)))
            await asyncio.sleep(max(0.0, -outage_delay_s))
            acked_at = await machine.leave(drains=drains)
            delay_s = self._rng.uniform(*DELAY_RANGE_S)
            group.create_task(self._send_late(machine, late_report, delay_s))
            killed = hit if self._rng.random() < 0.3 else [machine]
            await asyncio.sleep(self._rng.uniform(0.0, KILL_DELAY_S))
            for one in killed:
                group.create_task(self._kill(one))
            await asyncio.sleep(SERVES_ON_S)
        if acked_at is not None:
            self._checker.check_drained(server, acked_at, DRAIN_S)
        machine.replace_server()

    async def _refuse(self, machines: Sequence[Machine], delay_s: float) -> None:
        """Let the store be away for some machines."""
        await asyncio.sleep(delay_s)
        fault = self._rng.choice(OUTAGES)
        with contextlib.ExitStack() as stack:
            for machine in machines:
                stack.enter_context(record_disturbance(machine.store_disturbances))
                machine.faulty_store.fault = fault
            await asyncio.sleep(self._rng.uniform(*OUTAGE_RANGE_S))
            for machine in machines:
                machine.faulty_store.fault = None

    async def _send_late(self, machine: Machine, report: bytes, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await machine.send_report(report)
