"""Seeded run of daemons on one core under more load than it carries."""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any

from bench.saturation_callers import Load
from bench.saturation_figures import figures_of
from bench.saturation_fleet import FleetOptions, SaturationFleet
from tests.common import function_suite

PROMISES_BY_FIGURE = {
    "no_answer": "not answered in 6 s",
    "ran_yet_refused": "refused as not run, though they ran",
    "closed_late": "closed without an answer",
    "cut_by_stops": "cut by a stop",
    "late_stops": "daemons still there at the end of the grace time",
    "own_ends": "daemons that ended by themselves",
}


async def _run_overloaded(folder: Path) -> dict[str, Any]:
    """Return the figures of callers that never wait for Retry-After, beside stops."""
    available = os.sched_getaffinity(0)
    # Runs that are started at the same time use different cores.
    core = sorted(available)[os.getpid() % len(available)]
    options = FleetOptions(
        seed=1,
        machines=12,
        workers=1,
        slots=400,
        cores=frozenset({core}),
        worker_cores=frozenset(available - {core}) or frozenset({core}),
    )
    async with SaturationFleet(options, folder) as fleet:
        load = Load(seconds=12.0, callers=100)
        return figures_of(await fleet.run_step(load, with_stops=True))


# Requests waited unread or half done until their callers had gone; issue 47.
def test_daemons_without_enough_processor_answer_or_refuse_each_request() -> None:
    """Stops and nested calls of 1,200 callers share one core; nothing is left open."""
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(_run_overloaded(Path(folder)))
    broken = {
        what: figures[name]
        for name, what in PROMISES_BY_FIGURE.items()
        if figures[name]
    }
    assert not broken, (broken, figures)


def load_tests(*_: object) -> unittest.TestSuite:
    """Return a suite of the test functions in this module."""
    return function_suite(globals())
