"""Which calls the daemon sends to its server again after a connection was closed."""

import asyncio
import contextlib
import time
import unittest
from collections.abc import AsyncIterator, Callable
from typing import cast
from unittest.mock import patch

from damaskbay.core.call import CallContext, Request, Response
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.const import RETRY_RATIO_SHARE, RETRY_SLACK_SHARE
from damaskbay.mesh.local_server import LocalServer
from tests.common import function_suite, reserve_address
from tests.mesh.common import Backend, Fleet, Node

REQUESTS = 60
RETRY_RATIO = 0.2
RETRY_SLACK = 50.0


class _ResettingServer(asyncio.Protocol):
    """Answers the first request of a connection; resets it at the next one."""

    def __init__(self, arrivals: list[str], refuses: Callable[[], bool]) -> None:
        self._arrivals = arrivals
        self._refuses = refuses
        self._transport: asyncio.Transport | None = None
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        lines = data.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        request_id = headers.get("X-Request-Id", "")
        if request_id:
            self._arrivals.append(request_id)
        if self._answered:
            self._transport.abort()
            return
        self._answered = True
        head = f"X-Request-Id: {request_id}\r\nX-Server-Stamp: s\r\n"
        if self._refuses():
            head += "X-Not-Executed: 1\r\n"
        answer = f"HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n"
        self._transport.write(answer.encode())


@contextlib.asynccontextmanager
async def _resetting_server(
    refuses: Callable[[], bool] = lambda: False,
) -> AsyncIterator[tuple[Fleet, Node, list[str]]]:
    """
    Yield a fleet of one daemon whose server resets reused connections.

    The server answers that it has not run a request while it `refuses`.
    """
    arrivals: list[str] = []
    address = reserve_address()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _ResettingServer(arrivals, refuses), address.host, address.port
    )
    async with server, contextlib.AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.start()
        await fleet.publish()
        backend = Backend("one", "i-a", address)
        node = await fleet.add_daemon(
            "a", backend, retry_ratio=RETRY_RATIO, retry_slack=RETRY_SLACK
        )
        await node.send_heartbeat()
        yield fleet, node, arrivals


async def _send(node: Node, deadline: float) -> Response | Refusal:
    """Send a call with the id "late", whose earlier checks have passed."""
    context = CallContext("", "w", 1, deadline, "r", "one", True, request_id="late")
    request = Request("GET", "a", "/safe/x")
    return await node.daemon._target._parts.calls.send(context, request, lambda: None)


# Guards against BUDGET: each request whose server crashed was sent to it twice.
def test_repeats_after_a_closed_connection_need_the_retry_budget() -> None:
    """The server may have received the request before it closed."""

    async def run() -> None:
        async with _resetting_server() as (_, node, arrivals):
            for _ in range(REQUESTS):
                await node.request("/safe/x")
            repeats = len(arrivals) - len(set(arrivals))
            ratio = RETRY_RATIO_SHARE * RETRY_RATIO
            allowed = RETRY_SLACK_SHARE * RETRY_SLACK + ratio * REQUESTS
            assert 0 < repeats <= allowed, repeats
            # The server still listens, so it has not ended under any request.
            assert not node.daemon._fatal_calls._ends_by_digest

    asyncio.run(run())


# Guards against DRAIN: a repeat reached a server that had left since the first send.
def test_a_server_that_has_left_gets_no_repeat() -> None:
    """The connection is closed after the drain time."""

    async def run() -> None:
        async with _resetting_server() as (_, node, arrivals):
            assert (await node.request("/safe/x")).status == 200
            has_not_left = patch.object(
                LocalServer, "may_send", side_effect=lambda _: len(arrivals) < 2
            )
            with has_not_left:
                await node.request("/safe/x")
            assert len(arrivals) == 2, arrivals

    asyncio.run(run())


# Guards against REFUSED: the refusal of a repeat hid that the first send may have run.
def test_a_refused_repeat_is_not_reported_as_not_run() -> None:
    """Only the second of two sends was refused by the server."""

    async def run() -> None:
        refusing = asyncio.Event()
        async with _resetting_server(refusing.is_set) as (_, node, arrivals):
            assert (await node.request("/safe/x")).status == 200
            refusing.set()
            response = await node.request("/safe/x")
            assert len(arrivals) == 3, arrivals
            assert response.status == 502, response.status

    asyncio.run(run())


# Guards against BUDGET: a call is repeated after its time limit.
def test_a_call_whose_deadline_has_passed_is_not_repeated() -> None:
    """The loop reads late that the connection was closed."""

    async def run() -> None:
        async with _resetting_server() as (_, node, arrivals):
            assert (await node.request("/safe/x")).status == 200
            deadline = monotonic_s() + 1.0
            sending = asyncio.create_task(_send(node, deadline))
            while "late" not in arrivals:
                await asyncio.sleep(0)
            time.sleep(max(0.0, deadline - monotonic_s()))
            await sending
            assert arrivals.count("late") == 1, arrivals

    asyncio.run(run())


# Guards against a call that its server gets after its deadline, and with 1 ms left.
def test_nothing_is_sent_if_the_deadline_passes_while_connecting() -> None:
    """The call is reported as not run, and the server isn't taken for unreachable."""

    async def run() -> None:
        async with _resetting_server() as (_, node, arrivals):
            result = await _send(node, monotonic_s())
            assert isinstance(result, Refusal) and result.not_run, result
            assert result.reason is Reason.DEADLINE_PASSED
            assert "late" not in arrivals, arrivals
            assert (await node.request("/safe/x")).status == 200

    asyncio.run(run())


# Guards against DRAIN: a call reached its server after the limit to send had passed.
def test_nothing_is_sent_if_the_drain_limit_passes_while_connecting() -> None:
    """The limit holds at the moment at which the request is written."""

    async def run() -> None:
        async with _resetting_server() as (_, node, arrivals):
            node.daemon.local._send_until = monotonic_s()
            result = await _send(node, monotonic_s() + 5.0)
            assert isinstance(result, Refusal) and result.not_run, result
            assert result.reason is Reason.BACKEND_SERVER_DRAINING
            assert "late" not in arrivals, arrivals

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
