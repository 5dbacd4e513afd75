"""Failures of servers whose status promises that the request has not run."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.core.call import Headers, Request, Response
from damaskbay.core.outcome import Reason, unknown
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.refusals import RefusalResponses
from damaskbay.platform.const import HEADER_NAMES
from tests.common import function_suite
from tests.mesh.common import Node, run_fleet, wait_until

NESTED = ".n"
"""End of the ids of the calls that a server makes in a request."""

PROMISES = (408, 421, 429, 503)
FAILURES = (500, 502, 504)

Override = Callable[[Request], Awaitable[Response | None]]


def _failing(status: int, *, stamp: bool = True, headers: Headers = ()) -> Override:
    """Return responses with a status, stamped if the server has run the request."""

    async def respond(request: Request) -> Response:
        request_id = dict(request.headers)["X-Request-Id"]
        own: Headers = (("X-Request-Id", request_id), *headers)
        if stamp:
            own = (*own, ("X-Server-Stamp", "stamp"))
        return Response(status, own, b"failed")

    return respond


# Guards against a client that files twice, as the first run was answered 503.
def test_a_request_that_ran_is_not_answered_with_a_promise() -> None:
    """Its server is local, or beside another daemon; others' failures stay as is."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            server = fleet.nodes["a"].backend
            for name in ("a", "b"):
                for status in (*PROMISES, *FAILURES):
                    server.override_response = _failing(status)
                    server.seen.clear()
                    response = await fleet.nodes[name].request(
                        "/unsafe/x", method="POST"
                    )
                    stamped = "X-Server-Stamp" in dict(response.headers)
                    is_passed_on = status in FAILURES
                    expected = status if is_passed_on else 502
                    assert (response.status, stamped) == (expected, is_passed_on)
                    assert "Retry-After" not in dict(response.headers)
                    assert len(server.seen) == 1

    asyncio.run(run())


# Guards against a server that repeats a call of its own, as the run was answered 503.
def test_a_call_of_a_server_that_ran_is_not_answered_with_a_promise() -> None:
    """Its target is beside another daemon, or one of two of which one is local."""

    async def run() -> None:
        async with run_fleet(a="one", b="two", c="one") as fleet:
            await fleet.publish(AuthExempt=True)
            for node in fleet.nodes.values():
                configuration = node.daemon.configuration
                await wait_until(lambda c=configuration: c.version == fleet.version)  # type: ignore[misc]
            statuses: list[int] = []

            def calling(node: Node) -> Override:
                async def respond(request: Request) -> Response | None:
                    request_id = dict(request.headers)["X-Request-Id"]
                    if NESTED in request_id:
                        return await _failing(503)(request)
                    nested_id = f"{request_id}{NESTED}"
                    response = await node.request(
                        "/unsafe/x", key=None, method="POST", request_id=nested_id
                    )
                    statuses.append(response.status)
                    return None

                return respond

            for node in fleet.nodes.values():
                node.backend.override_response = calling(node)
            for name, path in (("b", "/open/x"), ("a", "/safe/x")):
                for _ in range(4):
                    response = await fleet.nodes[name].request(path)
                    assert response.status == 200
            assert statuses == [502] * 8, statuses

    asyncio.run(run())


# Guards against a failure of a server that is told to clients with another status.
def test_a_failed_request_that_may_be_repeated_keeps_its_status() -> None:
    """Callers may send it again anyway; the response has the server's stamp."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            server = fleet.nodes["a"].backend
            for name in ("a", "b"):
                for status in (*PROMISES, *FAILURES):
                    server.override_response = _failing(status)
                    response = await fleet.nodes[name].request("/safe/x")
                    stamp = dict(response.headers).get("X-Server-Stamp")
                    assert (response.status, stamp) == (status, "stamp")

    asyncio.run(run())


# Guards against requests that have not run and that nobody may send again.
def test_a_request_that_has_not_run_stays_refused() -> None:
    """The server says so in a header, or with a status and no stamp."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            server = fleet.nodes["a"].backend
            marked = (("X-Not-Executed", "1"),)
            cases = [
                _failing(status, stamp=False, headers=marked)
                for status in (*PROMISES, 400)
            ]
            for name in ("a", "b"):
                for override in (*cases, _failing(421, stamp=False)):
                    server.override_response = override
                    response = await fleet.nodes[name].request(
                        "/unsafe/x", method="POST"
                    )
                    assert response.status == 503
                    assert "Retry-After" in dict(response.headers)

    asyncio.run(run())


# Guards against a status of the daemon's own that promises too much.
def test_a_refusal_with_an_unknown_outcome_makes_no_promise() -> None:
    """Whatever its reason is."""
    responses = RefusalResponses(
        Configuration(), BoundTelemetry(), HEADER_NAMES, lambda: 0.0
    )
    for reason in Reason:
        response = responses.response(unknown(reason), "q1", None)
        assert response.status not in PROMISES, reason


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
