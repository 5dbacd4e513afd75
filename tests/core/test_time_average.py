"""Tests of the average of a value over recent time."""

import unittest

from damaskbay.core.time_average import TimeAverage
from tests.common import function_suite

TIME_CONSTANT_S = 0.5


def test_a_steady_value_is_reached() -> None:
    """After several time constants the average is the value."""
    average = TimeAverage(TIME_CONSTANT_S, 0.0)
    for step in range(100):
        result = average.add(3.0, 0.1 * step)
    assert abs(result - 3.0) < 0.01


def test_a_short_peak_hardly_counts() -> None:
    """A momentary value counts by the time for which it held."""
    average = TimeAverage(TIME_CONSTANT_S, 0.0)
    average.add(1.0, 5.0)
    assert average.add(9.0, 5.001) < 1.1
    assert average.add(1.0, 5.1) < 1.1


def test_time_that_stands_still_changes_nothing() -> None:
    """Several readings at one time do not add up."""
    average = TimeAverage(TIME_CONSTANT_S, 0.0)
    first = average.add(1.0, 1.0)
    assert average.add(7.0, 1.0) == first
    assert average.add(7.0, 0.5) == first


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
