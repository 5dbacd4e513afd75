"""Overload tests of the complete call policy, in virtual time."""

import unittest
from dataclasses import replace
from functools import cache

from bench.overload_fleet import Policy
from bench.overload_load import CAMPO, CASES, Schedule
from bench.overload_measure import Measures
from bench.overload_run import RunSpec, run
from tests.common import function_suite

SEED = 7
SCHEDULE = Schedule(cause_at=2.0, cause_s=4.0, after_s=3.0)
CASES_BY_NAME = {case.name: case for case in CASES}
RECOVERY_S = 2.0
GOODPUT_SHARE = 0.95
WORKSPACE_SHARE = 0.9


@cache
def measure(case: str, system: str = "ours", *, hard_clients: bool = True) -> Measures:
    """Return the figures of one run with the topology `CAMPO`."""
    selected = CASES_BY_NAME[case]
    selected = replace(selected, hard_clients=selected.hard_clients and hard_clients)
    return run(RunSpec(system, CAMPO, selected, SCHEDULE, SEED, Policy())).measures


def test_same_seed_gives_the_same_figures() -> None:
    """A run depends on nothing but its seed."""
    again = RunSpec("ours", CAMPO, CASES_BY_NAME["surge"], SCHEDULE, SEED, Policy())
    assert run(again).measures == measure("surge")


def test_goodput_holds_in_a_surge() -> None:
    """Four times the demand does not reduce the rate of complete responses."""
    assert measure("surge").goodput_share >= GOODPUT_SHARE
    assert measure("surge").goodput_share >= measure("surge", "naive").goodput_share


def test_retry_storm_ends_with_its_cause() -> None:
    """Goodput recovers after slow servers, clients that retry at once, or both."""
    for case in ("surge", "slow_deep_service", "hard_clients", "slow_and_hard_clients"):
        recovery_s = measure(case).recovery_s
        assert recovery_s is not None, case
        assert recovery_s <= RECOVERY_S, case


def test_hard_clients_do_not_lower_goodput() -> None:
    """Clients that ignore the retry delay do not lower goodput."""
    with_hard_clients = measure("hard_clients").goodput_share
    without_hard_clients = measure("hard_clients", hard_clients=False).goodput_share
    assert with_hard_clients >= GOODPUT_SHARE * without_hard_clients


def test_attempts_stay_bounded_in_a_storm() -> None:
    """Daemons do not amplify an overload by retries."""
    assert measure("surge").attempts_per_request < 1.0
    assert measure("surge", "naive").attempts_per_request > 2.0


def test_important_requests_are_shed_last() -> None:
    """In a surge the top priority is hardly refused and the lowest most often."""
    shares = measure("surge").refused_share_by_priority
    assert shares["0"] < 0.01
    assert shares["0"] < shares["1"] < shares["2"]


def test_small_workspace_beside_one_at_five_times_its_rate() -> None:
    """Each workspace gets at least nine tenths of its share."""
    assert measure("greedy_workspace").worst_workspace_share >= WORKSPACE_SHARE


def test_non_idempotent_requests_run_once() -> None:
    """No retry or lost response runs a request twice, unlike the naive policy."""
    assert all(measure(case.name).ran_twice == 0 for case in CASES)
    assert measure("surge", "naive").ran_twice > 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
