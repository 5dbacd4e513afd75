"""News of call trees between daemons, also of the earlier version."""

import asyncio
import unittest
from typing import Any

import msgspec

from damaskbay.core.call import CallContext, CallResult, PoolReport, Request, Response
from damaskbay.core.outcome import Reason, not_run
from damaskbay.daemon.messages import (
    TreeCallMessage,
    result_of,
    to_call_message,
    to_result_message,
)
from damaskbay.helpers.messages import pack, unpack
from damaskbay.mesh.running import RunningCalls
from tests.common import function_suite
from tests.mesh.common import run_fleet

CONTEXT = CallContext("", "w", 2, 10.0, "r", "p", True, request_id="a1")
REQUEST = Request("GET", "h", "/")
POOLS = (
    PoolReport("p", 1.0, 0.3, 1_000_000, 1.0),
    PoolReport("q", 8.0, 0.2, 5_300, None),
)
MAX_BYTES = 1_000


def _carry(message: Any) -> Any:
    """Return a message as its receiver decodes it."""
    return unpack(pack(message), max_bytes=MAX_BYTES)


def test_an_earlier_daemon_gets_the_messages_that_it_knows() -> None:
    """Their kinds and lengths are fixed; another length is no message to it."""
    earlier = to_call_message(CONTEXT, REQUEST, now=0.0)
    served = CallResult(Response(200), pools=POOLS)
    refused = CallResult(not_run(Reason.OVERLOADED), pools=POOLS)
    for result, kind, length in (
        (served, "call.answer", 10),
        (refused, "call.refusal", 9),
    ):
        sent = msgspec.msgpack.decode(pack(to_result_message(result, earlier)))
        assert (sent[0], len(sent[1])) == (kind, length)
        assert result_of(_carry(to_result_message(result, earlier))).pools is None
    call = msgspec.msgpack.decode(pack(earlier))
    assert (call[0], len(call[1])) == ("call", 21)


def test_news_of_pools_travel_with_results() -> None:
    """A refusal carries them like a response."""
    call = to_call_message(CONTEXT, REQUEST, now=0.0, kind=TreeCallMessage)
    call = _carry(call)
    assert isinstance(call, TreeCallMessage)
    for outcome in (Response(200), not_run(Reason.OVERLOADED)):
        result = CallResult(outcome, pools=POOLS)
        assert result_of(_carry(to_result_message(result, call))) == result


def test_a_running_call_adds_up_what_its_nested_calls_need() -> None:
    """Its own result then has the work of the tree below it."""
    running = RunningCalls()
    call = running.add(CONTEXT)
    for _ in range(4):
        result = CallResult(Response(200), pools=POOLS)
        running.record_nested_end(call, result, 0.0)
    running.record_nested_end(call, CallResult(Response(200)), 0.0)
    assert call.needed["q"].calls == 32.0
    assert abs(call.needed["q"].slot_s - 0.8) < 1e-9


def test_daemons_learn_the_work_of_routes_and_use_earlier_kinds_until_known() -> None:
    """The link tells what its peer understands."""

    async def check() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            ingress = fleet.nodes["b"].daemon
            peer = fleet.nodes["a"].daemon.settings.peers
            trees = ingress._ingress._parts.trees
            assert (await fleet.nodes["b"].request("/safe/")).status == 200
            assert trees.work.by_pool("r0", asyncio.get_running_loop().time())
            link = ingress._links._links_by_peer[peer]
            assert link.peer_version == 2
            link.peer_version = 1
            trees.work._by_route.clear()
            assert (await fleet.nodes["b"].request("/safe/")).status == 200
            assert not len(trees.work)
            assert trees.levels.is_known("r0", asyncio.get_running_loop().time())

    asyncio.run(check())


def test_the_edge_knows_a_pool_below_the_called_server() -> None:
    """Guards against calls of a deeper pool that don't count for the root call."""

    async def check() -> None:
        async with run_fleet(a="one", b="two") as fleet:

            async def nested(request: Request) -> Response | None:
                own = dict(request.headers)["X-Request-Id"]
                for number in range(3):
                    await fleet.nodes["a"].request(
                        "/open/", key=None, request_id=f"{own}.n{number}"
                    )
                return None

            fleet.nodes["a"].backend.override_response = nested
            answer = await fleet.nodes["b"].request("/safe/", request_id="root")
            assert answer.status == 200
            trees = fleet.nodes["b"].daemon._ingress._parts.trees
            work = trees.work.by_pool("r0", asyncio.get_running_loop().time())
            assert {pool: item.calls for pool, item in work.items()} == {
                "one": 1.0,
                "two": 3.0,
            }

    asyncio.run(check())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
