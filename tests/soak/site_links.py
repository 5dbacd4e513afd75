"""Faults of the links of a site: to peers, to the store and to servers."""

import asyncio

from tests.soak.site_faults import MachineFault, SiteFault, SiteParts
from tests.soak.site_machines import SiteMachine

LINKS = ("peers", "store", "server")


class LinkFaults:
    """Faults by method; `stop` stops a daemon and starts it again."""

    def __init__(self, parts: SiteParts, stop: MachineFault) -> None:
        self._parts, self._rng = parts, parts.rng
        self._stop = stop

    def unplanned(self) -> list[SiteFault]:
        """Return all faults."""
        return [self._reset_links, self._silence_links, self._disturb_beside_stops]

    async def _reset_links(self) -> None:
        """Reset the links of some machines in series."""
        for machine in self._parts.some(4):
            self._reset(machine)
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))

    async def _silence_links(self) -> None:
        """Let open connections go silent for good; new ones work."""
        kinds = self._rng.choice([*([link] for link in LINKS), list(LINKS)])
        present = self._parts.present
        is_of_all = self._rng.random() < 0.3
        for machine in present if is_of_all else self._parts.some(4):
            self._silence(machine, kinds)

    async def _disturb_beside_stops(self) -> None:
        """Reset or silence links while their machines, or others, stop and start."""
        machines = self._parts.some(4)
        async with asyncio.TaskGroup() as group:
            for machine in machines:
                group.create_task(self._stop(machine))
            for _ in range(self._rng.randint(2, 8)):
                await asyncio.sleep(self._rng.uniform(0.0, 1.0))
                machine = self._rng.choice([*machines, *self._parts.present])
                if self._rng.random() < 0.5:
                    self._reset(machine)
                else:
                    self._silence(machine, [self._rng.choice(LINKS)])

    def _reset(self, machine: SiteMachine) -> None:
        kind = self._rng.choice(LINKS)
        self._parts.record(f"reset of links, {kind}", machine.name)
        with machine.disturbed():
            if kind == "server":
                machine.tell_worker("reset_links")
            elif proxy := machine.proxies.get(kind):
                proxy.reset_all()

    def _silence(self, machine: SiteMachine, kinds: list[str]) -> None:
        self._parts.record(f"silent links, {' '.join(kinds)}", machine.name)
        with machine.disturbed():
            for kind in kinds:
                if kind == "server":
                    machine.tell_worker("silence_links")
                elif proxy := machine.proxies.get(kind):
                    proxy.silence_open()
