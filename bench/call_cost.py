"""
Measure the processor time of a request in each daemon that it passes.

The daemons run on the last core that this process may use, callers, servers and store
on the others.
"""

import argparse
import asyncio
import os
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import uvloop

from bench.call_cost_daemon import PROFILE_SUFFIX
from bench.call_cost_fleet import (
    CASES,
    Case,
    CostDaemon,
    running_daemons,
    send_load,
)
from bench.call_cost_stages import seconds_by_stage
from bench.common import finish, parser
from bench.processes import run_s

REQUESTS = 1200
QUICK_REQUESTS = 100
ROUNDS = 3
WARM_UP_REQUESTS = 200
IDLE_S = 4.0
SETTLE_S = 1.0
US_PER_S = 1e6


def main(arguments: Sequence[str]) -> int:
    """Run the measurement and print its figures."""
    argument_parser = parser(__doc__ or "")
    argument_parser.add_argument("--rounds", type=int, default=ROUNDS)
    argument_parser.add_argument(
        "--only", nargs="*", choices=[case.name for case in CASES]
    )
    argument_parser.add_argument(
        "--profile", action="store_true", help="by stage, under a profiler"
    )
    options = argument_parser.parse_args(arguments)
    usable = sorted(os.sched_getaffinity(0))
    core = usable[-1]
    os.sched_setaffinity(0, set(usable[:-1]) or {core})
    cases = [case for case in CASES if not options.only or case.name in options.only]
    measure = _profile if options.profile else _measure
    result = uvloop.run(measure(cases, core, options))
    name = "call_cost_stages" if options.profile else "call_cost"
    return finish(name, result, options)


async def _measure(
    cases: Sequence[Case], core: int, options: argparse.Namespace
) -> dict[str, Any]:
    """Return the processor time per request of each daemon by case, in microseconds."""
    rng = Random(options.seed)
    count = QUICK_REQUESTS if options.quick else REQUESTS
    costs: dict[str, dict[str, list[float]]] = {case.name: {} for case in cases}
    statuses: dict[str, Counter[int]] = {case.name: Counter() for case in cases}
    usual = {case.name: case.status for case in cases}
    with tempfile.TemporaryDirectory() as folder:
        async with running_daemons(Path(folder), core) as machines:
            await asyncio.sleep(SETTLE_S)
            for case in cases:
                await _send(machines, case, WARM_UP_REQUESTS, rng)
            await asyncio.sleep(SETTLE_S)
            idle_share = await _idle_shares(machines)
            for _ in range(1 if options.quick else options.rounds):
                for case in rng.sample(cases, len(cases)):
                    spent, found = await _cost(machines, case, count, rng, idle_share)
                    statuses[case.name] += found
                    for name, per_request_us in spent.items():
                        costs[case.name].setdefault(name, []).append(per_request_us)
    return {
        "processor_us_per_request": {
            name: {daemon: round(median(us), 1) for daemon, us in by_daemon.items()}
            for name, by_daemon in costs.items()
        },
        "least_us": {
            name: {daemon: round(min(us), 1) for daemon, us in by_daemon.items()}
            for name, by_daemon in costs.items()
        },
        "most_us": {
            name: {daemon: round(max(us), 1) for daemon, us in by_daemon.items()}
            for name, by_daemon in costs.items()
        },
        "usual_status_share": {
            case.name: round(
                statuses[case.name][case.status] / statuses[case.name].total(), 4
            )
            for case in cases
        },
        "other_statuses": {
            name: {
                str(status): count
                for status, count in sorted(found.items())
                if status != usual[name]
            }
            for name, found in statuses.items()
        },
        "idle_core_pct": {
            name: round(100.0 * share, 2) for name, share in idle_share.items()
        },
        "requests_per_round": count,
    }


async def _idle_shares(machines: dict[str, CostDaemon]) -> dict[str, float]:
    """Return the share of a core that each daemon takes without requests."""
    before = _run_s(machines)
    await asyncio.sleep(IDLE_S)
    return {
        name: (ran - before[name]) / IDLE_S for name, ran in _run_s(machines).items()
    }


async def _cost(
    machines: dict[str, CostDaemon],
    case: Case,
    count: int,
    rng: Random,
    idle_share: dict[str, float],
) -> tuple[dict[str, float], Counter[int]]:
    """Return what a request takes in each daemon beyond its idle time, and statuses."""
    await _send(machines, case, WARM_UP_REQUESTS, rng)
    loop = asyncio.get_running_loop()
    before, started_s = _run_s(machines), loop.time()
    statuses = await _send(machines, case, count, rng)
    took_s = loop.time() - started_s
    spent = {
        name: US_PER_S * (ran - before[name] - took_s * idle_share[name]) / count
        for name, ran in _run_s(machines).items()
    }
    return spent, statuses


async def _profile(
    cases: Sequence[Case], core: int, options: argparse.Namespace
) -> dict[str, Any]:
    """
    Return the processor time per request by case, daemon and stage, in microseconds.

    The profiler makes small functions dearer than they are; compare shares.
    """
    count = QUICK_REQUESTS if options.quick else REQUESTS
    result: dict[str, Any] = {}
    for case in cases:
        with tempfile.TemporaryDirectory() as folder:
            async with running_daemons(Path(folder), core, profiled=True) as machines:
                await _send(machines, case, count, Random(options.seed))
                for machine in machines.values():
                    await machine.stop_daemon()
            result[case.name] = {
                name: _by_stage(Path(folder, f"{name}.toml{PROFILE_SUFFIX}"), count)
                for name in machines
            }
    return {"profiled_us_per_request": result}


def _by_stage(path: Path, count: int) -> dict[str, float]:
    stages = seconds_by_stage(path)
    return {
        stage: round(US_PER_S * spent_s / count, 1)
        for stage, spent_s in sorted(stages.items(), key=lambda item: -item[1])
    }


async def _send(
    machines: dict[str, CostDaemon], case: Case, count: int, rng: Random
) -> Counter[int]:
    return await send_load(machines["ingress"].caller_address, case, count, rng)


def _run_s(machines: dict[str, CostDaemon]) -> dict[str, float]:
    return {name: run_s(machine.pid) for name, machine in machines.items()}
