"""Tests of core.routing."""

import unittest
from collections import Counter
from collections.abc import Sequence

from hypothesis import given, settings, strategies as st

from damaskbay.core.outcome import Reason, Refusal
from damaskbay.core.routing import FailureKind, Router
from damaskbay.ports.fleet import ServerState, ServerView
from tests.common import function_suite
from tests.core.common import make_context
from tests.core.routing.common import make_router, outcome, server

SERVERS = tuple(server(f"s{number}") for number in range(4))
FAILURES = list(FailureKind)


def choose(
    router: Router, servers: Sequence[ServerView], now: float, *, rank: int = 1
) -> str:
    """Return the instance chosen for a call; a refusal fails the test."""
    context = make_context(priority_rank=rank)
    view = router.choose(servers, context, now=now)
    assert isinstance(view, ServerView)
    return view.instance


def spread(
    router: Router, servers: Sequence[ServerView], calls: int = 400, *, now: float = 0.0
) -> Counter[str]:
    """Send calls that don't end; return the count per server."""
    chosen: Counter[str] = Counter()
    for _ in range(calls):
        instance = choose(router, servers, now)
        router.record_start(instance, now)
        chosen[instance] += 1
    return chosen


def fail(router: Router, instance: str, now: float, times: int = 5) -> None:
    """Record failed calls to one server."""
    for _ in range(times):
        router.record_start(instance, now)
        router.record_end(instance, outcome(failure=FailureKind.LOST), now)


def test_local_server_goes_first_while_it_has_room() -> None:
    """The local server gets calls until it is nearly full, then others do too."""
    router = make_router()
    servers = (server("here", local=True), *SERVERS[1:])
    chosen = spread(router, servers, 20)
    assert chosen["here"] >= 6
    assert len(chosen) == 4


def test_own_failure_domain_goes_first() -> None:
    """A remote domain gets calls only if the local one is full and the pool allows."""
    servers = (server("near"), server("far", failure_domain="b"))
    assert spread(make_router(), servers, 7) == {"near": 7}
    assert spread(make_router(), servers, 16)["far"] >= 5
    far = make_router().choose(
        servers[1:], make_context(), now=0.0, other_domains=False
    )
    assert isinstance(far, Refusal)
    assert far.reason is Reason.NO_BACKEND_SERVER
    assert far.not_run


def test_large_pool_is_spread_and_the_local_server_found() -> None:
    """Each call samples a large pool; many calls reach most of the local domain."""
    far = [server(f"far{number}", failure_domain="b") for number in range(60)]
    near = [server(f"near{number}") for number in range(60)]
    chosen = spread(make_router(), far + near, 300)
    assert len(chosen) >= 55
    assert all(name.startswith("near") for name in chosen)
    here = server("here", local=True)
    assert choose(make_router(), [*far, *near, here], 0.0) == "here"


def test_draining_and_excluded_servers_get_nothing() -> None:
    """Draining servers and excluded servers are never chosen."""
    draining = server("draining", state=ServerState.DRAINING)
    router = make_router()
    for _ in range(50):
        view = router.choose(
            (draining, *SERVERS), make_context(), excluded=frozenset({"s0"}), now=0.0
        )
        assert isinstance(view, ServerView)
        assert view.instance not in ("draining", "s0")


def test_lying_load_does_not_move_traffic() -> None:
    """A server with a false report of no load doesn't attract most of the calls."""
    servers = tuple(
        server(f"s{number}", slots=330, load=0.0 if number == 0 else 1.0)
        for number in range(4)
    )
    chosen = spread(make_router(), servers, 400)
    assert chosen["s0"] <= 130


def test_measured_outcomes_win_over_reported_ones() -> None:
    """A server that reports ready and idle but fails is ejected."""
    router = make_router()
    assert choose(router, SERVERS, 0.0)
    fail(router, "s0", 0.0)
    assert "s0" not in spread(router, SERVERS, 100, now=0.1)


def test_recovery_by_a_trickle_of_real_calls() -> None:
    """An ejected server gets single probes; successes restore its share slowly."""
    router = make_router()
    choose(router, SERVERS, 0.0)
    fail(router, "s0", 0.0)
    now = 1.5
    for _ in range(3):
        assert choose(router, SERVERS, now) == "s0"
        router.record_start("s0", now)
        assert choose(router, SERVERS, now) != "s0", "one probe at a time"
        router.record_end("s0", outcome(), now)
        now += 0.3
    chosen = spread(router, SERVERS, 200, now=now)
    assert 0 < chosen["s0"] < 40, "slow start after the probes"
    assert spread(router, SERVERS, 200, now=now + 20.0)["s0"] >= 40


def test_a_call_that_must_run_once_is_no_trickle() -> None:
    """A non-idempotent call is never used to probe an ejected server."""
    router = make_router()
    choose(router, SERVERS, 0.0)
    fail(router, "s0", 0.0)
    context = make_context(idempotent=False)
    for _ in range(50):
        view = router.choose(SERVERS, context, now=5.0)
        assert isinstance(view, ServerView)
        assert view.instance != "s0"


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.integers(1, 5),
    st.lists(
        st.tuples(st.integers(0, 4), st.sampled_from(FAILURES), st.floats(0.0, 2.0)),
        max_size=60,
    ),
)
def test_ejection_never_empties_a_pool(
    count: int, failures: list[tuple[int, FailureKind, float]]
) -> None:
    """A pool with ready servers always has one to choose, whatever fails."""
    servers = [server(f"s{number}") for number in range(count)]
    router = make_router()
    now = 0.0
    for number, failure, wait_s in failures:
        now += wait_s
        choose(router, servers, now)
        instance = f"s{number % count}"
        router.record_start(instance, now)
        router.record_end(instance, outcome(failure=failure), now)
        assert choose(router, servers, now)


def test_cold_server_starts_slowly() -> None:
    """A server that just became ready gets few calls at first, its full share later."""
    cold = server("cold", slots=330, ready_at=0.0)
    servers = (cold, *(server(f"s{number}", slots=330) for number in range(3)))
    early = spread(make_router(), servers, 200, now=1.0)
    late = spread(make_router(), servers, 200, now=11.0)
    assert early["cold"] <= 20
    assert 30 <= late["cold"] <= 70


def test_replaced_server_at_the_same_name_is_new() -> None:
    """Failures of an older incarnation don't count against a newer one."""
    router = make_router()
    choose(router, SERVERS, 0.0)
    fail(router, "s0", 0.0)
    replaced = (server("s0", incarnation=2), *SERVERS[1:])
    assert spread(router, replaced, 100)["s0"] >= 15


def report_level(router: Router, level: int, now: float) -> None:
    """Record a response with this admission level from each server."""
    choose(router, SERVERS, now)
    for view in SERVERS:
        router.record_start(view.instance, now)
        router.record_end(view.instance, outcome(level=level), now)


def refused_share(
    router: Router, now: float, *, rank: int, depth: int = 0, calls: int = 400
) -> float:
    """Return the share of calls that get an early refusal."""
    contexts = [
        make_context(priority_rank=rank, depth=depth, workspace=f"w{number}")
        for number in range(4)
    ]
    refused = 0
    for number in range(calls):
        refusal = router.early_refusal(SERVERS, contexts[number % 4], now)
        refused += refusal is not None
    return refused / calls


def test_early_refusal_by_priority() -> None:
    """A level of 1,300 passes rank 0 and 30% of rank 1, and sheds rank 2."""
    router = make_router()
    report_level(router, 1300, 0.0)
    assert refused_share(router, 0.0, rank=0) == 0.0
    assert 0.6 <= refused_share(router, 0.0, rank=1) <= 0.8
    assert refused_share(router, 0.0, rank=2) == 1.0
    assert refused_share(router, 0.0, rank=1, depth=4) < 0.4


def test_early_refusal_is_fair_between_workspaces() -> None:
    """All calls of a small workspace pass next to one with twenty times the calls."""
    router = make_router()
    passed: Counter[str] = Counter()
    for number in range(2100):
        now = number * 0.001
        report_level(router, 1300, now)
        name = "small" if number % 21 == 0 else "large"
        context = make_context(priority_rank=1, workspace=name)
        passed[name] += router.early_refusal(SERVERS, context, now) is None
    assert passed["small"] >= 95
    assert 400 <= passed["large"] <= 700


def test_levels_age_out() -> None:
    """A level expires without new responses."""
    router = make_router()
    report_level(router, 100, 0.0)
    assert refused_share(router, 0.0, rank=2) == 1.0
    assert refused_share(router, 2.0, rank=2) == 0.0


def test_next_rank_goes_on_trying() -> None:
    """A few calls of the most important fully shed rank still pass."""
    router = make_router()
    report_level(router, 2000, 0.0)
    assert 0.9 <= refused_share(router, 0.0, rank=2) < 1.0


def test_early_refusal_is_true_and_says_when_to_return() -> None:
    """An early refusal states that the call has not run, with a random retry delay."""
    router = make_router()
    report_level(router, 0, 0.0)
    waits = set()
    for _ in range(20):
        refusal = router.early_refusal(SERVERS, make_context(priority_rank=2), 0.0)
        assert refusal is not None
        assert refusal.not_run
        waits.add(refusal.retry_after_s)
    assert len(waits) == 20


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
