"""
Pattern: a peer whose process stands still while its kernel acknowledges.

The peer's end is a plain socket that nobody reads, or the loop of a thread that is
blocked.
"""

import asyncio
import contextlib
import ctypes
import socket
import struct
import threading
import time
import unittest
from collections.abc import AsyncIterator, Callable
from typing import Any
from unittest import mock

import uvloop

from damaskbay.adapters.peer_link.const import (
    ACK_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    LINK_TIMEOUT_S,
)
from damaskbay.adapters.peer_link.evidence import (
    KernelEvidence,
    parse_tcp_info,
    read_tcp_info,
)
from damaskbay.adapters.peer_link.frames import FrameKind, FrameReader, encode
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.messages import pack
from damaskbay.mesh.messages import ConfigReply, ConfigRequest
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from tests.adapters.peer_link.common import (
    NEVER,
    STAGGER_S,
    STAGGERED,
    LinkedDaemon,
)
from tests.common import function_suite

WAIT_S = 20.0
STANDSTILL_S = 2.5

ANSWER = encode(FrameKind.NOTE_ACK)
SO_ATTACH_FILTER = 26
"""Option of linux/socket.h; packets that the filter rejects are not acknowledged."""

REJECT_ALL = struct.pack("=HBBI", 0x06, 0, 0, 0)
"""Filter program "return 0" (BPF_RET | BPF_K), see linux/filter.h."""

CUT_OFF = KernelEvidence(unacked=1, probes=0, last_ack_age_s=2 * ACK_TIMEOUT_S)


class _Peer:
    """Listening socket of a peer to which a daemon keeps a link."""

    def __init__(self, daemon: LinkedDaemon, listening: socket.socket) -> None:
        self.daemon = daemon
        self.address = PeerAddress(*listening.getsockname())
        self._listening = listening

    async def accept(self) -> socket.socket:
        """Accept the next link of the daemon, and answer once."""
        sock, _address = await asyncio.to_thread(self._listening.accept)
        sock.settimeout(WAIT_S)
        sock.sendall(ANSWER)
        while not self.daemon.links.up(self.address):
            await asyncio.sleep(0.01)
        return sock

    def request(self, version: int, *, repeatable: bool) -> asyncio.Task[Any]:
        """Start a request of the daemon."""
        return asyncio.create_task(
            self.daemon.links.request(
                self.address,
                ConfigRequest(version),
                timeout_s=WAIT_S,
                repeatable=repeatable,
            )
        )


@contextlib.asynccontextmanager
async def _linked_peer() -> AsyncIterator[_Peer]:
    daemon = LinkedDaemon()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(WAIT_S)
        peer = _Peer(daemon, listening)
        async with daemon.links, asyncio.timeout(WAIT_S):
            daemon.links.set_wanted_links(frozenset({peer.address}))
            yield peer


@contextlib.asynccontextmanager
async def _daemon_in_thread() -> AsyncIterator[
    tuple[LinkedDaemon, asyncio.AbstractEventLoop]
]:
    """Yield a daemon and its loop, which runs in a thread of its own."""
    daemon, loop = LinkedDaemon(), uvloop.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    async def call(coroutine: Any) -> None:
        future = asyncio.run_coroutine_threadsafe(coroutine, loop)
        await asyncio.wrap_future(future)

    try:
        await call(daemon.links.__aenter__())
        try:
            yield daemon, loop
        finally:
            await call(daemon.links.__aexit__(None, None, None))
            await call(asyncio.sleep(0.1))
    finally:
        loop.call_soon_threadsafe(loop.stop)
        await asyncio.to_thread(thread.join)
        loop.close()


def _check_lost(reply: object) -> None:
    assert isinstance(reply, PeerFailure), reply
    assert reply.problem is PeerProblem.LOST, reply


# Guards against 502 for an unsafe call whose peer only waited for a processor.
def test_an_unrepeatable_request_outlasts_a_peer_that_stands_still() -> None:
    """A repeatable one fails, and new ones wait for a new link that is answered."""

    async def run() -> None:
        async with _linked_peer() as peer:
            links = peer.daemon.links
            with await peer.accept() as stalled:
                (link,) = links._links_by_peer.values()
                kept = peer.request(1, repeatable=False)
                _check_lost(await peer.request(2, repeatable=True))
                assert monotonic_s() - link.last_received_at > LINK_TIMEOUT_S
                assert not kept.done()
                # Nothing answers on the new link, though the kernel has accepted it.
                while not links.up_count:
                    await asyncio.sleep(0.01)
                refused = await peer.request(3, repeatable=False)
                assert refused.problem is PeerProblem.NOT_SENT, refused
                with await peer.accept():
                    answer = encode(FrameKind.REPLY, 1, pack(ConfigReply(1, b"", None)))
                    stalled.sendall(answer)
                    reply = await kept
                    assert isinstance(reply, ConfigReply), reply
                    frames = list(FrameReader().feed(await _read_to_end(stalled)))
                    assert [
                        frame.number
                        for frame in frames
                        if frame.kind is FrameKind.CANCEL
                    ] == [2]
                    stalled.close()
                    while len(links._all_links()) > 1:
                        await asyncio.sleep(0.01)
                    assert links.up(peer.address)

    uvloop.run(run())


# Guards against 502 for the calls of a daemon that only waited for a processor.
def test_handlers_outlast_a_sender_that_stands_still() -> None:
    """The reply is written while the sender reads and sends nothing."""

    async def run() -> None:
        daemon = LinkedDaemon()
        version = STAGGERED + round(STANDSTILL_S / STAGGER_S)
        request = encode(FrameKind.REQUEST, 1, pack(ConfigRequest(version)))
        async with daemon.links, asyncio.timeout(WAIT_S):
            address = (daemon.address.host, daemon.address.port)
            with socket.create_connection(address) as sender:
                sender.settimeout(WAIT_S)
                sender.sendall(request)
                await asyncio.sleep(1.2 * STANDSTILL_S)
                reader = FrameReader()
                kinds: set[FrameKind] = set()
                while FrameKind.REPLY not in kinds:
                    data = await asyncio.to_thread(sender.recv, 4096)
                    assert data, kinds
                    kinds |= {frame.kind for frame in reader.feed(data)}
        assert not daemon.cancelled

    uvloop.run(run())


# Guards against 502 as above, where both ends are daemons and the peer resumes.
def test_a_daemon_that_resumes_replies_to_what_it_had_taken() -> None:
    """Its loop stands still while the request is handled."""

    async def run() -> None:
        one = LinkedDaemon()
        async with _daemon_in_thread() as (two, loop), one.links:
            await one.connect(two)
            kept = asyncio.create_task(
                one.links.request(
                    two.address,
                    ConfigRequest(STAGGERED + 1),
                    timeout_s=WAIT_S,
                    repeatable=False,
                )
            )
            lost = asyncio.create_task(one.request(two, NEVER))
            while two.received < 2:
                await asyncio.sleep(0.001)
            loop.call_soon_threadsafe(time.sleep, STANDSTILL_S)
            async with asyncio.timeout(WAIT_S):
                _check_lost(await lost)
                reply = await kept
                assert isinstance(reply, ConfigReply), reply
                while len(one.links._all_links()) > 1 or not one.links.up(two.address):
                    await asyncio.sleep(0.01)
            assert isinstance(await one.request(two, 1), ConfigReply)

    uvloop.run(run())


async def _check_given_up(
    peer: _Peer, prepare: Callable[[socket.socket], None]
) -> None:
    """Lose requests on an opened link and handlers of an accepted one."""
    address = peer.daemon.address
    with (
        await peer.accept() as accepted,
        socket.create_connection((address.host, address.port)) as sender,
    ):
        sender.sendall(encode(FrameKind.REQUEST, 1, pack(ConfigRequest(NEVER))))
        while not peer.daemon.received:
            await asyncio.sleep(0.01)
        for sock in (accepted, sender):
            prepare(sock)
        requests = [
            peer.request(1, repeatable=False),
            peer.request(2, repeatable=True),
        ]
        await asyncio.wait(requests, return_when=asyncio.FIRST_COMPLETED)
        await asyncio.sleep(0)
        for request in requests:
            assert request.done()
            _check_lost(await request)
        while not peer.daemon.cancelled:
            await asyncio.sleep(0.01)


# Guards against calls that wait for a peer that is cut off or has lost its power.
def test_a_link_that_nothing_acknowledges_is_given_up() -> None:
    """As it is where the system doesn't tell what the peer's kernel does."""

    async def run(evidence: KernelEvidence | None) -> None:
        async with _linked_peer() as peer:
            peer.daemon.links._read_evidence = lambda sock: evidence
            await _check_given_up(peer, lambda sock: None)

    for evidence in (CUT_OFF, None):
        uvloop.run(run(evidence))


# Guards as above, with the kernel's own evidence of a connection that is silent.
def test_a_link_is_given_up_once_its_packets_are_dropped() -> None:
    """The peer's sockets drop what arrives, so that nothing is acknowledged."""

    def drop_arriving(sock: socket.socket) -> None:
        program = ctypes.create_string_buffer(REJECT_ALL)
        address = ctypes.addressof(program)
        sock.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("@HP", 1, address)
        )

    async def run() -> None:
        async with _linked_peer() as peer:
            await _check_given_up(peer, drop_arriving)

    uvloop.run(run())


# Guards against links that add up beside a peer that stands still again and again.
def test_the_links_that_wait_for_a_peer_are_bounded() -> None:
    """A link beyond the bound goes on waiting in its place."""

    async def run() -> None:
        async with _linked_peer() as peer:
            links, requests = peer.daemon.links, []
            with contextlib.ExitStack() as stack:
                socks = []
                for number in range(2):
                    socks.append(stack.enter_context(await peer.accept()))
                    requests.append(peer.request(number, repeatable=False))
                    _check_lost(await peer.request(9, repeatable=True))
                await asyncio.sleep(2 * LINK_TIMEOUT_S)
                assert len(links._all_links()) == len(socks)
                for sock in socks:
                    sock.sendall(
                        encode(FrameKind.REPLY, 1, pack(ConfigReply(1, b"", None)))
                    )
                for reply in await asyncio.gather(*requests):
                    assert isinstance(reply, ConfigReply), reply

    with mock.patch("damaskbay.adapters.peer_link.client.MAX_RETIRED_LINKS", 1):
        uvloop.run(run())


# Guards against links of a peer that add up where something acknowledges for it.
def test_an_accepted_link_without_work_is_closed_after_a_long_silence() -> None:
    """It is kept at first, since its sender may have a request for it."""

    async def run() -> None:
        daemon = LinkedDaemon()
        async with daemon.links, asyncio.timeout(WAIT_S):
            with socket.create_connection((daemon.address.host, daemon.address.port)):
                while not daemon.links._accepted:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(STANDSTILL_S)
                (link,) = daemon.links._accepted
                assert not link.ended.is_set()
                link.last_received_at -= IDLE_TIMEOUT_S
                await link.ended.wait()

    uvloop.run(run())


def test_the_kernel_tells_if_it_is_acknowledged() -> None:
    """Neither a short structure nor an empty one is evidence; a late answer is."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        with socket.create_connection(listening.getsockname()) as sock:
            sock.sendall(b"unread")
            evidence = read_tcp_info(sock)
            assert evidence is not None
            assert evidence.acknowledges, evidence
            data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
    assert parse_tcp_info(data[:59]) is None
    assert parse_tcp_info(bytes(len(data))) is None
    assert not CUT_OFF.acknowledges
    assert KernelEvidence(1, 0, ACK_TIMEOUT_S / 2).acknowledges
    assert KernelEvidence(0, 1, 2 * ACK_TIMEOUT_S).acknowledges
    assert not KernelEvidence(0, 2, 2 * ACK_TIMEOUT_S).acknowledges


async def _read_to_end(sock: socket.socket) -> bytes:
    received = b""
    while data := await asyncio.to_thread(sock.recv, 65536):
        received += data
    return received


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
