"""A server leaves while long requests run there, and loses some of their answers."""

import asyncio
import signal
import time

from lab.case import run
from lab.clients import Clients
from lab.fleet import Fleet, manifest, route

HOST = "hulo84.example"
KEPT_CLIENTS = 20
WORK_MS = 3000
SPOIL_EVERY = 3
SPOILS_FOR_S = 4.0


def build(fleet: Fleet) -> None:
    """Two zones; one of the two servers of `desk` leaves."""
    fleet.add("aul-east", "desk", 200)
    fleet.add("aul-west", "desk", 200)


async def play(fleet: Fleet, clients: Clients, trouble: bool) -> None:
    """Send long safe requests; the first server leaves in the middle of a round."""
    routes = [route(HOST, "/report/", "safe", "desk", 2)]
    await fleet.publish(manifest(7, routes, ["desk"]))
    await asyncio.sleep(5.0)
    first = fleet.machines[0]
    # Short requests, so that the daemons have used connections to their servers.
    await _send(fleet, clients, 50, time.monotonic() + 3.0)
    until = time.monotonic() + 6.0
    async with asyncio.TaskGroup() as group:
        group.create_task(_send(fleet, clients, WORK_MS, until))
        await asyncio.sleep(0.2)
        fleet.note(f"the server {first.server_id} leaves")
        fleet.signal_server(first, signal.SIGUSR2)
        if trouble:
            fleet.signal_server(first, signal.SIGUSR1)
            await asyncio.sleep(SPOILS_FOR_S)
            fleet.signal_server(first, signal.SIGUSR1)


async def _send(fleet: Fleet, clients: Clients, work_ms: int, until: float) -> None:
    path = f"/report/{work_ms}-400"
    async with asyncio.TaskGroup() as group:
        for machine in fleet.machines:
            for _ in range(KEPT_CLIENTS):
                group.create_task(
                    clients.run_kept(machine, HOST, path, until, safe=True)
                )


if __name__ == "__main__":
    run(play, build, rule="DRAIN", spoil="reset", spoil_every=SPOIL_EVERY)
