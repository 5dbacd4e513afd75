"""Closing the links of a daemon that leaves loses no reply that is ready."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable

import uvloop

from damaskbay.adapters.peer_link.frames import (
    Frame,
    FrameKind,
    FrameReader,
    encode,
)
from damaskbay.helpers.messages import pack
from damaskbay.mesh.messages import ConfigReply, ConfigRequest
from damaskbay.ports.peer import PeerFailure, PeerProblem
from tests.adapters.peer_link.common import (
    LARGE,
    LARGE_BYTES,
    NEVER,
    WAIT_S,
    LinkedDaemon,
    reading_paused,
    run_pair,
)
from tests.common import function_suite


def _run(check: Callable[[LinkedDaemon, LinkedDaemon], Awaitable[None]]) -> None:
    """Run a check on both event loops, whose transports close differently."""
    run_pair(check, asyncio.run)
    run_pair(check, uvloop.run)


async def _wait_until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.01)


def test_a_reply_to_a_slow_peer_is_delivered_before_the_link_closes() -> None:
    """Guards against: a call that ran ends as lost, as its reply was still buffered."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        with reading_paused(one.link_to(two)):
            request = asyncio.create_task(one.request(two, LARGE))
            await _wait_until(lambda: two.links.unsent_bytes > 0)
            closing = asyncio.create_task(two.links.close(timeout_s=WAIT_S))
            await asyncio.sleep(0.05)
            assert not closing.done()
        reply = await request
        assert isinstance(reply, ConfigReply), reply
        assert len(reply.document) == LARGE_BYTES
        await closing
        assert not two.links.unsent_bytes

    _run(check)


def test_many_replies_are_delivered_before_the_link_closes() -> None:
    """Small replies arrive, too, while the peer sends to the closing link."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        with reading_paused(one.link_to(two)):
            requests = [asyncio.create_task(one.request(two, n)) for n in range(50)]
            await _wait_until(lambda: two.received == len(requests))
            closing = asyncio.create_task(two.links.close(timeout_s=WAIT_S))
            await asyncio.sleep(0.05)
            one.links.broadcast_note()
        for reply in await asyncio.gather(*requests):
            assert isinstance(reply, ConfigReply), reply
        await closing

    _run(check)


def test_a_request_that_arrives_at_a_closing_link_is_not_run() -> None:
    """Guards against: a call runs although its reply can't be sent any more."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        with reading_paused(one.link_to(two)):
            closing = asyncio.create_task(two.links.close(timeout_s=WAIT_S))
            await asyncio.sleep(0.05)
            request = asyncio.create_task(one.request(two, 1))
            await asyncio.sleep(0.05)
        failure = await request
        assert isinstance(failure, PeerFailure)
        assert failure.problem is PeerProblem.REJECTED
        assert not two.received
        await closing

    _run(check)


def test_a_peer_that_does_not_read_delays_the_close_no_longer_than_allowed() -> None:
    """The link is aborted, and the number of bytes that were not sent is logged."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        with reading_paused(one.link_to(two)):
            request = asyncio.create_task(one.request(two, LARGE))
            await _wait_until(lambda: two.links.unsent_bytes > 0)
            with unittest.TestCase().assertLogs(level="WARNING") as logs:
                await two.links.close(timeout_s=0.1)
            unsent = [vars(record).get("unsent_bytes", 0) for record in logs.records]
            assert max(unsent) > 0
        failure = await request
        assert isinstance(failure, PeerFailure)
        assert failure.problem is PeerProblem.LOST

    _run(check)


def test_closed_links_are_not_opened_again() -> None:
    """Neither the wanted links nor a lost link lead to a connection after the close."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        await one.links.close(timeout_s=WAIT_S)
        one.links.set_wanted_links(frozenset({two.address}))
        await asyncio.sleep(0.4)
        assert not one.links.up(two.address)
        failure = await one.request(two, NEVER)
        assert failure.problem is PeerProblem.NOT_SENT

    _run(check)


def test_interrupted_requests_end_at_once_and_are_cancelled_at_the_peer() -> None:
    """Guards against: a request to a peer goes on until the daemon's process ends."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        requests = [asyncio.create_task(one.request(two, NEVER)) for _ in range(3)]
        await _wait_until(lambda: two.received == len(requests))
        one.links.interrupt_requests()
        for failure in await asyncio.gather(*requests):
            assert isinstance(failure, PeerFailure)
            assert failure.problem is PeerProblem.INTERRUPTED
        await _wait_until(lambda: two.cancelled == len(requests))
        assert one.links.up(two.address)

    _run(check)


def test_after_an_interruption_no_request_is_sent() -> None:
    """A late request fails as NOT_SENT, so that its call is refused as not run."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        one.links.interrupt_requests()
        failure = await one.request(two, 1)
        assert failure.problem is PeerProblem.NOT_SENT
        assert not two.received

    _run(check)


def test_a_reply_that_has_arrived_is_not_interrupted() -> None:
    """Guards against: a reply is dropped that waits for its request's task to run."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        link = one.link_to(two)
        handle_frame = link._handle_frame

        def interrupt_after(frame: Frame) -> None:
            handle_frame(frame)
            if frame.kind is FrameKind.REPLY:
                one.links.interrupt_requests()

        link._handle_frame = interrupt_after  # type: ignore[method-assign]
        reply = await one.request(two, 1)
        assert isinstance(reply, ConfigReply), reply

    _run(check)


# Guards against LOST: the listener closed over a peer's link in its accept queue.
def test_a_request_on_a_link_that_waits_to_be_accepted_is_answered() -> None:
    """The event loop does not turn between the request and the close."""

    async def check(_one: LinkedDaemon, two: LinkedDaemon) -> None:
        with socket.socket() as peer:
            peer.settimeout(WAIT_S)
            sent = asyncio.Event()

            def send_request() -> None:
                peer.connect((two.address.host, two.address.port))
                peer.sendall(encode(FrameKind.REQUEST, 1, pack(ConfigRequest(1))))
                sent.set()

            asyncio.get_running_loop().call_soon(send_request)
            closing = asyncio.create_task(two.links.close(timeout_s=WAIT_S))
            await sent.wait()
            received = await asyncio.to_thread(_read_to_end, peer)
        await closing
        frames = list(FrameReader().feed(received))
        assert FrameKind.REPLY in {frame.kind for frame in frames}, frames

    _run(check)


def _read_to_end(peer: socket.socket) -> bytes:
    received = b""
    while data := peer.recv(4096):
        received += data
    return received


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
