"""What a relay makes of reports and of other domains' totals."""

import unittest

from hypothesis import given, strategies as st

from damaskbay.core.quota.const import FLOOR_SHARE
from damaskbay.core.quota.demand_pool import DemandPool, DomainTotal
from tests.common import function_suite

MEMBERS = {"near": frozenset({"a", "b"}), "far": frozenset({"c", "d", "e"})}


def _pool() -> DemandPool:
    pool = DemandPool("near")
    pool.set_members(MEMBERS)
    return pool


def _share(pool: DemandPool, instance: str) -> float:
    """Return the part of the rate of w that a daemon may take."""
    pool.close_round()
    counted = pool.counted(instance)
    return counted.own["w"] / counted.total["w"]


def test_daemons_not_heard_are_taken_for_average_ones() -> None:
    """One report of two daemons, and none of three: it may take a fifth."""
    pool = _pool()
    pool.reported("a", {"w": 2.0})
    assert pool.daemons == 5
    for _ in range(3):
        assert abs(_share(pool, "a") - 0.2) < 1e-9


def test_a_domain_keeps_its_total_while_it_has_members() -> None:
    """What can't be reached may go on serving; what has no members does not."""
    pool = _pool()
    pool.reported("a", {"w": 2.0})
    pool.reported("b", {"w": 1.0})
    pool.heard("far", DomainTotal({"w": 6.0}, 2, 3))
    pool.close_round()
    for _ in range(3):
        share = _share(pool, "a") + _share(pool, "b")
        expected = FLOOR_SHARE * 0.4 + (1.0 - FLOOR_SHARE) * 3.0 / 12.0
        assert abs(share - expected) < 1e-9
        pool.heard("far", DomainTotal({}, 0, 3))
    pool.set_members({"near": MEMBERS["near"]})
    assert abs(_share(pool, "a") + _share(pool, "b") - 1.0) < 1e-9


def test_demand_that_sets_in_everywhere_is_not_taken_for_the_own_domains() -> None:
    """The first round knows no other domain's demand: it gives an even part."""
    pool = _pool()
    pool.heard("far", DomainTotal({}, 3, 3))
    pool.close_round()
    pool.reported("a", {"w": 50.0})
    pool.reported("b", {"w": 50.0})
    assert abs(_share(pool, "a") - 0.2) < 1e-9


def test_a_daemon_that_is_gone_counts_no_longer() -> None:
    """Its report goes with it."""
    pool = _pool()
    pool.reported("a", {"w": 2.0})
    pool.reported("b", {"w": 4.0})
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
    """Whatever was reported when, the own domain's daemons split one part."""
    pool = _pool()
    for number, (instance, demand) in enumerate(reported):
        pool.reported(instance, demand)
        if number % 2:
            pool.close_round()
        for name in "uvw":
            parts = 0.0
            for member in MEMBERS["near"]:
                counted = pool.counted(member)
                own = counted.own.get(name, 0.0)
                parts += own / counted.total[name] if own else 0.0
            assert parts <= 1.0 + 1e-9


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
