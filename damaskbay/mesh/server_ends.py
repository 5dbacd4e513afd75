"""Finds out that the local server has ended, and tells its pool what it ran then."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.core.call import Request
from damaskbay.core.fatal_calls import FatalCalls, digest_of_request
from damaskbay.helpers.arrivals import timeout_after_reading
from damaskbay.mesh.directory import Directory
from damaskbay.mesh.messages import ServerEnd
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

COLLECT_S: Final = 0.02
"""Seconds in which the lost calls of one end are collected."""

PROBE_TIMEOUT_S: Final = 0.2
"""Seconds to connect to the server; it is on the same machine."""

TELL_TIMEOUT_S: Final = 1.0
"""Seconds that a peer has to confirm the message."""

MAX_LOST_CALLS: Final = 512
"""Calls of one end that are remembered; bounds the message to peers."""


@dataclass(frozen=True, slots=True)
class ServerEndsParts:
    """Address and pool of the local server, and dependencies of ServerEnds."""

    server: PeerAddress
    pool: str
    directory: Directory
    links: PeerLinks
    fatal_calls: FatalCalls
    clock: Callable[[], float]


class ServerEnds:
    """
    Watches calls whose connection to the server was lost.

    If nothing listens at the server's address then, it has ended, and each of these
    calls may be the cause. The daemons beside other servers of the pool are told, as
    far as this one has links to them; their number is bounded.
    """

    def __init__(self, parts: ServerEndsParts) -> None:
        self._parts = parts
        self._lost: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._checking = False

    def record_lost(self, request: Request) -> None:
        """Record a call that was sent and whose connection was lost."""
        if len(self._lost) < MAX_LOST_CALLS:
            self._lost.add(digest_of_request(request))
        if not self._checking:
            self._checking = True
            self._start(self._check())

    async def _check(self) -> None:
        await asyncio.sleep(COLLECT_S)
        self._checking = False
        lost, self._lost = self._lost, set()
        if await self._listens():
            return
        _LOGGER.warning("target: server has ended.", extra={"calls": len(lost)})
        parts = self._parts
        suspects = parts.fatal_calls.record_end(lost, parts.clock())
        if not suspects:
            return
        message = ServerEnd(suspects)
        for server in parts.directory.servers(parts.pool):
            if not server.local:
                self._start(self._tell(server.address, message))

    async def _listens(self) -> bool:
        """Return whether the server may still be there."""
        try:
            async with timeout_after_reading(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    self._parts.server.host, self._parts.server.port
                )
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError) as error:
            _LOGGER.info("target: server is not reached.", extra={"why": repr(error)})
            return True
        writer.close()
        return True

    async def _tell(self, peer: PeerAddress, message: ServerEnd) -> None:
        await self._parts.links.request(peer, message, timeout_s=TELL_TIMEOUT_S)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
