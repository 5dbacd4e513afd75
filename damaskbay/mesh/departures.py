"""Servers that leave, known to the peers of the daemons beside them."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.mesh.local_server import ServerStart
from damaskbay.mesh.messages import Departure
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

TELL_TIMEOUT_S = 0.5
"""Timeout of telling a peer, seconds; the server waits for its acknowledgement."""

ASK_TIMEOUT_S = 0.5
"""Timeout of asking a peer, seconds."""

MAX_DEPARTURES = 4096
"""Departures that are remembered; a daemon is told those of the daemons it links to."""


class Departures:
    """
    Tells peers that the local server leaves, and remembers what they tell.

    The store may refuse the record of a departure, and the daemon beside the server may
    end before it takes it. The next daemon there asks its peers.
    """

    def __init__(self, instance: str, links: PeerLinks) -> None:
        self._instance = instance
        self._links = links
        self._by_instance: dict[str, Departure] = {}
        self._told: ServerStart | None = None
        self._tasks: set[asyncio.Task[bool]] = set()

    def handle(self, departure: Departure) -> Departure:
        """Remember a peer's departure if it names one; return the last known one."""
        instance = departure.instance
        known = self._by_instance.get(instance, Departure(instance, "", 0))
        if departure.server:
            # A repeated insertion moves the instance to the end of the order.
            self._by_instance.pop(instance, None)
            self._by_instance[instance] = known = departure
            if len(self._by_instance) > MAX_DEPARTURES:
                del self._by_instance[next(iter(self._by_instance))]
        return known

    def tell(self, start: ServerStart) -> asyncio.Task[bool]:
        """Tell the linked peers that a start leaves; return whether one knows it."""
        task = asyncio.get_running_loop().create_task(self._tell_all(start))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def ask(
        self, peers: Iterable[PeerAddress], on_departure: Callable[[ServerStart], None]
    ) -> None:
        """Ask peers which server was leaving here; report each one that they name."""
        wanted = Departure(self._instance, "", 0)
        replies = await asyncio.gather(
            *(
                self._links.request(peer, wanted, timeout_s=ASK_TIMEOUT_S)
                for peer in peers
            )
        )
        for reply in replies:
            if isinstance(reply, Departure) and reply.server:
                on_departure((reply.server, reply.born_ms))

    async def _tell_all(self, start: ServerStart) -> bool:
        """Return once a peer has acknowledged; the others get it all the same."""
        if self._told == start:
            return True
        departure = Departure(self._instance, *start)
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self._tell(peer, departure))
            for peer in self._links.up_peers()
        ]
        self._tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self._tasks.discard)
        for acknowledged in asyncio.as_completed(tasks):
            if await acknowledged:
                self._told = start
                return True
        return False

    async def _tell(self, peer: PeerAddress, departure: Departure) -> bool:
        reply: Any = await self._links.request(
            peer, departure, timeout_s=TELL_TIMEOUT_S
        )
        if isinstance(reply, Departure):
            return True
        _LOGGER.info(
            "backend: peer is not told that the server leaves.",
            extra={"peer": str(peer), "why": str(reply)},
        )
        return False
