"""The graceful shutdown cuts off no accepted request."""

import asyncio
import socket
import time
import unittest
from types import SimpleNamespace
from typing import Any, cast

import uvloop

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
    HttpProblem,
)
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request, Response
from damaskbay.core.lifetime import StopPlan, plan_stop
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.stopping import GracefulStop
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

GRACE_S = 2.0
REQUEST = Request("GET", "h", "/")
NEW_CALLERS = 10
BLOCKED_S = 0.4
"""Longer than a stopping daemon waits for the request of a new connection, seconds."""


def _stop(server: HttpServer, in_flight: int) -> GracefulStop:
    ingress: Any = SimpleNamespace(in_flight=0, draining=False)
    target: Any = SimpleNamespace(
        in_flight=in_flight, draining=False, interrupt=lambda: None
    )
    links: Any = SimpleNamespace(
        broadcast_note=lambda: None, interrupt_requests=lambda: None
    )
    return GracefulStop(server, ingress, target, links)


def _plan() -> StopPlan:
    return plan_stop(GRACE_S, monotonic_s())


async def _request(server: HttpServer) -> Response | HttpFailure:
    client = HttpClient(server.address, HttpClientOptions())
    try:
        return await client.send(REQUEST, timeout_s=1.0)
    finally:
        client.close()


def test_nobody_is_let_in_after_the_last_look() -> None:
    """A request accepted after the last check would be read and then cut off."""

    async def run() -> None:
        async def answer(_: ReceivedRequest) -> Response:
            return Response(200)

        async with HttpServer(PeerAddress("127.0.0.1", 0), answer, CallerLimits()) as s:
            await _stop(s, 0).run(_plan())
            outcome = await _request(s)
            assert isinstance(outcome, HttpFailure)
            assert outcome.problem is HttpProblem.NOT_SENT

    asyncio.run(run())


def test_callers_that_go_on_coming_are_not_cut() -> None:
    """Every accepted request has its response when the shutdown ends."""

    async def run() -> None:
        started = ended = 0

        async def answer(_: ReceivedRequest) -> Response:
            nonlocal started, ended
            started += 1
            await asyncio.sleep(0.1)
            ended += 1
            return Response(200)

        async with HttpServer(PeerAddress("127.0.0.1", 0), answer, CallerLimits()) as s:
            stopping = asyncio.create_task(_stop(s, 0).run(_plan()))
            calls = []
            while not stopping.done():
                calls.append(asyncio.create_task(_request(s)))
                await asyncio.sleep(0.02)
            assert started == ended > 0
            await asyncio.gather(*calls)

    asyncio.run(run())


def test_the_own_server_may_call_while_it_runs_something() -> None:
    """Its nested calls may open new connections while it runs a call."""

    async def run() -> None:
        async def answer(_: ReceivedRequest) -> Response:
            return Response(200)

        async with HttpServer(PeerAddress("127.0.0.1", 0), answer, CallerLimits()) as s:
            stop = _stop(s, 1)
            stopping = asyncio.create_task(stop.run(_plan()))
            await asyncio.sleep(0.5 * GRACE_S)
            assert cast("Response", await _request(s)).status == 200
            cast("Any", stop.target).in_flight = 0
            await stopping

    asyncio.run(run())


# Guards against an address without a daemon while one caller sends a request slowly.
def test_a_half_read_request_does_not_delay_the_next_daemon() -> None:
    """It would be refused as not run once it is complete, so it is refused at once."""

    async def run() -> None:
        async def answer(_: ReceivedRequest) -> Response:
            return Response(200)

        async with HttpServer(PeerAddress("127.0.0.1", 0), answer, CallerLimits()) as s:
            _reader, writer = await asyncio.open_connection(
                s.address.host, s.address.port
            )
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1")
            await asyncio.sleep(0.1)
            plan = plan_stop(6.0, monotonic_s())
            stopping = asyncio.create_task(_stop(s, 0).run(plan))
            ends: list[float] = []
            stopping.add_done_callback(lambda _: ends.append(monotonic_s()))
            await asyncio.sleep(3.0)
            refused = isinstance(await _request(s), HttpFailure)
            await stopping
            writer.close()
            took_s = round(ends[0] - plan.began_at, 2)
            assert ends[0] < plan.interrupts_at, (took_s, refused)

    asyncio.run(run())


# Guards against an address without a daemon if the slow request begins a moment later.
def test_a_request_that_begins_after_the_listener_closed_delays_nothing() -> None:
    """A connection that was accepted just before may send its first bytes after it."""

    async def run() -> None:
        async def answer(_: ReceivedRequest) -> Response:
            return Response(200)

        async with HttpServer(PeerAddress("127.0.0.1", 0), answer, CallerLimits()) as s:
            plan = plan_stop(6.0, monotonic_s())
            stopping = asyncio.create_task(_stop(s, 0).run(plan))
            ends: list[float] = []
            stopping.add_done_callback(lambda _: ends.append(monotonic_s()))
            await asyncio.sleep(plan.announced_at - monotonic_s())
            reader, writer = await asyncio.open_connection(
                s.address.host, s.address.port
            )
            while not isinstance(await _request(s), HttpFailure):
                await asyncio.sleep(0.01)
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1")
            await stopping
            took_s = round(ends[0] - plan.began_at, 2)
            assert ends[0] < plan.interrupts_at, took_s
        # On a busy machine the request may begin only as the server ends.
        status_line = await reader.readline()
        writer.close()
        assert status_line.startswith(b"HTTP/1.1 408"), status_line

    asyncio.run(run())


# Guards against LOST: requests sent while a stopping daemon read a set of 2,000 routes.
def test_requests_that_arrive_while_the_loop_is_blocked_are_answered() -> None:
    """The next steps of the stop are due before the loop reads them."""

    async def run() -> None:
        async def answer(_: ReceivedRequest) -> Response:
            return Response(200)

        async with HttpServer(PeerAddress("127.0.0.1", 0), answer, CallerLimits()) as s:
            address = (s.address.host, s.address.port)
            callers = [socket.create_connection(address)]

            def block() -> None:
                callers.extend(
                    socket.create_connection(address) for _ in range(NEW_CALLERS)
                )
                for caller in callers:
                    caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                time.sleep(BLOCKED_S)

            stop = _stop(s, 0)
            loop = asyncio.get_running_loop()
            stop.links.broadcast_note = lambda: loop.call_soon(block)  # type: ignore[assignment, method-assign]
            await stop.run(_plan())
        for caller in callers:
            caller.settimeout(GRACE_S)
            status_line = caller.recv(1024)
            assert b" 200 " in status_line, status_line
            caller.close()

    uvloop.run(run())
    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
