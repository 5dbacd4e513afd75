"""Requests that cross the close of a link."""

import asyncio
import unittest

import msgpack
import uvloop

from damaskbay.adapters.peer_link.frames import Frame, FrameKind, encode
from damaskbay.helpers.messages import pack
from damaskbay.mesh.messages import ConfigRequest
from damaskbay.ports.peer import PeerFailure, PeerProblem
from tests.adapters.peer_link.common import (
    NEVER,
    WAIT_S,
    LinkedDaemon,
    reading_paused,
    run_pair,
)
from tests.common import function_suite


# Guards against LOST: 502 for a call that no daemon has started to handle.
def test_a_request_that_crosses_the_close_is_known_as_not_handled() -> None:
    """The closing daemon tells which requests it has not handled."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        closing = asyncio.create_task(two.links.close(timeout_s=WAIT_S))
        await asyncio.sleep(0)
        reply = await one.request(two, 1)
        await closing
        assert two.received == 0
        assert isinstance(reply, PeerFailure), reply
        handled = reply.problem not in (PeerProblem.NOT_SENT, PeerProblem.REJECTED)
        assert not handled, reply

    run_pair(check, asyncio.run)
    run_pair(check, uvloop.run)


# Guards against TWICE: a call that runs is taken for one that was not handled.
def test_a_request_that_runs_at_the_close_is_not_known_as_not_handled() -> None:
    """One that crosses the close is told from it."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        running = asyncio.create_task(one.request(two, NEVER))
        while not two.received:
            await asyncio.sleep(0.01)
        with reading_paused(one.link_to(two)):
            closing = asyncio.create_task(two.links.close(timeout_s=WAIT_S))
            await asyncio.sleep(0.05)
            crossing = asyncio.create_task(one.request(two, 1))
            await asyncio.sleep(0.05)
        problems = [(await request).problem for request in (running, crossing)]
        await closing
        assert problems == [PeerProblem.LOST, PeerProblem.REJECTED]
        assert two.received == 1

    run_pair(check, asyncio.run)
    run_pair(check, uvloop.run)


# Guards against LOST: a call is sent to a daemon that has said that its link ends.
def test_after_the_peer_has_announced_the_close_nothing_is_sent() -> None:
    """The end of the stream may arrive later than the announcement."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        link = one.link_to(two)
        link._handle_frame(Frame(FrameKind.NOTE_ACK, 1, b""))
        assert not one.links.up(two.address)
        failure = await one.request(two, 1)
        assert failure.problem is PeerProblem.NOT_SENT
        assert not two.received

    run_pair(check, asyncio.run)


# Guards against links that close with an error at daemons of an earlier version.
def test_the_announcement_is_a_frame_that_earlier_versions_ignore() -> None:
    """They ignore an empty acknowledgement and close the link on an unknown kind."""

    async def check(_one: LinkedDaemon, two: LinkedDaemon) -> None:
        reader, writer = await asyncio.open_connection(
            two.address.host, two.address.port
        )
        writer.write(encode(FrameKind.REQUEST, 7, pack(ConfigRequest(1))))
        await reader.readexactly(1)
        closing = asyncio.create_task(two.links.close(timeout_s=WAIT_S))
        data = await reader.read()
        assert data.endswith(msgpack.packb((6, 8, b""))), data
        writer.close()
        await closing

    run_pair(check, asyncio.run)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
