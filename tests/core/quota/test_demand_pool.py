"""Tests of the demand counted from reports and remote domains' totals."""

import unittest

from hypothesis import given, strategies as st

from damaskbay.core.quota.const import EVEN_SPLIT_FRACTION
from damaskbay.core.quota.demand_pool import DemandPool, DomainTotal
from tests.common import function_suite

MEMBERS = {"near": frozenset({"a", "b"}), "far": frozenset({"c", "d", "e"})}


def _pool() -> DemandPool:
    pool = DemandPool("near")
    pool.set_members(MEMBERS)
    return pool


def _share(pool: DemandPool, instance: str) -> float:
    """Close a round and return a daemon's share of the rate of workspace w."""
    pool.close_round()
    counted = pool.totals_for(instance)
    return counted.own["w"] / counted.total["w"]


def test_daemons_not_heard_are_taken_for_average_ones() -> None:
    """With one of five daemons reporting, its share is a fifth."""
    pool = _pool()
    pool.record_report("a", {"w": 2.0})
    assert pool.daemons == 5
    for _ in range(3):
        assert abs(_share(pool, "a") - 0.2) < 1e-9


def test_a_domain_keeps_its_total_while_it_has_members() -> None:
    """An unreachable domain may still serve calls; one without members can't."""
    pool = _pool()
    pool.record_report("a", {"w": 2.0})
    pool.record_report("b", {"w": 1.0})
    pool.record_remote_total("far", DomainTotal({"w": 6.0}, 2, 3))
    pool.close_round()
    for _ in range(3):
        share = _share(pool, "a") + _share(pool, "b")
        expected = EVEN_SPLIT_FRACTION * 0.4 + (1.0 - EVEN_SPLIT_FRACTION) * 3.0 / 12.0
        assert abs(share - expected) < 1e-9
        pool.record_remote_total("far", DomainTotal({}, 0, 3))
    pool.set_members({"near": MEMBERS["near"]})
    assert abs(_share(pool, "a") + _share(pool, "b") - 1.0) < 1e-9


def test_demand_that_sets_in_everywhere_is_not_taken_for_the_own_domains() -> None:
    """Without the demand of remote domains, the first round splits evenly."""
    pool = _pool()
    pool.record_remote_total("far", DomainTotal({}, 3, 3))
    pool.close_round()
    pool.record_report("a", {"w": 50.0})
    pool.record_report("b", {"w": 50.0})
    assert abs(_share(pool, "a") - 0.2) < 1e-9


def test_a_daemon_that_is_gone_counts_no_longer() -> None:
    """Removing a daemon from the members drops its report."""
    pool = _pool()
    pool.record_report("a", {"w": 2.0})
    pool.record_report("b", {"w": 4.0})
    pool.set_members({"near": frozenset({"a"})})
    assert abs(_share(pool, "a") - 1.0) < 1e-9


reports = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.dictionaries(
            st.sampled_from("uvw"), st.integers(1, 50).map(float), max_size=3
        ),
    ),
    max_size=30,
)


@given(reports)
def test_shares_of_a_round_never_exceed_the_whole(
    reported: list[tuple[str, dict[str, float]]],
) -> None:
    """The shares of the local daemons add up to 1 at most, whatever they report."""
    pool = _pool()
    for number, (instance, demand) in enumerate(reported):
        pool.record_report(instance, demand)
        if number % 2:
            pool.close_round()
        for name in "uvw":
            total_share = 0.0
            for member in MEMBERS["near"]:
                counted = pool.totals_for(member)
                own = counted.own.get(name, 0.0)
                total_share += own / counted.total[name] if own else 0.0
            assert total_share <= 1.0 + 1e-9


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
