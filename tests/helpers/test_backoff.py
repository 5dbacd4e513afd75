"""Tests of delays between attempts."""

import unittest
from random import Random

from damaskbay.helpers.backoff import Backoff
from tests.common import function_suite


def test_delays_double_up_to_the_longest() -> None:
    """The jitter is a quarter of the delay at most."""
    backoff = Backoff(1.0, 6.0, Random(1))
    for expected_s in (1.0, 2.0, 4.0, 6.0, 6.0):
        assert abs(backoff.next_delay_s() - expected_s) <= 0.25 * expected_s


def test_a_success_starts_again() -> None:
    """After a reset the first delay is back."""
    backoff = Backoff(1.0, 6.0, Random(1))
    for _ in range(4):
        backoff.next_delay_s()
    backoff.reset()
    assert backoff.next_delay_s() <= 1.25


def test_daemons_do_not_return_as_one_wave() -> None:
    """Two daemons with the same failures have different delays."""
    delays = {Backoff(1.0, 6.0, Random(seed)).next_delay_s() for seed in range(10)}
    assert len(delays) == 10


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
