"""Links to peers: opening, monitoring and reconnecting."""

import asyncio
import itertools
import logging
from collections.abc import Callable
from functools import partial
from types import TracebackType
from typing import Any, Self

from damaskbay.adapters.http1.sockets import Listener, ready_descriptors
from damaskbay.adapters.peer_link.const import (
    CONNECT_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    LINK_TIMEOUT_S,
    MAX_NOTE_ROUNDS,
    MAX_RETIRED_LINKS,
    NOTE_INTERVAL_S,
    QUIET_AFTER_S,
    RECONNECT_DELAY_S,
    SUSPECT_AFTER_S,
)
from damaskbay.adapters.peer_link.evidence import EvidenceReader, read_tcp_info
from damaskbay.adapters.peer_link.frames import encode_note
from damaskbay.adapters.peer_link.handlers import LinkHandlers, RequestHandler
from damaskbay.adapters.peer_link.link import Link
from damaskbay.core.memory_account import MemoryAccount
from damaskbay.helpers.arrivals import (
    read_arrived,
    read_new_connections,
    timeout_after_reading,
)
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.supervision import keep_running
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem

_LOGGER = logging.getLogger(__name__)


class PeerLinks:
    """
    Keeps a link to each wanted peer and accepts links of peers.

    Requests and regular notes are sent on the links opened here, `broadcast_note` also
    uses the accepted ones. `note` returns the message that is sent every
    `NOTE_INTERVAL_S`; `on_note` receives the notes of peers. Peers acknowledge with
    the message that their `status` returns, for `on_status`. What the links hold counts
    in `memory`. Entering the context waits up to `bind_wait_s` seconds for an address
    that can't be used. Use it as an async context manager; the exit aborts the links
    that `close` has not closed.

    A link that receives nothing is given up if nothing acknowledges what is written to
    it, as `read_evidence` tells. Otherwise the peer's process wants a processor: the
    link goes on for the requests that may not be repeated, beside a new one.
    """

    def __init__(
        self,
        address: PeerAddress,
        *,
        on_links_change: Callable[[], None],
        on_request: RequestHandler,
        on_note: Callable[[Any], None],
        note: Callable[[], Any],
        status: Callable[[], Any] = lambda: None,
        on_status: Callable[[PeerAddress, Any], None] = lambda _peer, _status: None,
        memory: MemoryAccount | None = None,
        read_evidence: EvidenceReader = read_tcp_info,
    ) -> None:
        self._address = address
        self._on_links_change = on_links_change
        self._on_request = on_request
        self._on_note = on_note
        self._note = note
        self._status = status
        self._on_status = on_status
        self.bind_wait_s = 0.0
        self._memory = memory or MemoryAccount()
        self._read_evidence = read_evidence
        self._tasks_by_peer: dict[PeerAddress, asyncio.Task[None]] = {}
        self._links_by_peer: dict[PeerAddress, Link] = {}
        self._retired: dict[Link, PeerAddress] = {}
        self._accepted: set[Link] = set()
        self._listener = Listener(self._accept)
        self._monitor_task: asyncio.Task[None] | None = None
        self._closing = False
        self._interrupted = False

    async def __aenter__(self) -> Self:
        await self._listener.open(self._address, wait_s=self.bind_wait_s)
        self._monitor_task = asyncio.create_task(keep_running(self._monitor_links))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._monitor_task is not None:
            self._monitor_task.cancel()
        self._stop_connecting()
        for link in self._all_links():
            link.abort()

    async def close(self, *, timeout_s: float) -> None:
        """
        Close all links for good after their peers have read what is buffered.

        After `timeout_s` seconds the remaining links are aborted.
        """
        self._stop_connecting()
        connected = [link for link in self._all_links() if link.open]
        for link in connected:
            link.close()
        # Links that were accepted just now are connected before they are closed.
        await read_new_connections(self._has_unread)
        links = self._all_links()
        extra = {"links": len(links), "unsent_bytes": self.unsent_bytes}
        _LOGGER.info("peer: links are closing.", extra=extra)
        for link in links:
            link.close()
        try:
            async with asyncio.timeout(timeout_s):
                for link in links:
                    await link.ended.wait()
        except TimeoutError:
            _LOGGER.warning(
                "peer: links are aborted, since their peers read too slowly.",
                extra={
                    "links": sum(not link.ended.is_set() for link in links),
                    "unsent_bytes": self.unsent_bytes,
                },
            )
        finally:
            for link in links:
                link.abort()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes on all links that wait here to be sent."""
        return sum(link.unsent_bytes for link in self._all_links())

    def set_wanted_links(self, peers: frozenset[PeerAddress]) -> None:
        """
        Set the peers to keep links to.

        Links to all others close when their requests in flight have ended.
        """
        if self._closing:
            return
        for unwanted in self._tasks_by_peer.keys() - peers:
            self._tasks_by_peer.pop(unwanted).cancel()
            link = self._links_by_peer.pop(unwanted, None)
            if link is not None and not link.ended.is_set():
                self._retired[link] = unwanted
                link.retire()
        loop = asyncio.get_running_loop()
        for peer in peers - self._tasks_by_peer.keys():
            self._tasks_by_peer[peer] = loop.create_task(
                keep_running(partial(self._maintain_link, peer))
            )

    def up_peers(self) -> tuple[PeerAddress, ...]:
        """Return the peers that new requests can be sent to."""
        return tuple(peer for peer in self._links_by_peer if self.up(peer))

    @property
    def up_count(self) -> int:
        """Return the number of open links to peers, without accepted links."""
        return len(self._links_by_peer)

    def up(self, peer: PeerAddress) -> bool:
        """Return whether there is a link to the peer that is open and not suspect."""
        link = self._links_by_peer.get(peer)
        return link is not None and link.takes_requests and not link.suspect

    def peer_version(self, peer: PeerAddress) -> int:
        """Return the version that a peer announced, 0 if it is unknown."""
        link = self._links_by_peer.get(peer)
        return 0 if link is None else link.peer_version

    async def request(
        self,
        peer: PeerAddress,
        message: Any,
        *,
        timeout_s: float,
        repeatable: bool = True,
    ) -> Any:
        """
        Send a request to a peer and return its reply or a PeerFailure.

        While the peer's process is silent and its kernel is not, a `repeatable` request
        fails after LINK_TIMEOUT_S, another one waits for up to `timeout_s`.
        """
        if self._interrupted:
            return PeerFailure(PeerProblem.NOT_SENT, "daemon is shutting down")
        link = self._links_by_peer.get(peer)
        if link is None:
            return PeerFailure(PeerProblem.NOT_SENT, "no link")
        if link.suspect and not repeatable:
            return PeerFailure(PeerProblem.NOT_SENT, "peer is silent")
        return await link.request(message, timeout_s=timeout_s, repeatable=repeatable)

    def interrupt_requests(self) -> None:
        """
        End all requests in flight as INTERRUPTED, and send no further ones.

        The peers are told to cancel them. Replies that have arrived are still returned.
        """
        self._interrupted = True
        for link in self._opened_links():
            link.interrupt_requests()

    def broadcast_note(self) -> None:
        """Send a note on every link now, also to peers that only link to this one."""
        note = self._note()
        encoded = encode_note(note)
        for link in self._all_links():
            link.send_note(note, encoded)

    def _stop_connecting(self) -> None:
        self._closing = True
        self._listener.close()
        for task in self._tasks_by_peer.values():
            task.cancel()
        self._tasks_by_peer.clear()

    def _has_unread(self) -> bool:
        """Return whether a link is yet to be connected, read, or answered here."""
        links = self._all_links()
        if self._listener.is_connecting or any(link.handlers_running for link in links):
            return True
        descriptors = [link.descriptor for link in links if link.descriptor is not None]
        return bool(ready_descriptors(descriptors))

    def _all_links(self) -> tuple[Link, ...]:
        return (*self._opened_links(), *self._accepted)

    def _opened_links(self) -> tuple[Link, ...]:
        return (*self._links_by_peer.values(), *self._retired)

    def _check_silent(self, link: Link, now: float, late_s: float) -> None:
        """Give up a silent link, or the part of its work that needn't wait."""
        evidence = link.read_evidence(self._read_evidence)
        if evidence is None or not evidence.acknowledges:
            self._abort_silent(link, now, late_s, acknowledged=False)
            return
        link.fail_repeatable()
        if link.has_work:
            self._retire_stalled(link)
            return
        is_kept = link in self._accepted and link.open
        if not is_kept or now - link.last_received_at > IDLE_TIMEOUT_S:
            self._abort_silent(link, now, late_s, acknowledged=True)

    def _retire_stalled(self, link: Link) -> None:
        """Let a new link take the place of one whose requests go on waiting."""
        peer = self._peer_of(link)
        if peer is None:
            return
        retired = [other for other, at in self._retired.items() if at == peer]
        if len(retired) >= MAX_RETIRED_LINKS:
            idle = [other for other in retired if not other.has_work]
            if not idle:
                return
            idle[0].abort()
        _LOGGER.warning(
            "peer: link waits for a silent process.",
            extra={"peer": str(peer), "requests": link.requests_in_flight},
        )
        del self._links_by_peer[peer]
        self._retired[link] = peer
        link.retire()
        self._on_links_change()

    def _peer_of(self, link: Link) -> PeerAddress | None:
        """Return the peer to which a link takes new requests, if it is such a one."""
        for peer, current in self._links_by_peer.items():
            if current is link:
                return peer
        return None

    def _abort_silent(
        self, link: Link, now: float, late_s: float, *, acknowledged: bool
    ) -> None:
        _LOGGER.warning(
            "peer: link has timed out.",
            extra={
                "accepted": link in self._accepted,
                "acknowledged": acknowledged,
                "silent_s": round(now - link.last_received_at, 3),
                "late_s": round(late_s, 3),
                "requests": link.requests_in_flight,
                "handlers": link.handlers_running,
                "unsent_bytes": link.unsent_bytes,
            },
        )
        link.abort()

    def _set_suspect(self, link: Link, *, suspect: bool) -> None:
        if suspect is not link.suspect:
            link.suspect = suspect
            self._on_links_change()

    def _accept(self) -> Link:
        link = self._make_link(lambda _status: None, self._accepted.discard)
        self._accepted.add(link)
        return link

    def _make_link(
        self, on_status: Callable[[Any], None], on_end: Callable[[Link], object]
    ) -> Link:
        handlers = LinkHandlers(
            self._on_request,
            self._on_note,
            self._status,
            on_status,
            on_end,
            on_answer=lambda link: self._set_suspect(link, suspect=False),
        )
        return Link(handlers, self._memory)

    async def _maintain_link(self, peer: PeerAddress) -> None:
        """Connect to the peer, and reconnect after a failure, until cancelled."""
        loop = asyncio.get_running_loop()
        was_silent = False

        def make_link() -> Link:
            link = self._make_link(
                partial(self._on_status, peer),
                lambda link: self._retired.pop(link, None),
            )
            # The kernel accepts connections for a process that is silent.
            link.suspect = link.unproven = was_silent
            return link

        while True:
            try:
                async with timeout_after_reading(CONNECT_TIMEOUT_S):
                    _, link = await loop.create_connection(
                        make_link, peer.host, peer.port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self._links_by_peer[peer] = link
            self._on_links_change()
            note = self._note()
            link.send_note(note, encode_note(note))
            _LOGGER.info("peer: link is up.", extra={"peer": str(peer)})
            await link.released.wait()
            was_silent = link.suspect
            if self._links_by_peer.get(peer) is link:
                del self._links_by_peer[peer]
            if link.ended.is_set():
                self._on_links_change()
                _LOGGER.warning("peer: link is lost.", extra={"peer": str(peer)})
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _monitor_links(self) -> None:
        """Send notes each round; mark suspect links and close timed-out ones."""
        due_at = monotonic_s() + NOTE_INTERVAL_S
        for round_number in itertools.count():
            await asyncio.sleep(NOTE_INTERVAL_S)
            self._listener.ensure_accepting()
            now = monotonic_s()
            late_s = now - due_at
            due_at = now + NOTE_INTERVAL_S
            # What has arrived by now ends a silence that is counted up to now.
            await read_arrived()
            note = self._note()
            encoded = encode_note(note)
            for link in self._all_links():
                if late_s > NOTE_INTERVAL_S:
                    # This process was suspended; the peer may still be alive.
                    link.last_received_at = max(link.last_received_at, now)
                link.count_unsent()
                silent_s = now - link.last_received_at
                if silent_s > LINK_TIMEOUT_S:
                    self._check_silent(link, now, late_s)
                if silent_s > SUSPECT_AFTER_S and link in self._accepted:
                    link.probe()
            all_links = round_number % MAX_NOTE_ROUNDS == 0
            for link in self._opened_links():
                is_silent = now - link.last_received_at > SUSPECT_AFTER_S
                self._set_suspect(link, suspect=is_silent or link.unproven)
                # Either end closes the link if it receives nothing.
                last_at = min(link.last_received_at, link.last_sent_at)
                if all_links or now - last_at > QUIET_AFTER_S:
                    link.send_note(note, encoded)
