"""A server that has deregistered gets requests again after its daemon was killed."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2.backend import Backend
from stand_ins_2.case import Case, main
from stand_ins_2.client import attempt
from stand_ins_2.fleet import Machine
from stand_ins_2.manifest import manifest, route, service

ZONES = ["centro-1", "centro-2"]
SERVICE = "huvo11a"
DRAIN_S = 2.0
CONTACT_S = 3.0
BEAT_DELAY_S = 3.0
SERVES_ON_S = 12.0


async def run(case: Case) -> bool:
    """Return whether the rule held."""
    await case.start_store()
    routes = (
        route("r-read", "/leny950/", "safe", SERVICE),
        route("r-file", "/puka111/", "unsafe", SERVICE),
    )
    await case.store.put("op/config", manifest(7, *routes, service(SERVICE)))
    machine, leaver = case.add_machine("m1", ZONES[0], ZONES, SERVICE)
    other, _ = case.add_machine("m2", ZONES[1], ZONES, SERVICE)
    await case.start()
    await asyncio.sleep(CONTACT_S + 2.0)
    for _ in range(5):
        await attempt(machine, "GET", "/leny950/20", case.record)
        await attempt(other, "GET", "/leny950/20", case.record)
    leaver.stop_beats()
    late_beat = leaver.beat("ready")
    late = asyncio.create_task(send_late(leaver, late_beat))
    if case.trouble:
        case.store.pause_leases()
    acked_at = await leave(leaver)
    if case.trouble:
        case.store.refuse = lambda _request: 503
        case.record.add("store is down")
        await asyncio.sleep(0.2)
        await restart(machine)
    await late
    if case.trouble:
        case.store.refuse = lambda _request: None
        case.store.resume_leases()
        case.record.add("store is back")
    in_touch_at = time.monotonic() + CONTACT_S
    await asyncio.sleep(CONTACT_S + 0.3)
    sends = []
    while time.monotonic() < acked_at + SERVES_ON_S:
        sends.append(attempt(machine, "POST", "/puka111/50", case.record))
        sends.append(attempt(other, "POST", "/puka111/50", case.record))
        await asyncio.gather(*sends[-2:])
    last = [
        asyncio.create_task(attempt(machine, "POST", "/puka111/1500", case.record))
        for _ in range(5)
    ]
    await asyncio.sleep(0.5)
    leaver.exit()
    lost = [item for item in await asyncio.gather(*last) if item.status != 200]
    bound_s = max(acked_at + DRAIN_S, in_touch_at)
    late_runs = [request for at, request in leaver.runs if at > bound_s]
    case.record.add(
        f"{len(late_runs)} requests reached {leaver.server_id} later than Drain after "
        f"the ack; {len(lost)} of the last {len(last)} were lost as it ended"
    )
    return not late_runs


async def leave(server: Backend) -> float:
    """Deregister; return when that was acknowledged."""
    while await server.send(server.leave(), "deregistration") != 200:
        await asyncio.sleep(0.1)
    server.leaving = True
    return time.monotonic()


async def send_late(server: Backend, beat: bytes) -> None:
    """Send a heartbeat that is under way for some seconds."""
    await asyncio.sleep(BEAT_DELAY_S)
    await server.send(beat, "heartbeat ready, late")


async def restart(machine: Machine) -> None:
    """Kill the daemon; the platform starts it again."""
    machine.signal(signal.SIGKILL)
    await asyncio.sleep(0.5)
    machine.start()


main(__file__, run, trouble=os.environ.get("TROUBLE", "1") != "0")
