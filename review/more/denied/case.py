"""Clients send further safe requests with bodies before the first is answered."""

import asyncio
import time

from lab.case import run
from lab.clients import Clients
from lab.fleet import Fleet, manifest, route

HOST = "hulo84.example"
BODY_BYTES = 24_000
BATCH = 4
CONNECTIONS = 20


def build(fleet: Fleet) -> None:
    """Two zones, one service."""
    fleet.add("aul-east", "desk", 200)
    fleet.add("aul-west", "desk", 200)


async def play(fleet: Fleet, clients: Clients, trouble: bool) -> None:
    """Send safe requests for ten seconds, in batches or one by one."""
    routes = [route(HOST, "/record/", "safe", "desk", 2)]
    await fleet.publish(manifest(7, routes, ["desk"]))
    await asyncio.sleep(5.0)
    until = time.monotonic() + 10.0
    async with asyncio.TaskGroup() as group:
        for machine in fleet.machines:
            for _ in range(CONNECTIONS):
                group.create_task(
                    clients.run_batches(
                        machine,
                        HOST,
                        "/record/50-400",
                        until,
                        size=BODY_BYTES,
                        batch=BATCH if trouble else 1,
                    )
                )


if __name__ == "__main__":
    run(play, build, rule="DENIED")
