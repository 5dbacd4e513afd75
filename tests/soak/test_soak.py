"""Short seeded soak run, and regression tests of seeds that failed before."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests.common import function_suite
from tests.soak.soak import Soak, SoakOptions

SHORT_RUN_S = 5.0


def _run_soak(options: SoakOptions) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(options, Path(folder)).run_seed())


def test_a_short_run_breaks_no_promise() -> None:
    """Four daemons keep all invariants under a few seconds of overlapping faults."""
    violations = _run_soak(
        SoakOptions(seed=1, machine_count=4, fault_duration_s=SHORT_RUN_S)
    )
    assert not violations, violations


def test_a_stop_with_little_grace_cuts_nothing() -> None:
    """
    A graceful stop with a short grace time doesn't cut calls.

    Seed 5 failed twice: notifying callers used up the grace time, and a request that
    arrived after the last check for new ones was read, then cut.
    """
    violations = _run_soak(SoakOptions(seed=5))
    assert not violations, violations


def load_tests(*_: object) -> unittest.TestSuite:
    """Return a suite of the test functions in this module."""
    return function_suite(globals())
