"""
Pattern: a daemon whose loop is late while its peer has sent something.

The loop runs the timers that are due before it reads what has arrived.
"""

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable

import uvloop

from damaskbay.adapters.peer_link.const import (
    LINK_TIMEOUT_S,
    NOTE_INTERVAL_S,
    SUSPECT_AFTER_S,
)
from damaskbay.adapters.peer_link.frames import PULSE, FrameKind, encode
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.messages import pack
from damaskbay.mesh.messages import ConfigReply, ConfigRequest
from damaskbay.ports.peer import PeerAddress
from tests.adapters.peer_link.common import WAIT_S, LinkedDaemon
from tests.common import block_loop, function_suite

TIMEOUT_S = 1.0


def _run(
    check: Callable[[LinkedDaemon, PeerAddress, socket.socket], Awaitable[None]],
) -> None:
    """Run a check of a daemon with a link to a peer, whose end is a plain socket."""

    async def run() -> None:
        daemon = LinkedDaemon()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.settimeout(WAIT_S)
            address = PeerAddress(*listening.getsockname())
            async with daemon.links, asyncio.timeout(WAIT_S):
                daemon.links.set_wanted_links(frozenset({address}))
                peer, _address = await asyncio.to_thread(listening.accept)
                with peer:
                    while not daemon.links.up(address):
                        await asyncio.sleep(0.01)
                    await check(daemon, address, peer)

    uvloop.run(run())


async def _links_are_checked(daemon: LinkedDaemon) -> None:
    """Wait for the next check of the links, in which a note is made."""
    checked, note = asyncio.Event(), daemon.links._note

    def record_check() -> object:
        checked.set()
        return note()

    daemon.links._note = record_check
    await checked.wait()
    daemon.links._note = note


# Guards against 504 for a call whose reply has arrived, and against a refusal (429) by
# a workspace's limit where the reply grants a token.
def test_a_reply_that_has_arrived_by_the_timeout_is_returned() -> None:
    """The loop is blocked until the timeout has passed, and the reply waits."""

    async def check(
        daemon: LinkedDaemon, address: PeerAddress, peer: socket.socket
    ) -> None:
        request = daemon.links.request(address, ConfigRequest(1), timeout_s=TIMEOUT_S)
        requesting = asyncio.create_task(request)
        await asyncio.sleep(0)

        def reply_and_block() -> None:
            peer.sendall(encode(FrameKind.REPLY, 1, pack(ConfigReply(1, b"", None))))
            time.sleep(1.2 * TIMEOUT_S)

        await block_loop(reply_and_block)
        reply = await requesting
        assert isinstance(reply, ConfigReply), reply

    _run(check)


# Guards against 502 at the end of a stop for a call whose reply has arrived.
def test_a_reply_that_has_arrived_is_returned_at_an_interruption() -> None:
    """The daemon interrupts its requests before the loop reads the reply."""

    async def check(
        daemon: LinkedDaemon, address: PeerAddress, peer: socket.socket
    ) -> None:
        request = daemon.links.request(address, ConfigRequest(1), timeout_s=WAIT_S)
        requesting = asyncio.create_task(request)
        await asyncio.sleep(0)

        def reply_and_interrupt() -> None:
            peer.sendall(encode(FrameKind.REPLY, 1, pack(ConfigReply(1, b"", None))))
            daemon.links.interrupt_requests()

        await block_loop(reply_and_interrupt)
        reply = await requesting
        assert isinstance(reply, ConfigReply), reply

    _run(check)


# Guards against 502 for all unsafe calls on a link whose peer is well.
def test_a_link_whose_bytes_are_not_read_yet_is_not_silent() -> None:
    """The loop is blocked as the link is checked, and a pulse of the peer waits."""

    async def check(
        daemon: LinkedDaemon, address: PeerAddress, peer: socket.socket
    ) -> None:
        link = daemon.links._links_by_peer[address]
        changes: list[bool] = []
        daemon.links._on_links_change = lambda: changes.append(link.suspect)
        for silent_s in (SUSPECT_AFTER_S, LINK_TIMEOUT_S):
            peer.sendall(PULSE)
            await _links_are_checked(daemon)

            def pulse_and_block(silent_s: float = silent_s) -> None:
                time.sleep(0.75 * NOTE_INTERVAL_S)
                link.last_received_at = monotonic_s() - silent_s
                peer.sendall(PULSE)
                time.sleep(0.5 * NOTE_INTERVAL_S)

            await block_loop(pulse_and_block)
            await asyncio.sleep(0.5 * NOTE_INTERVAL_S)
            assert not link.ended.is_set()
        assert not changes

    _run(check)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
