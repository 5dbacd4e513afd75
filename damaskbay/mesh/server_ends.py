"""Finds out that the local server has ended, and tells peers what it ran then."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.core.call import Request
from damaskbay.core.fatal_calls import FatalCalls, digest_of_request
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


class ServerEnds:
    """
    Watches calls whose connection to the server was lost.

    If nothing listens at the server's address then, it has ended, and each of these
    calls may be the cause.
    """

    def __init__(
        self,
        server: PeerAddress,
        fatal_calls: FatalCalls,
        links: PeerLinks,
        clock: Callable[[], float],
    ) -> None:
        self._server = server
        self._fatal_calls = fatal_calls
        self._links = links
        self._clock = clock
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
        suspects = self._fatal_calls.record_end(lost, self._clock())
        if not suspects:
            return
        message = ServerEnd(suspects)
        for peer in self._links.up_peers():
            self._start(self._tell(peer, message))

    async def _listens(self) -> bool:
        """Return whether the server may still be there."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    self._server.host, self._server.port
                )
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError) as error:
            _LOGGER.info("target: server is not reached.", extra={"why": repr(error)})
            return True
        writer.close()
        return True

    async def _tell(self, peer: PeerAddress, message: ServerEnd) -> None:
        await self._links.request(peer, message, timeout_s=TELL_TIMEOUT_S)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
