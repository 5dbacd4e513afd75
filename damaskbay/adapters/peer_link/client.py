"""Links to the other daemons: kept up, watched and replaced."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

from damaskbay.adapters.http1.sockets import listen
from damaskbay.adapters.peer_link.const import (
    CONNECT_TIMEOUT_S,
    NOTE_AT_LEAST_ROUNDS,
    NOTE_S,
    QUIET_S,
    RECONNECT_S,
    SILENT_S,
    SUSPECT_S,
)
from damaskbay.adapters.peer_link.link import Link, RequestHandler, encode_note
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem

_LOGGER = logging.getLogger(__name__)


class PeerLinks:
    """
    Keeps a link to each peer that is wanted, and accepts theirs.

    Requests go over the links opened here. `note` makes what is sent on each of
    these every `NOTE_S`; `on_note` gets what peers send on theirs. Entered and left
    as an async context manager.
    """

    def __init__(
        self,
        address: PeerAddress,
        *,
        on_links_change: Callable[[], None],
        on_request: RequestHandler,
        on_note: Callable[[Any], None],
        note: Callable[[], Any],
    ) -> None:
        self._address = address
        self._on_links_change = on_links_change
        self._on_request = on_request
        self._on_note = on_note
        self._note = note
        self._wanted: dict[PeerAddress, asyncio.Task[None]] = {}
        self._links: dict[PeerAddress, Link] = {}
        self._accepted: set[Link] = set()
        self._server: asyncio.Server | None = None
        self._noting: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._server = await listen(self._address, self._accept)
        self._noting = asyncio.create_task(self._keep_noting())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._noting is not None:
            self._noting.cancel()
        self.want(frozenset())
        if self._server is not None:
            self._server.close()
        for link in tuple(self._accepted):
            link.abort()

    def want(self, peers: frozenset[PeerAddress]) -> None:
        """Keep links to these peers and to no others."""
        for gone in self._wanted.keys() - peers:
            self._wanted.pop(gone).cancel()
            link = self._links.pop(gone, None)
            if link is not None:
                link.abort()
        loop = asyncio.get_running_loop()
        for peer in peers - self._wanted.keys():
            self._wanted[peer] = loop.create_task(self._keep(peer))

    def up_peers(self) -> tuple[PeerAddress, ...]:
        """Return the peers that can be asked."""
        return tuple(peer for peer in self._links if self.up(peer))

    @property
    def up_count(self) -> int:
        """Return the number of links opened here."""
        return len(self._links)

    def up(self, peer: PeerAddress) -> bool:
        """Tell whether there is a link that new requests should take."""
        link = self._links.get(peer)
        return link is not None and link.open and not link.suspect

    async def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> Any:
        """Send over the link to a peer and return its answer or a PeerFailure."""
        link = self._links.get(peer)
        if link is None:
            return PeerFailure(PeerProblem.NOT_SENT, "no link")
        return await link.request(message, timeout_s=timeout_s)

    def tell_all(self) -> None:
        """Send a note on every link now."""
        note = encode_note(self._note())
        for link in self._links.values():
            link.send(note)

    def _suspect(self, link: Link, suspect: bool) -> None:
        if suspect is not link.suspect:
            link.suspect = suspect
            self._on_links_change()

    def _accept(self) -> Link:
        link = Link(self._on_request, self._noted, self._accepted.discard)
        self._accepted.add(link)
        return link

    def _noted(self, _link: Link, message: Any) -> None:
        self._on_note(message)

    async def _keep(self, peer: PeerAddress) -> None:
        """Connect again and again while the peer is wanted."""
        loop = asyncio.get_running_loop()
        while True:
            ended = asyncio.Event()

            def on_end(_link: Link, ended: asyncio.Event = ended) -> None:
                ended.set()

            try:
                _, link = await asyncio.wait_for(
                    loop.create_connection(
                        lambda on_end=on_end: Link(  # type: ignore[misc]
                            self._on_request, self._noted, on_end
                        ),
                        peer.host,
                        peer.port,
                    ),
                    CONNECT_TIMEOUT_S,
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_S)
                continue
            self._links[peer] = link
            self._on_links_change()
            link.send(encode_note(self._note()))
            _LOGGER.info("peer: link is up.", extra={"peer": str(peer)})
            await ended.wait()
            if self._links.get(peer) is link:
                del self._links[peer]
            self._on_links_change()
            _LOGGER.warning("peer: link is lost.", extra={"peer": str(peer)})
            await asyncio.sleep(RECONNECT_S)

    async def _keep_noting(self) -> None:
        due = monotonic_s() + NOTE_S
        for turn in itertools.count():
            await asyncio.sleep(NOTE_S)
            now = monotonic_s()
            paused = now - due > NOTE_S
            due = now + NOTE_S
            note = encode_note(self._note())
            for link in (*self._links.values(), *self._accepted):
                if paused:
                    # This process stood still: silence says nothing of the peer.
                    link.heard_at = now
                if now - link.heard_at > SILENT_S:
                    link.abort()
            whole_round = turn % NOTE_AT_LEAST_ROUNDS == 0
            for link in self._links.values():
                self._suspect(link, now - link.heard_at > SUSPECT_S)
                if whole_round or now - link.heard_at > QUIET_S:
                    link.send(note)
