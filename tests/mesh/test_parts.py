"""Components of the event-driven daemon, in virtual time."""

import random
import unittest
from dataclasses import replace

from damaskbay.config.objects import (
    Access,
    ConfigSet,
    Priority,
    RankedWorkspace,
    WeightedPool,
    WeightedRoute,
)
from damaskbay.config.ranks import Ranks
from damaskbay.core.admission.level import OPEN_LEVEL
from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.retry.repeats import ServerRetryBudget, ServerRetryOptions
from damaskbay.core.trees.admission import TreeAdmission
from damaskbay.core.trees.reports import TreeReports
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.directory import NOTE_TIMEOUT_S, Directory, MemberRecord
from damaskbay.mesh.local_server import Heartbeat, LocalServer
from damaskbay.mesh.messages import Note
from damaskbay.mesh.records import decode_record, encode_record
from damaskbay.mesh.running import RunningCalls
from damaskbay.mesh.weights import WeightedChoice
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ROUTE = WeightedRoute(
    name="r",
    host="h",
    path_prefix="/p/",
    methods=frozenset(),
    pool="p",
    access=Access.KEYED,
    idempotent=True,
    deadline_s=1.0,
    priority="1",
)
CONTEXT = CallContext("", "w", 2, 10.0, "r", "p", True, request_id="a1")
RECORD = MemberRecord(
    "d1", 5, "zone", PeerAddress("10.0.0.1", 7000), "p", ServerState.READY, 4, "i", 9
)
READY = Heartbeat("i-1", ServerState.READY, 8, 1, 1000)


def _note(**changes: object) -> Note:
    note = Note("d1", 5, "zone", "10.0.0.1", 7000, "p", ServerState.READY, 4, 0.0, 1)
    return replace(note, **changes)  # type: ignore[arg-type]


def test_an_overtaken_report_is_not_taken() -> None:
    """Reports are ordered by the server's start, then by their sequence."""
    local = LocalServer(2.0, lambda: None)
    assert local.record_heartbeat(replace(READY, sequence=3), 0.0)
    assert not local.record_heartbeat(replace(READY, sequence=2, slots=1), 0.1)
    assert local.slots == 8
    assert local.record_heartbeat(
        replace(READY, server="i-2", sequence=1, started_ms=2000), 0.2
    )
    late = replace(READY, sequence=9, state=ServerState.DRAINING)
    assert not local.record_heartbeat(late, 0.3)
    assert (local.server, local.state.value) == ("i-2", "ready")


def test_a_leaving_server_gets_no_call_after_its_time() -> None:
    """Admitted calls may still be sent, but for less than the drain time."""
    local = LocalServer(2.0, lambda: None)
    local.record_heartbeat(READY, 0.0)
    local.record_heartbeat(replace(READY, sequence=2, state=ServerState.DRAINING), 1.0)
    assert local.may_send(1.5)
    assert not local.may_send(3.0)
    local.record_heartbeat(replace(READY, sequence=3), 1.2)
    assert local.state is ServerState.DRAINING
    local.record_heartbeat(replace(READY, started_ms=2000), 4.0)
    assert local.may_send(4.0)


def test_a_deregistered_server_is_gone() -> None:
    """Another server, or an earlier start of this one, can't deregister it."""
    local = LocalServer(2.0, lambda: None)
    local.record_heartbeat(READY, 0.0)
    assert not local.deregister("i-9", None, 0.5)
    assert not local.deregister("i-1", 999, 0.5)
    assert local.deregister("i-1", 1000, 1.0)
    assert local.state is ServerState.GONE
    assert not local.may_send(3.0)


def test_a_restarted_daemon_remembers_that_its_server_was_leaving() -> None:
    """A late report of the same server start doesn't make it ready again."""
    local = LocalServer(2.0, lambda: None)
    local.restore(replace(READY, state=ServerState.DRAINING, sequence=0), 0.0)
    assert local.state.value == "starting"
    local.record_heartbeat(READY, 0.0)
    assert local.state.value == "draining"
    local.record_heartbeat(replace(READY, server="i-2", started_ms=3000), 0.5)
    assert (local.server, local.may_send(9.0)) == ("i-2", True)


def test_a_restarted_daemon_serves_with_what_it_knew() -> None:
    """The record of its earlier start is used until the next report."""
    local = LocalServer(2.0, lambda: None)
    local.restore(replace(READY, sequence=0), 0.0)
    assert (local.server, local.slots, local.state.value) == ("i-1", 8, "ready")
    assert local.record_heartbeat(replace(READY, slots=9, sequence=4), 0.5)
    local.restore(replace(READY, server="i-0"), 0.6)
    assert (local.server, local.slots) == ("i-1", 9)


def test_what_a_daemon_says_goes_before_its_record() -> None:
    """A record that is read later but was written earlier is ignored."""
    directory = Directory("me", lambda _address: True)
    directory.put_note(_note(state=ServerState.DRAINING), 1.0)
    directory.put(RECORD, 1.5)
    assert not directory.servers("p")
    directory.put(replace(RECORD, incarnation=6), 1.6)
    assert [view.instance for view in directory.servers("p")] == ["d1"]
    directory.put_note(_note(state=ServerState.DRAINING), 1.7)
    assert directory.servers("p"), "a note of an earlier start was not ignored"


def test_a_lapsed_record_keeps_a_daemon_that_is_heard() -> None:
    """Notes keep a daemon alive while the store drops leases."""
    directory = Directory("me", lambda _address: True)
    directory.put(RECORD, 0.0)
    directory.put_note(_note(), 1.0)
    directory.replace_listing([], 2.0)
    assert directory.servers("p")
    directory.remove_expired(1.0 + NOTE_TIMEOUT_S + 0.1)
    assert not directory.servers("p")
    assert "d1" not in directory.instances()


def test_servers_without_a_link_get_nothing() -> None:
    """An unreachable daemon stays known, but isn't selected."""
    up = {"now": True}
    directory = Directory("me", lambda _address: up["now"])
    directory.put_note(_note(), 0.0)
    assert directory.servers("p")
    up["now"] = False
    directory.invalidate()
    assert not directory.servers("p")
    assert "d1" in directory.instances()


def test_records_survive_the_store() -> None:
    """Records survive a round trip; other bytes are rejected."""
    assert decode_record(encode_record(RECORD)) == RECORD
    for bad in (
        b"",
        b"\x00",
        b"\xff\xff",
        b"\x93\x01\x02\x03",
        encode_record(RECORD)[1:],
    ):
        assert decode_record(bad) is None


def test_a_set_never_goes_back() -> None:
    """A lower version is not activated, and a proof holds for its version only."""
    configuration = Configuration()
    assert configuration.activate(ConfigSet(5, "a"), b"5", "store")
    assert not configuration.activate(ConfigSet(4, "b"), b"4", "peer")
    assert configuration.version == 5
    configuration.record_proof(4, 10.0)
    assert configuration.proof_age_s(11.0) is None
    configuration.record_proof(5, 10.0)
    configuration.record_proof(5, 9.0)
    assert configuration.proof_age_s(11.0) == 1.0


def test_calls_are_found_again_by_the_ids_of_what_they_call() -> None:
    """The caller is the running call with the longest id before a separator."""
    running = RunningCalls()
    call = running.add(CONTEXT)
    assert running.caller_of("a1.b2") is call
    assert running.caller_of("a1.b2.c3") is call
    assert running.caller_of("a1") is None
    assert running.caller_of("a12.b2") is None
    assert running.caller_of(None) is None
    running.record_nested_end(call, CallResult(Response(503), admission_level=500), 0.0)
    assert call.nested_failed
    assert running.level("r", 9000, 0.1) == 500
    running.remove(call)
    assert running.caller_of("a1.b2") is None


def test_the_workspace_ranks_before_the_route() -> None:
    """The workspace's priority counts before that of the route."""
    config = ConfigSet(
        1,
        "",
        workspaces_by_name={
            "high": RankedWorkspace("high", 1, 1, priority="0"),
            "low": RankedWorkspace("low", 1, 1, priority="3"),
        },
        routes_by_name={"r": ROUTE, "s": replace(ROUTE, name="s", priority="2")},
        priorities_by_name={n: Priority(n, int(n)) for n in ("0", "1", "2", "3")},
    )
    ranks = Ranks(config)
    high, low = config.workspaces_by_name["high"], config.workspaces_by_name["low"]
    less = config.routes_by_name["s"]
    order = [
        ranks.rank(ROUTE, high),
        ranks.rank(less, high),
        ranks.rank(ROUTE, low),
        ranks.rank(less, low),
    ]
    assert order == sorted(set(order))
    assert ranks.rank(ROUTE, None) == ranks.rank(ROUTE, high)


def test_weights_hold_over_short_spans() -> None:
    """In any hundred consecutive calls each pool gets its part, plus or minus two."""
    parts = (WeightedPool("a", 90), WeightedPool("b", 10))
    choice = WeightedChoice(random.Random(3))
    route = replace(ROUTE, weighted_pools=parts)
    chosen = [choice.next_pool(route) for _ in range(1000)]
    for first in range(0, 900, 50):
        assert 8 <= chosen[first : first + 100].count("b") <= 12
    assert choice.next_pool(ROUTE) == "p"


def test_repeats_stay_within_the_ratio() -> None:
    """Retries never exceed the ratio of first attempts plus the saved budget."""
    budget = ServerRetryBudget(ServerRetryOptions(ratio=0.2, saved=4.0))
    rng = random.Random(5)
    firsts = repeats = 0
    for index in range(5000):
        if rng.random() < 0.5:
            budget.record_first_attempt(index * 0.01)
            firsts += 1
        elif budget.spend(rng.randrange(3), index * 0.01):
            repeats += 1
        assert repeats <= 0.2 * firsts + 4.0
    assert repeats > 0.15 * firsts


def test_less_important_repeats_leave_a_reserve() -> None:
    """A retry is refused while a more important call may still be retried."""
    budget = ServerRetryBudget(ServerRetryOptions(ratio=0.0, saved=4.0))
    assert budget.spend(0, 0.0)
    while budget.spend(1, 0.0):
        pass
    assert budget.spend(0, 0.0)
    budget.record_nested_attempt()
    assert not budget.spend(0, 0.0)


def test_the_fewer_pass_the_later_the_refused_come_back() -> None:
    """Earlier retries would be refused again and delay admitted calls."""

    def longest(level: int) -> float:
        reports = TreeReports()
        admission = TreeAdmission(reports, random.Random(1))
        for step in range(40):
            reports.levels.record_level("r", level, step * 0.01)
        refused = [admission.refusal("r", 1, "w", 1.0, 0.4) for _ in range(200)]
        waits = [item.refusal.retry_after_s for item in refused if item is not None]
        return max(wait for wait in waits if wait is not None)

    assert longest(1800) < longest(1500) < longest(1200)


def test_the_edge_refuses_the_least_important_first() -> None:
    """A level of 1,500 admits all of rank 0 and half of rank 1, until it expires."""
    reports = TreeReports()
    admission = TreeAdmission(reports, random.Random(1))
    assert admission.refusal("r", 2, "w", 1.0, 0.0) is None

    def admitted(rank: int, now: float) -> int:
        reports.levels.record_level("r", 1500, now)
        return sum(
            admission.refusal("r", rank, "w", 1.0, now) is None for _ in range(200)
        )

    for step in range(40):
        reports.levels.record_level("r", 1500, step * 0.01)
    assert admitted(0, 0.4) == 200
    assert 60 <= admitted(1, 0.4) <= 140
    assert admitted(2, 0.4) <= 20
    assert admission.refusal("r", 2, "w", 1.0, 5.0) is None
    reports.levels.record_level("q", OPEN_LEVEL, 0.0)
    assert admission.refusal("q", 99, "w", 1.0, 0.0) is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
