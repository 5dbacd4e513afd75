"""A short seeded run of the soak, and the seeds that once failed."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests.common import function_suite
from tests.soak.soak import Soak, SoakOptions

SHORT_S = 5.0


def _play(options: SoakOptions) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(options, Path(folder)).play())


def test_a_short_run_breaks_no_promise() -> None:
    """Four daemons, a few seconds of overlapping faults."""
    broken = _play(SoakOptions(seed=1, machines=4, seconds=SHORT_S))
    assert not broken, broken


def test_a_stop_with_little_grace_cuts_nothing() -> None:
    """
    Seed 5: the phase in which callers are told took all of the time there was.

    Later, a request that came after the last look was read and cut.
    """
    broken = _play(SoakOptions(seed=5))
    assert not broken, broken


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
