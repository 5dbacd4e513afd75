"""Work of call trees, room of pools, and which root calls begin."""

import unittest
from random import Random

from damaskbay.core.admission.level import OPEN_LEVEL
from damaskbay.core.call import CallContext, CallResult, PoolReport, Response
from damaskbay.core.outcome import Reason, not_run, unknown
from damaskbay.core.trees.admission import (
    RouteDemand,
    TreeAdmission,
    TreeRefusal,
    divide_by_work,
)
from damaskbay.core.trees.const import (
    MAX_RETRY_AFTER_S,
    MAX_ROUTES,
    MIN_ROUTE_SHARE,
    RETRY_AFTER_S,
)
from damaskbay.core.trees.reports import TreeReports
from damaskbay.core.trees.room import AcceptedShare
from damaskbay.core.trees.work import TreeWork
from tests.common import function_suite

SERVED = Response(200)


def _context(route: str, rank: int = 5) -> CallContext:
    return CallContext("", "w", rank, 10.0, route, "front", True)


def _result(calls: float, level: int, accepted: float = 1.0) -> CallResult:
    front = PoolReport("front", 1.0, 0.3, OPEN_LEVEL, 1.0)
    below = PoolReport("deep", calls, calls * 0.03, level, accepted)
    return CallResult(SERVED, pools=(front, below) if calls else (front,))


def _begun(admission: TreeAdmission, route: str, now: float, rank: int = 5) -> float:
    """Return the share of root calls that begin."""
    count = 400
    refused = [admission.refusal(route, rank, "w", 1.0, now) for _ in range(count)]
    return refused.count(None) / count


def _learn(reports: TreeReports, level: int, accepted: float = 1.0) -> None:
    """Record results of three routes with 8, 1 and no calls at the deep pool."""
    for count in range(100):
        for route, calls in (("big", 8.0), ("small", 1.0), ("apart", 0.0)):
            result = _result(calls, level, accepted)
            reports.record_result(_context(route), result, 0.01 * count)


def test_the_work_of_a_route_follows_its_calls() -> None:
    """A failed call counts only with what exceeds the mean, as it was cut short."""
    work = TreeWork()
    for count in range(60):
        work.record("r", (PoolReport("p", 8.0, 0.2),), 0.1 * count, completed=True)
    work.record("r", (PoolReport("p", 2.0, 0.1),), 6.0, completed=False)
    assert abs(work.by_pool("r", 6.0)["p"].calls - 8.0) < 0.01
    for count in range(60):
        work.record(
            "r", (PoolReport("q", 1.0, 0.2),), 6.0 + 0.1 * count, completed=True
        )
    assert set(work.by_pool("r", 12.0)) == {"q"}
    assert not work.by_pool("r", 100.0)


def test_known_routes_are_bounded() -> None:
    """Guards against growth with route names of many configuration sets."""
    work = TreeWork()
    for count in range(2 * MAX_ROUTES):
        pools = tuple(PoolReport(f"p{number}", 1.0) for number in range(50))
        work.record(f"r{count}", pools, 0.0, completed=True)
    assert len(work) == MAX_ROUTES
    assert len(work.by_pool(f"r{2 * MAX_ROUTES - 1}", 0.0)) <= 16


def test_a_route_is_refused_only_for_pools_of_its_tree() -> None:
    """Reports of one route count for the others that reach the pool, and no more."""
    reports = TreeReports()
    _learn(reports, 5_300)
    admission = TreeAdmission(reports, Random(1))
    assert _begun(admission, "apart", 1.0) == 1.0
    assert _begun(admission, "big", 1.0) < 0.5
    assert _begun(admission, "big", 1.0, rank=4) == 1.0
    assert _begun(admission, "unknown", 1.0) == 1.0
    assert _begun(admission, "big", 2.0) == 1.0


def test_a_small_share_of_a_refused_rank_begins() -> None:
    """Without it nothing would show that the pool has room again."""
    reports = TreeReports()
    _learn(reports, 3_000)
    assert 0.0 < _begun(TreeAdmission(reports, Random(1)), "big", 1.0) < 0.06


def test_a_tree_that_would_hardly_complete_does_not_begin() -> None:
    """Of 45 % accepted sends, 8 calls with two attempts complete in 6 % of trees."""
    reports = TreeReports()
    _learn(reports, OPEN_LEVEL, accepted=0.45)
    admission = TreeAdmission(reports, Random(1), lambda _pool: 2)
    assert _begun(admission, "big", 1.0) < 0.06
    assert _begun(admission, "small", 1.0) == 1.0
    assert _begun(admission, "apart", 1.0) == 1.0
    assert _begun(admission, "big", 2.0) == 1.0


def test_a_refusal_names_the_pool_its_cost_and_a_spread_delay() -> None:
    """Equal delays would bring the refused callers back as a wave."""
    reports = TreeReports()
    _learn(reports, 5_300)
    admission = TreeAdmission(reports, Random(1))
    found = [admission.refusal("big", 5, "w", 1.0, 1.0) for _ in range(400)]
    refused = [item for item in found if isinstance(item, TreeRefusal)]
    assert refused[0].pool == "deep"
    assert "pool deep: the tree needs 8.0 calls and 0.240" in refused[0].refusal.detail
    delays = [item.refusal.retry_after_s or 0.0 for item in refused]
    assert min(delays) >= RETRY_AFTER_S
    assert max(delays) <= MAX_RETRY_AFTER_S
    assert max(delays) > 1.5 * min(delays)
    assert len(set(delays)) > len(delays) // 2


def test_room_is_divided_by_work_and_starves_no_route() -> None:
    """The largest tree gets the least of its calls, but never close to nothing."""
    routes = {
        "big": RouteDemand(10.0, 0.24),
        "middle": RouteDemand(10.0, 0.12),
        "small": RouteDemand(10.0, 0.03),
    }
    for share in (0.9, 0.5, 0.2, 0.05):
        shares = divide_by_work(share, routes)
        used = sum(shares[name] * 10.0 * item.work for name, item in routes.items())
        assert abs(used - share * 3.9) < 0.01
        assert shares["big"] <= shares["middle"] <= shares["small"]
        mean = sum(shares.values()) / 3.0
        assert shares["big"] >= 0.7 * MIN_ROUTE_SHARE * mean


def test_one_rejected_send_is_no_faulty_server() -> None:
    """The share follows within about a second, and returns to 1."""
    accepted = AcceptedShare()
    accepted.record(0.0, accepted=False)
    assert accepted.value(0.0) > 0.6
    for count in range(600):
        accepted.record(0.005 * count, accepted=count % 2 == 0)
    assert 0.45 < accepted.value(3.0) < 0.55
    assert accepted.value(20.0) == 1.0


def test_results_of_an_earlier_version_count_by_their_route() -> None:
    """They carry a level alone, which says nothing of other routes."""
    reports = TreeReports()
    admission = TreeAdmission(reports, Random(1))
    for count in range(100):
        result = CallResult(SERVED, admission_level=5_000)
        reports.record_result(_context("r"), result, 0.01 * count)
    assert _begun(admission, "r", 1.0) < 0.1
    assert _begun(admission, "q", 1.0) == 1.0


def test_a_call_that_finds_no_room_is_news_of_its_pool_alone() -> None:
    """Its pool is shed although its level is open; what a server rejects is not."""
    reports = TreeReports()
    own = (PoolReport("front", 0.0, 0.0, OPEN_LEVEL, 1.0),)
    full = CallResult(not_run(Reason.QUEUE_FULL), 0, pools=own)
    rejected = CallResult(not_run(Reason.OVERLOADED), 1, pools=own)
    for count in range(100):
        reports.record_result(_context("r"), rejected, 0.01 * count)
    assert reports.room.level("front", 1.0) == OPEN_LEVEL
    for count in range(100):
        reports.record_result(_context("r"), full, 1.0 + 0.01 * count)
    assert reports.room.level("front", 2.0) < 5_200


def test_a_call_that_fails_early_reports_the_pools_of_its_route() -> None:
    """Guards against a pool that is no longer heard of, since no call reaches it."""
    reports = TreeReports()
    _learn(reports, 5_300)
    own = PoolReport("front", 0.0, 0.0, OPEN_LEVEL, 1.0)
    pools = {item.pool: item for item in reports.pools_of("big", own, (), 1.0)}
    assert pools["deep"].level == 5_300
    assert not pools["deep"].calls
    lost = CallResult(unknown(Reason.PEER_LOST))
    reports.record_result(_context("big"), lost, 1.0)
    assert reports.work.by_pool("big", 1.0)["deep"].calls > 7.9


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
