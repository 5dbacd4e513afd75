"""Clients of one machine send long bodies that the manifest allows."""

import asyncio
import time

from lab.case import run
from lab.clients import Clients
from lab.fleet import Fleet, manifest, route

HOST = "hulo84.example"
LONG_BYTES = 60_000_000
"""Less than MaxBodyBytes, 67108864."""

SHORT_BYTES = 24_000
BYTES_PER_S = 30_000_000.0
"""For each upload; two are about half of a link of 1000 Mbit/s."""

UPLOADS = 2
ROUNDS = 3
ROUND_S = 5.0
KEPT_CLIENTS = 20


def build(fleet: Fleet) -> None:
    """Two zones; the bodies go to the other service."""
    fleet.add("aul-east", "desk", 200)
    fleet.add("aul-west", "desk", 200)
    fleet.add("aul-east", "flock", 200)
    fleet.add("aul-west", "flock", 200)


async def play(fleet: Fleet, clients: Clients, trouble: bool) -> None:
    """Send unsafe requests all the time, and uploads in rounds."""
    routes = [
        route(HOST, "/reserve/", "unsafe", "desk", 0),
        route(HOST, "/photos/", "safe", "flock", 2),
    ]
    await fleet.publish(manifest(7, routes, ["desk", "flock"]))
    await asyncio.sleep(5.0)
    machine = fleet.machines[0]
    until = time.monotonic() + 3.0 + ROUNDS * ROUND_S
    size = LONG_BYTES if trouble else SHORT_BYTES
    async with asyncio.TaskGroup() as group:
        for _ in range(KEPT_CLIENTS):
            group.create_task(
                clients.run_kept(machine, HOST, "/reserve/300-5000", until)
            )
        await asyncio.sleep(3.0)
        for _ in range(ROUNDS):
            fleet.note(f"{UPLOADS} clients send {size} bytes each")
            for _ in range(UPLOADS):
                group.create_task(
                    clients.upload(machine, HOST, "/photos/20-400", size, BYTES_PER_S)
                )
            await asyncio.sleep(ROUND_S)


if __name__ == "__main__":
    run(play, build)
