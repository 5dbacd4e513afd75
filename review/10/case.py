"""A server fails requests that it has run; the client is told that they have not."""

import asyncio
import itertools
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2.case import Case, main
from stand_ins_2.client import attempt
from stand_ins_2.manifest import manifest, route, service

ZONES = ["centro-1", "centro-2"]
FRONT, FILING = "huvo11a", "wuno96b"
CONTACT_S = 3.0
FAILED_STATUS = 503
FILINGS = 40
PROMISES = (408, 421, 429, 503)


async def run(case: Case) -> bool:
    """Return whether the rule held."""
    await case.start_store()
    resources = (
        route("r-file", "/puka111/", "unsafe", FILING),
        service(FRONT),
        service(FILING),
    )
    await case.store.put("op/config", manifest(7, *resources))
    front, _ = case.add_machine("m1", ZONES[0], ZONES, FRONT)
    _, first = case.add_machine("m2", ZONES[0], ZONES, FILING)
    _, second = case.add_machine("m3", ZONES[1], ZONES, FILING)
    await case.start()
    await asyncio.sleep(CONTACT_S + 2.0)
    if case.trouble:
        numbers = itertools.count()
        first.fails = lambda _target: FAILED_STATUS if next(numbers) % 20 < 9 else None
    broken = filed_twice = 0
    for number in range(FILINGS):
        runs = []
        for _ in range(2):
            sent = await attempt(front, "POST", f"/puka111/{number}/30", case.record)
            ids = [request_id for _, request_id in (*first.runs, *second.runs)]
            has_run = sent.request_id in ids
            runs.append(has_run)
            broken += has_run and sent.status in PROMISES
            if sent.status not in PROMISES:
                break
        filed_twice += sum(runs) > 1
    case.record.add(
        f"{broken} requests ran and were answered with a promise that they had not; "
        f"{filed_twice} of {FILINGS} filings ran twice, as the client tried again"
    )
    return not broken


main(__file__, run, trouble=os.environ.get("TROUBLE", "1") != "0")
