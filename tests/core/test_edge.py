"""Tests of core.edge."""

import unittest

from damaskbay.core.edge import EdgeConcurrencyLimit
from tests.common import function_suite

THREADS = 100
RANKS = 8


def test_important_calls_always_find_more_room() -> None:
    """No rank has a higher limit than the one above it; rank 0 may use all threads."""
    room = EdgeConcurrencyLimit(THREADS)
    limits = [room.limit_for(rank) for rank in range(RANKS)]
    assert limits[0] == THREADS
    assert limits == sorted(limits, reverse=True)
    assert limits[1] < limits[0]
    assert limits[-1] > 0


def test_refusal_is_not_run() -> None:
    """A call at the limit of its rank is refused as `not_run`."""
    room = EdgeConcurrencyLimit(THREADS)
    full = room.limit_for(1)
    assert room.refuse(full - 1, 1) is None
    refusal = room.refuse(full, 1)
    assert refusal is not None
    assert refusal.not_run
    assert room.refuse(full, 0) is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
