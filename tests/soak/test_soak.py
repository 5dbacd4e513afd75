"""Short seeded soak run, and regression tests of seeds that failed before."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

from tests.common import function_suite
from tests.soak.options import PLANNED_GRACE_S, SoakOptions
from tests.soak.site import Site, SiteOptions
from tests.soak.soak import Soak

SHORT_RUN_S = 5.0
SHORT_SITE: dict[str, Any] = {
    "kept_callers": 1,
    "workers": 1,
    "fault_duration_s": 12.0,
}


def _run_soak(options: SoakOptions) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(options, Path(folder)).run_seed())


def _run_site(options: SiteOptions) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Site(options, Path(folder)).run_seed())


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
    arrived after the last check for new ones was read, then cut. It failed again when
    servers had slow phases: a running request was cut over a sixth of the grace time
    before its end.
    """
    options = SoakOptions(seed=5, planned=True, long_share=0.0, pipelines=False)
    violations = _run_soak(options)
    assert not violations, violations


def test_a_request_taken_late_in_a_stop_is_answered() -> None:
    """
    A request that a stopping daemon still takes gets the response of its server.

    Seed 102 failed: requests sent over half of the grace time after SIGTERM were passed
    to servers, then given up with 502 when the daemon ended.
    """
    violations = _run_soak(
        SoakOptions(
            seed=102,
            fault_duration_s=SHORT_RUN_S,
            planned=True,
            grace_s=PLANNED_GRACE_S,
            pipelines=False,
        )
    )
    assert not violations, violations


def test_pipelined_requests_that_run_in_a_stop_are_answered() -> None:
    """
    Pipelined requests that run at a server get its responses during a stop.

    Seed 104 failed: a stopping daemon closed the connection after the first response
    and dropped the responses to further requests, which servers had run.
    """
    violations = _run_soak(
        SoakOptions(
            seed=104,
            machine_count=4,
            fault_duration_s=SHORT_RUN_S,
            planned=True,
            grace_s=PLANNED_GRACE_S,
        )
    )
    assert not violations, violations


# A server got more requests than the limit it named, while daemons came and went.
# Guards against requests to servers that have left: late reports revived them.
def test_servers_that_leave_beside_outages_and_kills_get_nothing() -> None:
    """Reports from before arrive late, and records can't be written or read."""
    violations = _run_soak(SoakOptions(seed=42, machine_count=4, departures=True))
    assert not violations, violations


def test_servers_that_name_limits_keep_to_them_under_faults() -> None:
    """Limits begin, change and end beside restarts, freezes and lost links."""
    violations = _run_soak(SoakOptions(seed=31, fault_duration_s=16.0, limits=True))
    assert not violations, violations


# Records stayed away and changes were missed after a restore of the store.
def test_a_store_that_is_restored_breaks_no_promise() -> None:
    """Restores from snapshots that are seconds old, beside the other faults."""
    violations = _run_soak(
        SoakOptions(seed=1, machine_count=4, fault_duration_s=12.0, restores=True)
    )
    assert not violations, violations


# A SIGHUP during a start ended the process; short chunks made it exceed its memory.
def test_signals_and_full_memory_end_no_daemon() -> None:
    """Series of SIGHUPs, torn settings, large sets, uploads and endless bodies."""
    violations = _run_soak(
        SoakOptions(seed=36, machine_count=4, fault_duration_s=12.0, harsh=True)
    )
    assert not violations, violations


# New connections to a stopping daemon were closed unanswered beside a large set, and a
# SIGHUP soon after the start of a process ended it.
def test_planned_work_on_a_site_with_few_cores_loses_nothing() -> None:
    """Stops, large sets and SIGHUPs overlap on daemons that share two cores."""
    violations = _run_site(SiteOptions(seed=2, planned=True, **SHORT_SITE))
    assert not violations, violations


# Links that went silent or were reset had not been tried.
def test_a_site_with_silent_links_keeps_its_promises() -> None:
    """Links, machines and servers fail beside planned work."""
    violations = _run_site(SiteOptions(seed=1, **SHORT_SITE))
    assert not violations, violations


def load_tests(*_: object) -> unittest.TestSuite:
    """Return a suite of the test functions in this module."""
    return function_suite(globals())
