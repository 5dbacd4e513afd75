"""Requests that a link has not sent to their end."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator

import uvloop

from damaskbay.adapters.peer_link.const import PART_BYTES, PARTS_VERSION
from damaskbay.adapters.peer_link.frames import Frame, FrameKind, FrameReader, encode
from damaskbay.helpers.messages import pack
from damaskbay.mesh.messages import ConfigReply, ConfigRequest, PeerStatus
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from tests.adapters.peer_link.common import WAIT_S, LinkedDaemon
from tests.common import function_suite

TIMEOUT_S = 0.3
LONG_REQUEST = ConfigReply(1, bytes(16 * 1024 * 1024), None)
"""A request that exceeds the socket buffers."""


@contextlib.asynccontextmanager
async def _linked_daemon() -> AsyncIterator[
    tuple[LinkedDaemon, PeerAddress, socket.socket]
]:
    """Yield a daemon and its peer that takes parts, whose end is a plain socket."""
    daemon = LinkedDaemon()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(WAIT_S)
        address = PeerAddress(*listening.getsockname())
        async with daemon.links, asyncio.timeout(WAIT_S):
            daemon.links.set_wanted_links(frozenset({address}))
            peer, _address = await asyncio.to_thread(listening.accept)
            with peer:
                status = pack(PeerStatus(0, 0, 0, 0))
                peer.sendall(encode(FrameKind.NOTE_ACK, PARTS_VERSION, status))
                while not daemon.links.up(address):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                yield daemon, address, peer


def _check_not_sent(reply: object) -> None:
    assert isinstance(reply, PeerFailure), reply
    assert reply.problem is PeerProblem.NOT_SENT, reply


# Guards against 502 for an unsafe call that can't have run: the link was lost before
# its body was sent.
def test_a_request_that_is_cut_while_it_is_sent_is_not_sent() -> None:
    """The peer reads nothing and then ends."""

    async def run() -> None:
        async with _linked_daemon() as (daemon, address, peer):
            sending = asyncio.create_task(
                daemon.links.request(address, LONG_REQUEST, timeout_s=WAIT_S)
            )
            await asyncio.sleep(0.1)
            peer.close()
            _check_not_sent(await sending)

    uvloop.run(run())


# Guards against 504 for a call whose body was not sent by its time limit.
def test_a_request_that_times_out_while_it_is_sent_is_not_sent() -> None:
    """The rest is not sent any more, and the peer is told so."""

    async def run() -> None:
        async with _linked_daemon() as (daemon, address, peer):
            reply = await daemon.links.request(
                address, LONG_REQUEST, timeout_s=TIMEOUT_S
            )
            _check_not_sent(reply)
            kinds = [frame.kind for frame in await _frames_until_cancel(peer)]
            assert FrameKind.REQUEST not in kinds

    uvloop.run(run())


# Guards against 502 for a call that a closing peer doesn't know of: a later one
# overtook its first part, and the peer tells by their order which it has not handled.
def test_requests_begin_in_their_order() -> None:
    """A short request comes behind the first part of a long one."""

    async def run() -> None:
        async with _linked_daemon() as (daemon, address, peer):
            long = ConfigReply(1, bytes(2 * PART_BYTES), None)
            sending = [
                asyncio.create_task(
                    daemon.links.request(address, message, timeout_s=TIMEOUT_S)
                )
                for message in (long, ConfigRequest(1))
            ]
            numbers = []
            for frame in await _frames_until_cancel(peer):
                if frame.number not in numbers and frame.kind in (
                    FrameKind.REQUEST,
                    FrameKind.REQUEST_PART,
                ):
                    numbers.append(frame.number)
            assert numbers == sorted(numbers), numbers
            await asyncio.wait(sending)

    uvloop.run(run())


async def _frames_until_cancel(peer: socket.socket) -> list[Frame]:
    """Return what the peer receives until a request is cancelled."""
    peer.settimeout(WAIT_S)
    reader, frames = FrameReader(), list[Frame]()
    while not any(frame.kind is FrameKind.CANCEL for frame in frames):
        frames += reader.feed(await asyncio.to_thread(peer.recv, 1024 * 1024))
    return frames


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
