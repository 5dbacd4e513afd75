"""Whole trees against the earlier rule on the same arrivals, in virtual time."""

import unittest

from bench.trees import Tally, TreesResult, measure
from tests.common import function_suite

SURGE_S = 7.0


def _lost(result: TreesResult) -> float:
    """Return the failed root calls as a share of those that began at the pool."""
    total = Tally()
    for name, item in result.by_route.items():
        if name != "apart":
            total.completed += item.completed
            total.failed += item.failed
    return total.lost


# Trees were begun that the pool had no room for, and failed half-way.
def test_in_a_surge_what_begins_completes_more_often() -> None:
    """The pool does as much useful work, and ranks and routes keep their order."""
    for load, bound in ((1.5, 0.15), (2.5, 0.25)):
        earlier = measure(load, SURGE_S, whole_trees=False, seed=3)
        found = measure(load, SURGE_S, whole_trees=True, seed=3)
        assert _lost(found) < min(bound, 0.65 * _lost(earlier))
        assert found.useful_slot_s > 0.9 * earlier.useful_slot_s
        ranks = [found.by_rank[rank].served for rank in (3, 4, 5)]
        assert ranks == sorted(ranks, reverse=True)
        routes = found.by_route
        assert routes["apart"].refused == 0
        offered = sum(item.offered for item in routes.values())
        served = sum(item.completed for item in routes.values()) / offered
        assert routes["big"].served > served / 4.0


# Guards against refusals that no pool calls for.
def test_without_overload_nothing_is_refused() -> None:
    """A pool in ordinary use has short waits now and then."""
    found = measure(0.7, SURGE_S, whole_trees=True, seed=3)
    assert not sum(item.refused for item in found.by_route.values())


# Root calls with eight calls there were begun though almost none could complete.
def test_where_servers_reject_large_trees_are_not_begun() -> None:
    """After two seconds, few of them begin, and the others are not affected."""
    earlier = measure(0.6, SURGE_S, whole_trees=False, rejects=0.55, seed=3)
    found = measure(0.6, SURGE_S, whole_trees=True, rejects=0.55, seed=3)
    assert found.by_route["big"].failed < 0.7 * earlier.by_route["big"].failed
    for name in ("middle", "direct", "apart"):
        assert found.by_route[name].refused == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
