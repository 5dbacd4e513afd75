"""Daemons with a link between them over real sockets."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.peer_link.link import Link
from damaskbay.mesh.messages import ConfigReply, ConfigRequest
from tests.common import reserve_address

WAIT_S = 8.0

NEVER = 99
"""Version of which a request never gets a reply."""

LARGE = 98
"""Version of which the document exceeds the socket buffers."""

SLOW = 97
"""Version of which a request gets its reply after SLOW_S."""

SLOW_S = 0.3

STAGGERED = 100
"""Version from which on requests get their replies STAGGER_S apart."""

STAGGER_S = 0.05

LARGE_BYTES = 16 * 1024 * 1024


class LinkedDaemon:
    """Replies with the requested version."""

    def __init__(self) -> None:
        self.address = reserve_address()
        self.received = 0
        self.cancelled = 0
        self.notes: list[Any] = []
        self.links = PeerLinks(
            self.address,
            on_links_change=lambda: None,
            on_request=self._request,
            on_note=self.notes.append,
            note=lambda: ConfigRequest(self.address.port),
        )

    async def _request(self, message: Any) -> Any:
        self.received += 1
        try:
            if message.newer_than == NEVER:
                await asyncio.sleep(60)
            if message.newer_than == SLOW:
                await asyncio.sleep(SLOW_S)
            await asyncio.sleep(STAGGER_S * max(0, message.newer_than - STAGGERED))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        document = bytes(LARGE_BYTES) if message.newer_than == LARGE else b""
        return ConfigReply(message.newer_than, document, None)

    async def connect(self, other: "LinkedDaemon") -> None:
        """Open a link and wait until it is up."""
        self.links.set_wanted_links(frozenset({other.address}))
        async with asyncio.timeout(WAIT_S):
            while not self.links.up(other.address):
                await asyncio.sleep(0.01)

    async def request(self, other: "LinkedDaemon", version: int) -> Any:
        """Send a request for a version; return the reply or a PeerFailure."""
        return await self.links.request(
            other.address, ConfigRequest(version), timeout_s=WAIT_S
        )

    def link_to(self, other: "LinkedDaemon") -> Link:
        """Return the link that this daemon has opened."""
        return self.links._links_by_peer[other.address]


@contextlib.contextmanager
def reading_paused(link: Link) -> Iterator[None]:
    """Receive nothing on a link in the meantime."""
    assert link._transport is not None
    link._transport.pause_reading()
    try:
        yield
    finally:
        if link._transport is not None:
            link._transport.resume_reading()


def run_pair(
    check: Callable[[LinkedDaemon, LinkedDaemon], Awaitable[None]],
    runner: Callable[[Coroutine[Any, Any, None]], None] = asyncio.run,
) -> None:
    """Run a check of two daemons, the first of which has a link to the second."""

    async def run() -> None:
        one, two = LinkedDaemon(), LinkedDaemon()
        async with one.links, two.links:
            await one.connect(two)
            async with asyncio.timeout(WAIT_S):
                await check(one, two)

    runner(run())
