"""Faults of the servers of a site: they leave, end before their daemon, or crash."""

import asyncio
import time

from tests.soak.daemons import DRAIN_S
from tests.soak.records import Disturbance
from tests.soak.site_faults import MachineFault, SiteFault, SiteParts
from tests.soak.site_machines import SiteMachine

SERVES_ON_RANGE_S = (DRAIN_S + 5.5, DRAIN_S + 7.0)
"""Time for which a server that leaves serves on, seconds; it has no request then."""

ACK_LIMIT_S = 4.0
ACK_INTERVAL_S = 0.3


class ServerFaults:
    """Faults by method; `stop` stops a daemon and starts it again."""

    def __init__(self, parts: SiteParts, stop: MachineFault) -> None:
        self._parts, self._rng = parts, parts.rng
        self._stop = stop

    def planned(self) -> list[SiteFault]:
        """Return the faults that are planned work."""
        return [self._leave]

    def unplanned(self) -> list[SiteFault]:
        """Return the faults of servers that end."""
        return [self._end_first, self._crash]

    async def _leave(self) -> None:
        """Let a server leave, sometimes with its daemon; another one comes."""
        machine = self._take_machine()
        if machine is None:
            return
        drains = self._rng.random() < 0.5
        how = "reports draining" if drains else "deregisters"
        self._parts.record(f"server {how}", machine.name)
        machine.server_runs = False
        machine.tell_worker("leave_server")
        is_acknowledged = await self._is_acknowledged(machine, drains=drains)
        if is_acknowledged:
            machine.left_servers.append((machine.server_id, time.monotonic()))
        await asyncio.sleep(self._rng.uniform(*SERVES_ON_RANGE_S))
        if machine.removed_at is not None:
            return
        if not is_acknowledged:
            # Others may still send to a server that leaves without an acknowledgement.
            machine.disturbances.append(
                Disturbance(time.monotonic(), time.monotonic() + DRAIN_S)
            )
        machine.end_server()
        if self._rng.random() < 0.5:
            await self._stop(machine)
        if machine.removed_at is None:
            machine.start_server()

    async def _is_acknowledged(self, machine: SiteMachine, *, drains: bool) -> bool:
        """Return whether the daemon acknowledged in time that the server leaves."""
        gives_up_at = time.monotonic() + ACK_LIMIT_S
        while time.monotonic() < gives_up_at:
            if await machine.leave(drains=drains):
                return True
            await asyncio.sleep(ACK_INTERVAL_S)
        return False

    async def _end_first(self) -> None:
        """End a server, then its daemon; start both again."""
        machine = self._take_machine()
        if machine is None:
            return
        self._parts.record("end of server", machine.name)
        with machine.disturbed():
            machine.end_server()
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            await self._stop(machine)
            if machine.removed_at is None:
                machine.start_server()

    async def _crash(self) -> None:
        """End a server in the middle of its responses; it comes back, in series."""
        machine = self._take_machine()
        if machine is None:
            return
        for _ in range(self._rng.randint(1, 3)):
            if machine.removed_at is not None:
                return
            self._parts.record("crash of server", machine.name)
            with machine.disturbed():
                machine.end_server()
                await asyncio.sleep(self._rng.uniform(0.0, 0.5))
                if machine.removed_at is None:
                    machine.start_server()
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))

    def _take_machine(self) -> SiteMachine | None:
        """Return a machine whose server may be disturbed, if the chosen one may."""
        machine = self._rng.choice(self._parts.present)
        return None if machine.stopping or not machine.server_runs else machine
