"""Which calls a daemon takes while little of its memory is left."""

import asyncio
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.core.call import Request, Response
from damaskbay.core.memory_account import (
    ADMISSION_SHARE,
    Holding,
    MemoryAccount,
    account_limit_bytes,
)
from tests.common import function_suite, without_collection
from tests.mesh.common import WAIT_S, Fleet, Node, run_fleet

LARGE_BODY = bytes(4 * 1024 * 1024)


def _run(check: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            await check(fleet)

    asyncio.run(run())


def _memory(node: Node) -> MemoryAccount:
    return node.daemon._ingress._parts.memory


async def _answer_large(request: Request) -> Response:
    headers = dict(request.headers)
    own = (("X-Request-Id", headers["X-Request-Id"]), ("X-Server-Stamp", "stamp"))
    return Response(200, own, LARGE_BODY)


async def _check_refusals(fleet: Fleet, full: Node, share: float) -> None:
    """
    Check that only calls with large responses are refused, and are not run.

    The memory of the full daemon is used up to a share of its limit, 0 to 1, but for
    half of a response.
    """
    caller, large = fleet.nodes["a"], fleet.nodes["b"]
    large.backend.override_response = _answer_large
    assert (await caller.request("/open/x", key=None)).body == LARGE_BODY
    memory = _memory(full)
    with Holding(memory) as other:
        other.set(int(share * memory.limit_bytes) - len(LARGE_BODY) // 2)
        response = await caller.request("/open/x", key=None)
        assert response.status == 503
        assert "Retry-After" in dict(response.headers)
        assert (await caller.request("/safe/x")).status == 200
    assert len(large.backend.seen) == 1
    assert (await caller.request("/open/x", key=None)).status == 200


# A daemon whose callers read slowly exceeded its memory: it went on to ask others.
def test_a_full_daemon_takes_no_call_with_a_large_response() -> None:
    """It refuses calls to other daemons whose responses it has no memory for."""

    async def check(fleet: Fleet) -> None:
        await _check_refusals(fleet, fleet.nodes["a"], ADMISSION_SHARE)

    _run(check)


def test_a_full_daemon_passes_no_call_with_a_large_response_to_its_server() -> None:
    """It refuses calls of other daemons, too."""

    async def check(fleet: Fleet) -> None:
        await _check_refusals(fleet, fleet.nodes["b"], 1.0)

    _run(check)


# The calls of callers who had left were kept by the server's daemon, uncounted.
def test_calls_that_are_cancelled_are_not_kept() -> None:
    """Neither by their caller's daemon nor by the server's."""

    async def answer_late(_: Request) -> Response:
        await asyncio.sleep(WAIT_S)
        return Response(200)

    async def check(fleet: Fleet) -> None:
        caller, server = fleet.nodes["a"], fleet.nodes["b"]
        server.backend.override_response = answer_late
        with without_collection():
            before = tracemalloc.get_traced_memory()[0]
            for number in range(4):
                response = await caller.request(
                    "/open/x", body=LARGE_BODY, deadline_ms=100 + number
                )
                assert response.status == 504
            server.backend.seen.clear()
            await asyncio.sleep(0.2)
            kept_bytes = tracemalloc.get_traced_memory()[0] - before
        assert kept_bytes < len(LARGE_BODY), kept_bytes

    _run(check)


def test_every_process_has_memory_for_calls() -> None:
    """The part for calls grows with the process, and is never nothing."""
    limits = [account_limit_bytes(size * 1024 * 1024) for size in (32, 64, 128, 300)]
    assert 0 < limits[0] < limits[1] < limits[2] < limits[3]
    assert limits[3] < 200 * 1024 * 1024


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
