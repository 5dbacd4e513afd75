"""Faults of a site: planned work in series, and faults of processes and links."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from tests.soak.harsh import BIG_CONFIG_ROUTES, SIGNALS_RANGE
from tests.soak.proxy import LoopbackProxy
from tests.soak.site_machines import SiteMachine

SiteFault = Callable[[], Coroutine[Any, Any, None]]

EARLY_SIGNAL_RANGE_S = (0.15, 0.6)
"""Seconds after the start of a process at which it may get SIGHUP."""

EARLY_SIGNAL_SHARE = 0.5
"""Part of the starts, 0 to 1, that a SIGHUP meets."""


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
        return [*often, *often, self._stop_all]

    def unplanned(self) -> list[SiteFault]:
        """Return the faults of processes, links, servers and machines."""
        return [
            self._kill_some,
            self._pause_some,
            self._reset_links,
            self._silence_links,
            self._replace_machine,
            self._end_server_first,
        ]

    @property
    def _present(self) -> list[SiteMachine]:
        return [
            machine for machine in self._parts.machines if machine.removed_at is None
        ]

    def _some(self, most: int) -> list[SiteMachine]:
        present = self._present
        return self._rng.sample(present, self._rng.randint(1, min(most, len(present))))

    async def _hang_up_series(self) -> None:
        """Send series of SIGHUPs to some daemons, some with changed settings."""
        async with asyncio.TaskGroup() as group:
            for machine in self._some(4):
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
        await self._stop(self._rng.choice(self._present))

    async def _stop_series(self) -> None:
        """Stop some daemons one after the other; the stops overlap."""
        async with asyncio.TaskGroup() as group:
            for machine in self._some(5):
                group.create_task(self._stop(machine))
                await asyncio.sleep(self._rng.uniform(0.0, 1.5))

    async def _stop_beside_set(self) -> None:
        """Publish a set with many routes while some daemons stop."""
        async with asyncio.TaskGroup() as group:
            for machine in self._some(4):
                group.create_task(self._stop(machine))
            await asyncio.sleep(self._rng.uniform(1.0, 2.8))
            await self._change_set()

    async def _stop_all(self) -> None:
        async with asyncio.TaskGroup() as group:
            for machine in self._present:
                group.create_task(self._stop(machine))

    async def _stop(self, machine: SiteMachine) -> None:
        """Stop a daemon and start it again; a SIGHUP may meet the start."""
        self._parts.record("stop", machine.name)
        in_time = await machine.stop_daemon()
        if in_time is None:
            return
        if not in_time:
            self._parts.late_stops.append(machine.name)
        await self._start(machine)

    async def _start(self, machine: SiteMachine) -> None:
        await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        if machine.running or machine.removed_at is not None:
            return
        await machine.start_daemon()
        if self._rng.random() < EARLY_SIGNAL_SHARE:
            await asyncio.sleep(self._rng.uniform(*EARLY_SIGNAL_RANGE_S))
            self._parts.record("SIGHUP after a start", machine.name)
            machine.send_signal(signal.SIGHUP)

    async def _kill_some(self) -> None:
        async with asyncio.TaskGroup() as group:
            for machine in self._some(7):
                group.create_task(self._kill(machine))

    async def _kill(self, machine: SiteMachine) -> None:
        self._parts.record("kill", machine.name)
        with machine.disturbed():
            machine.send_signal(signal.SIGKILL)
            await machine.wait()
            await self._start(machine)

    async def _pause_some(self) -> None:
        async with asyncio.TaskGroup() as group:
            for machine in self._some(4):
                group.create_task(self._pause(machine))

    async def _pause(self, machine: SiteMachine) -> None:
        self._parts.record("pause", machine.name)
        with machine.disturbed():
            machine.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.1, 4.0))
            machine.send_signal(signal.SIGCONT)

    async def _reset_links(self) -> None:
        """Reset the links of some machines in series: to peers, store or server."""
        for machine in self._some(4):
            kind = self._rng.choice(["peers", "store", "server"])
            self._parts.record(f"reset of links, {kind}", machine.name)
            with machine.disturbed():
                if kind == "server":
                    machine.tell_worker("reset_links")
                elif proxy := _proxy(machine, kind):
                    proxy.reset_all()
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))

    async def _silence_links(self) -> None:
        """Let open connections go silent for good; new ones work."""
        kinds = self._rng.choice(
            [["peers"], ["store"], ["server"], ["peers", "store", "server"]]
        )
        machines = self._present if self._rng.random() < 0.3 else self._some(4)
        for machine in machines:
            self._parts.record(f"silent links, {' '.join(kinds)}", machine.name)
            with machine.disturbed():
                for kind in kinds:
                    if kind == "server":
                        machine.tell_worker("silence_links")
                    elif proxy := _proxy(machine, kind):
                        proxy.silence_open()

    async def _replace_machine(self) -> None:
        """Remove a machine for good, with or without SIGTERM; add one elsewhere."""
        if len(self._present) < len(self._parts.machines) / 2:
            return
        machine = self._rng.choice(self._present)
        self._parts.record("removal", machine.name)
        with machine.disturbed():
            if self._rng.random() < 0.5:
                await machine.stop_daemon()
            await machine.remove()
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        await self._parts.add()

    async def _end_server_first(self) -> None:
        """End a server, then its daemon; start both again."""
        machine = self._rng.choice(self._present)
        if machine.stopping or not machine.server_runs:
            return
        self._parts.record("end of server", machine.name)
        with machine.disturbed():
            machine.end_server()
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            await self._stop(machine)
            if machine.removed_at is None:
                machine.start_server()


def _proxy(machine: SiteMachine, kind: str) -> LoopbackProxy | None:
    return machine.peer_proxy if kind == "peers" else machine.store_proxy
