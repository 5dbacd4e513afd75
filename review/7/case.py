"""A server that has deregistered is used again after a restart, without a probe."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2.case import Case, main
from stand_ins_2.client import attempt
from stand_ins_2.manifest import manifest, route, service

ZONES = ["centro-1", "centro-2"]
SERVICE = "huvo11a"
DRAIN_S = 2.0
CONTACT_S = 3.0
START_DELAY_S = 0.5
DOWN_AFTER_START_S = 2.9
SERVES_ON_S = 13.0


async def run(case: Case) -> bool:
    """Return whether the rule held."""
    await case.start_store()
    resources = (route("r-file", "/puka111/", "unsafe", SERVICE), service(SERVICE))
    await case.store.put("op/config", manifest(7, *resources))
    machine, leaver = case.add_machine("m1", ZONES[0], ZONES, SERVICE)
    other, _ = case.add_machine("m2", ZONES[1], ZONES, SERVICE)
    await case.start()
    await asyncio.sleep(CONTACT_S + 2.0)
    for _ in range(5):
        await attempt(machine, "POST", "/puka111/20", case.record)
        await attempt(other, "POST", "/puka111/20", case.record)
    if case.trouble:
        case.store.pause_leases()
        case.store.refuse = lambda _request: 503
        case.record.add("store is down")
    leaver.stop_beats()
    while await leaver.send(leaver.leave(), "deregistration") != 200:
        await asyncio.sleep(0.1)
    leaver.leaving = True
    acked_at = time.monotonic()
    if case.trouble:
        for item in case.machines:
            item.signal(signal.SIGKILL)
        await asyncio.sleep(START_DELAY_S)
        for item in case.machines:
            item.start()
        await asyncio.sleep(DOWN_AFTER_START_S)
        case.store.refuse = lambda _request: None
        case.store.resume_leases()
        case.record.add("store is back")
    in_touch_at = time.monotonic() + CONTACT_S
    await asyncio.sleep(CONTACT_S + 0.3)
    while time.monotonic() < acked_at + SERVES_ON_S:
        await asyncio.gather(
            attempt(machine, "POST", "/puka111/50", case.record),
            attempt(other, "POST", "/puka111/50", case.record),
        )
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


main(__file__, run, trouble=os.environ.get("TROUBLE", "1") != "0")
