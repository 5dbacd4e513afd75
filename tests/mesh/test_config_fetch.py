"""
Pattern: a new set in a fleet of many daemons, all of which announce it to each other.

Each daemon fetches it once, from its own failure domain if it can.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from damaskbay.config.objects import ConfigSet
from damaskbay.helpers.backoff import Backoff
from damaskbay.mesh.config_watch import REMOTE_FETCH_DELAY_S, ConfigWatch, PeerConfig
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.messages import ConfigReply, ConfigRequest
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from damaskbay.ports.store import StoreItem
from tests.common import function_suite
from tests.mesh.test_members import SETTLED_S, _Store, _StoreOfDaemon

NEWEST = 9
PEERS = [PeerAddress("10.0.0.1", 7000 + number) for number in range(12)]


class _Daemon:
    """A daemon without a set; its peers have the newest one, except those `down`."""

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.decoded = 0
        self.may_decode = asyncio.Event()
        self.may_decode.set()
        self.asked: list[PeerAddress] = []
        self.down: set[PeerAddress] = set()
        self.watch = ConfigWatch(
            _StoreOfDaemon(_Store([]), "d"),  # type: ignore[arg-type]
            prefix="op/",
            key="op/config",
            decode=self._decode,
            configuration=self.configuration,
            needed=lambda: False,
            watches_store=lambda: False,
            backoff=Backoff(0.1, 1.0, Random(1)),
            clock=lambda: asyncio.get_running_loop().time(),
        )
        self.peer_config = PeerConfig(
            self.watch,
            self.configuration,
            peers=lambda: PEERS,
            request=self._request,
            rng=Random(1),
            clock=lambda: asyncio.get_running_loop().time(),
        )

    async def _decode(self, document: bytes) -> ConfigSet:
        self.decoded += 1
        await self.may_decode.wait()
        return ConfigSet(int(document), document.decode())

    async def _request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> Any:
        assert isinstance(message, ConfigRequest)
        self.asked.append(peer)
        await asyncio.sleep(0.01)
        if peer in self.down:
            return PeerFailure(PeerProblem.LOST)
        return ConfigReply(NEWEST, str(NEWEST).encode(), 0.1)

    def hear(self, peer: PeerAddress, *, remote: bool) -> None:
        """Hear of the newest set from a peer."""
        self.peer_config.fetch_newer(peer, NEWEST, remote=remote)


def _run(check: Callable[[_Daemon], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(10):
            await check(_Daemon())

    asyncio.run(run())


def test_a_set_that_many_peers_announce_is_fetched_once() -> None:
    """Further announcements while it is fetched, or afterwards, cost nothing."""

    async def check(daemon: _Daemon) -> None:
        for peer in PEERS:
            daemon.hear(peer, remote=False)
        await asyncio.sleep(SETTLED_S)
        for peer in PEERS:
            daemon.hear(peer, remote=False)
        await asyncio.sleep(SETTLED_S)
        assert daemon.configuration.version == NEWEST
        assert (len(daemon.asked), daemon.decoded) == (1, 1)

    _run(check)


def test_a_set_crosses_domains_only_if_the_own_domain_lacks_it() -> None:
    """A local peer that announces it in time makes a remote fetch needless."""

    async def check(daemon: _Daemon) -> None:
        daemon.hear(PEERS[1], remote=True)
        daemon.hear(PEERS[0], remote=False)
        await asyncio.sleep(REMOTE_FETCH_DELAY_S + SETTLED_S)
        assert daemon.asked == [PEERS[0]]

    _run(check)


def test_a_domain_without_the_set_gets_it_from_another_one() -> None:
    """Without a local peer that has it, one remote peer is asked after the delay."""

    async def check(daemon: _Daemon) -> None:
        for peer in PEERS:
            daemon.hear(peer, remote=True)
        await asyncio.sleep(REMOTE_FETCH_DELAY_S + SETTLED_S)
        assert daemon.configuration.version == NEWEST
        assert len(daemon.asked) == 1

    _run(check)


def test_after_a_failure_the_next_announcement_is_followed() -> None:
    """A peer that does not answer keeps nobody from the set."""

    async def check(daemon: _Daemon) -> None:
        daemon.down.add(PEERS[0])
        daemon.hear(PEERS[0], remote=False)
        await asyncio.sleep(SETTLED_S)
        daemon.hear(PEERS[1], remote=False)
        await asyncio.sleep(SETTLED_S)
        assert daemon.configuration.version == NEWEST

    _run(check)


def test_a_set_that_is_active_is_not_decoded_again() -> None:
    """Replies that were overtaken by another one are dropped."""

    async def check(daemon: _Daemon) -> None:
        for peer in PEERS:
            daemon.peer_config.fetch(peer)
        await asyncio.sleep(SETTLED_S)
        assert len(daemon.asked) == len(PEERS)
        assert daemon.decoded == 1

    _run(check)


# Decoding beside the loop leaves time for further announcements of the same set.
def test_a_set_that_is_being_decoded_is_neither_fetched_nor_decoded_again() -> None:
    """Neither when a peer announces it, nor when the store has it too."""

    async def check(daemon: _Daemon) -> None:
        daemon.may_decode.clear()
        daemon.hear(PEERS[0], remote=False)
        while not daemon.decoded:
            await asyncio.sleep(0)
        daemon.hear(PEERS[1], remote=False)
        document = str(NEWEST).encode()
        stored = asyncio.create_task(daemon.watch.activate_document(document, "store"))
        await asyncio.sleep(SETTLED_S)
        assert daemon.configuration.version == 0
        daemon.may_decode.set()
        await stored
        assert daemon.configuration.version == NEWEST
        assert (len(daemon.asked), daemon.decoded) == (1, 1)

    _run(check)


# Guards against refusals for want of a proof beside a store that was restored.
def test_a_stored_set_that_is_older_proves_the_active_one() -> None:
    """The older set is decoded once; an invalid one proves nothing."""

    async def check(daemon: _Daemon) -> None:
        await daemon.watch.activate_document(b"9", "store")
        for at in (1.0, 2.0):
            await daemon.watch._apply_items([StoreItem("op/config", b"8", 5)], at)
            assert daemon.configuration.proven_at == at
        assert daemon.decoded == 2
        assert daemon.configuration.document == b"9"
        await daemon.watch._apply_items([StoreItem("op/config", b"x", 6)], 3.0)
        assert daemon.configuration.proven_at == 2.0

    _run(check)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
