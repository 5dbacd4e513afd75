"""What peers get from a daemon that shuts down."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator

from damaskbay.adapters.peer_link.link import Link
from damaskbay.core.call import Request, Response
from tests.common import function_suite
from tests.mesh.common import Node, run_fleet, wait_until

RESPONSE_BYTES = 15 * 1024 * 1024
SOCKET_BUFFER_BYTES = 64 * 1024
READ_INTERVAL_S = 0.2
"""Shorter than the timeout of a link without received bytes."""

READ_S = 0.001


def _opened_link(node: Node, peer: Node) -> Link:
    return node.daemon._links._links_by_peer[peer.daemon.settings.peers]


def _shrink_socket_buffers(node: Node) -> None:
    for link in node.daemon._links._all_links():
        assert link._transport is not None
        sock = link._transport.get_extra_info("socket")
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


@contextlib.asynccontextmanager
async def _reading_slowly(link: Link) -> AsyncIterator[None]:
    """Read from a link only now and then in the meantime."""
    transport = link._transport
    assert transport is not None

    async def read() -> None:
        while True:
            transport.pause_reading()
            await asyncio.sleep(READ_INTERVAL_S)
            transport.resume_reading()
            await asyncio.sleep(READ_S)

    task = asyncio.create_task(read())
    try:
        yield
    finally:
        task.cancel()
        transport.resume_reading()


def test_a_large_response_is_delivered_to_a_slow_peer_during_the_stop() -> None:
    """Guards against: a call that ran gets 502, as its response was still buffered."""

    async def large(request: Request) -> Response | None:
        named = ("X-Request-Id", dict(request.headers)["X-Request-Id"])
        stamp = ("X-Server-Stamp", "stamp-i-a")
        return Response(200, (named, stamp), bytes(RESPONSE_BYTES))

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            a, b = fleet.nodes["a"], fleet.nodes["b"]
            await fleet.publish(Timeout="9s")
            await wait_until(lambda: b.daemon.configuration.version == 2)
            a.backend.override_response = large
            for node in (a, b):
                _shrink_socket_buffers(node)
            async with _reading_slowly(_opened_link(b, a)):
                call = asyncio.create_task(b.request("/safe/", deadline_ms=9000))
                await wait_until(lambda: a.daemon._links.unsent_bytes > 0)
                a.daemon.stop()
                await wait_until(lambda: a.daemon._target.draining)
                assert a.daemon._links.unsent_bytes > 0
                await asyncio.sleep(0.6)
            answer = await call
            seen = (answer.status, len(answer.body))
            assert seen == (200, RESPONSE_BYTES), seen
            await a.run_task

    asyncio.run(run())


def test_a_peer_without_a_link_from_a_leaving_daemon_knows_that_it_leaves() -> None:
    """Guards against: such a peer sends calls there until each has been refused."""

    async def run() -> None:
        async with run_fleet(a="one", b="two") as fleet:
            a, b = fleet.nodes["a"], fleet.nodes["b"]
            links = a.daemon._links
            links.set_wanted_links(frozenset())
            links.set_wanted_links = lambda peers: None  # type: ignore[method-assign]
            a.daemon.stop()
            await wait_until(lambda: not b.daemon._directory.servers("one"))
            assert b.daemon._links.up(a.daemon.settings.peers)

    asyncio.run(run())


# Guards against LOST: unsafe calls that cross the close of a link got 502.
def test_an_unsafe_call_that_crosses_the_close_of_a_link_goes_elsewhere() -> None:
    """No daemon has handled it, so that it may be sent to another one."""

    async def run() -> None:
        async with run_fleet(a="one", b="two", c="one") as fleet:
            a, b = fleet.nodes["a"], fleet.nodes["b"]
            transport = _opened_link(b, a)._transport
            assert transport is not None
            transport.pause_reading()
            closing = asyncio.create_task(a.daemon._links.close(timeout_s=3.0))
            await asyncio.sleep(0.05)
            calls = [
                asyncio.create_task(b.request("/unsafe/", method="POST"))
                for _ in range(8)
            ]
            crossing = _opened_link(b, a)
            await wait_until(lambda: crossing.requests_in_flight > 0)
            await asyncio.sleep(0.05)
            transport.resume_reading()
            statuses = [(await call).status for call in calls]
            await closing
            assert statuses == [200] * len(calls), statuses
            assert not a.backend.seen

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
