"""
Measure daemons whose own processor time is short, by steps of load.

Daemons are processes that share few cores; servers, callers and the store run on
others. A first step measures the capacity: requests served a second by few callers
that wait for Retry-After. Then requests arrive at multiples of it, or more and more
callers send the next request after the response to the last.
"""

import argparse
import asyncio
import os
import sys
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from bench.common import finish, parser
from bench.plot import MATPLOTLIB_MISSING, plot_available, plot_saturation
from bench.saturation_callers import Load
from bench.saturation_calls import ROOT_METHODS, count_server_calls
from bench.saturation_figures import figures_of
from bench.saturation_fleet import FleetOptions, SaturationFleet

MULTIPLES = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0)
QUICK_MULTIPLES = (1.0, 4.0)
CALLERS = (30, 60)
QUICK_CALLERS = (30,)
OBEY_SHARES = (0.0, 1.0)
STEP_S, QUICK_STEP_S = 8.0, 5.0
WARM_UP = Load(3.0, callers=1, obey_share=1.0)
CAPACITY_CALLERS = 12
"""Callers of each daemon that find out the capacity: they keep all cores busy."""

HIGHEST = "open 4x"
LOG_FOLDER_PREFIX = "damaskbay-saturation-"


def _parse(arguments: Sequence[str]) -> argparse.Namespace:
    options_parser = parser(__doc__ or "")
    options_parser.add_argument("--machines", type=int, default=14)
    options_parser.add_argument("--cores", type=int, default=1, help="of the daemons")
    options_parser.add_argument("--first-core", type=int, help="of the daemons")
    options_parser.add_argument("--workers", type=int, default=2)
    options_parser.add_argument("--slots", type=int, default=400, help="of a server")
    options_parser.add_argument("--seconds", type=float, help="of a step of load")
    options_parser.add_argument("--multiples", type=float, nargs="*")
    options_parser.add_argument("--callers", type=int, nargs="*", help="of a daemon")
    options_parser.add_argument("--obey", type=float, nargs="+", default=OBEY_SHARES)
    options_parser.add_argument("--stops", action="store_true", help="stop daemons")
    options_parser.add_argument("--plot", metavar="PNG", help="draw served and offered")
    return options_parser.parse_args(arguments)


def _fleet_options(options: argparse.Namespace) -> FleetOptions:
    """Return the fleet; daemons get the last of the available cores by default."""
    available = sorted(os.sched_getaffinity(0))
    first = -options.cores
    if options.first_core is not None:
        first = available.index(options.first_core)
    cores = (available * 2)[first:][: options.cores]
    others = set(available).difference(cores)
    return FleetOptions(
        options.seed,
        options.machines,
        options.workers,
        options.slots,
        frozenset(cores),
        frozenset(others),
    )


def _step_s(options: argparse.Namespace) -> float:
    """Return the length of a step, seconds."""
    default_s = QUICK_STEP_S if options.quick else STEP_S
    return float(options.seconds or default_s)


def _loads(
    options: argparse.Namespace, capacity_per_s: float
) -> Iterator[tuple[str, Load, bool]]:
    """Return the steps by name, and whether the load is above the capacity."""
    seconds = _step_s(options)
    multiples, callers = options.multiples, options.callers
    if multiples is None:
        multiples = QUICK_MULTIPLES if options.quick else MULTIPLES
    if callers is None:
        callers = QUICK_CALLERS if options.quick else CALLERS
    for multiple in multiples:
        load = Load(seconds, rate_per_s=multiple * capacity_per_s)
        yield f"open {multiple:g}x", load, multiple > 1.0
    for count in callers:
        for share in options.obey[:1] if options.quick else options.obey:
            load = Load(seconds, callers=count, obey_share=share)
            yield f"closed {count}, {share:g} obey", load, True


async def _measure(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Run all steps; their figures stand in order, the capacity's first."""
    steps: list[dict[str, Any]] = []

    async def run(name: str, load: Load, *, with_stops: bool) -> dict[str, Any]:
        seen = await fleet.run_step(load, with_stops=with_stops)
        steps.append({"name": name, **figures_of(seen)})
        print(f"{name}: {_line(steps[-1])}", file=sys.stderr, flush=True)
        return steps[-1]

    async with SaturationFleet(_fleet_options(options), folder) as fleet:
        await fleet.run_step(WARM_UP, with_stops=False)
        load = Load(_step_s(options), callers=CAPACITY_CALLERS, obey_share=1.0)
        capacity = await run("capacity", load, with_stops=False)
        capacity_per_s = max(1.0, capacity["served_per_s"])
        for name, load, is_overload in _loads(options, capacity_per_s):
            await run(name, load, with_stops=options.stops and is_overload)
    return {"steps": steps, **_summary(steps)}


def _summary(steps: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return what is told of all steps together."""
    most = max(step["served_per_s"] for step in steps)
    highest = [step for step in steps if step["name"] == HIGHEST]
    at_highest = highest[0]["served_per_s"] / most if highest and most else None
    return {
        "most_served_per_s": most,
        "served_at_4x_of_most": at_highest and round(at_highest, 2),
        "unanswered": sum(step["no_answer"] for step in steps),
        "server_calls_a_request": {
            path: count_server_calls(path) for path in ROOT_METHODS
        },
    }


def _line(step: dict[str, Any]) -> str:
    """Return the main figures of a step in one line."""
    names = (
        "offered_per_s",
        "served_per_s",
        "refused",
        "own_502_504",
        "ran_yet_refused",
        "no_answer",
        "closed",
        "late_stops",
        "ready_s_most",
    )
    return ", ".join(f"{name} {step[name]}" for name in names)


def main(arguments: Sequence[str]) -> int:
    """Run the steps of load and print their figures."""
    options = _parse(arguments)
    if options.plot and not plot_available():
        print(MATPLOTLIB_MISSING, file=sys.stderr)
        return 1
    if len(os.sched_getaffinity(0)) < options.cores + 1:
        print("bench: servers and callers need a core of their own.", file=sys.stderr)
        return 1
    folder = Path(tempfile.mkdtemp(prefix=LOG_FOLDER_PREFIX))
    result = asyncio.run(_measure(options, folder))
    print(f"logs in {folder}", file=sys.stderr)
    if options.plot:
        plot_saturation(result["steps"], options.plot)
    keys = ("machines", "cores", "workers", "slots", "stops")
    settings = {key: getattr(options, key) for key in keys}
    status = finish("saturation", {**settings, **result}, options)
    print(
        f"most served {result['most_served_per_s']}/s, at four times the capacity "
        f"{result['served_at_4x_of_most']} of it, "
        f"{result['unanswered']} without an answer",
        file=sys.stderr,
    )
    return status
