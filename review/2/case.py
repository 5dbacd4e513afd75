"""A server in trouble sends bodies without end, in short pieces."""

import asyncio
import signal
import time

from lab.case import run
from lab.clients import Clients
from lab.fleet import Fleet, manifest, route

HOST = "hulo84.example"
SPOIL_EVERY = 33
"""Three in a hundred answers."""

SPOILS_FOR_S = 5.0
KEPT_CLIENTS = 30


def build(fleet: Fleet) -> None:
    """Two zones; one of the two servers of `desk` is in trouble."""
    fleet.add("aul-east", "desk", 200)
    fleet.add("aul-west", "desk", 200)
    fleet.add("aul-east", "flock", 200)
    fleet.add("aul-west", "flock", 200)


async def play(fleet: Fleet, clients: Clients, trouble: bool) -> None:
    """Send requests to both services; spoil answers from the second 5 on."""
    routes = [
        route(HOST, "/turn/", "safe", "desk", 2),
        route(HOST, "/reserve/", "unsafe", "flock", 0),
    ]
    await fleet.publish(manifest(7, routes, ["desk", "flock"]))
    await asyncio.sleep(5.0)
    until = time.monotonic() + 20.0
    first, second = fleet.machines[:2]
    async with asyncio.TaskGroup() as group:
        for machine in (first, second):
            for _ in range(KEPT_CLIENTS):
                group.create_task(
                    clients.run_kept(machine, HOST, "/turn/90-400", until, safe=True)
                )
        for _ in range(KEPT_CLIENTS):
            group.create_task(clients.run_kept(first, HOST, "/reserve/800-5000", until))
        await asyncio.sleep(5.0)
        if trouble:
            fleet.note(f"the server {first.server_id} is in trouble")
            fleet.signal_server(first, signal.SIGUSR1)
            await asyncio.sleep(SPOILS_FOR_S)
            fleet.signal_server(first, signal.SIGUSR1)
            fleet.note("its trouble ends")


if __name__ == "__main__":
    run(play, build, spoil_every=SPOIL_EVERY)
