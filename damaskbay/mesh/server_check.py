"""Check of the local backend server before a stored state of it is trusted."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
)
from damaskbay.core.call import Request, Response
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

CHECK_TIMEOUT_S = 0.5
"""Timeout of the check, seconds; after it, the server's next report counts."""

CONFIG_WAIT_S = 1.0
"""Wait for the configuration, which is read from the store like the state, seconds."""

POLL_INTERVAL_S = 0.02


class ServerCheck:
    """Asks the local server by its health check who it is and whether it leaves."""

    def __init__(
        self,
        address: PeerAddress,
        pool: str,
        dialect: HeaderNames,
        configuration: Configuration,
        clock: Callable[[], float],
    ) -> None:
        self._address = address
        self._pool = pool
        self._server_header = dialect.server.lower()
        self._leaving_header = dialect.leaving.lower()
        self._configuration = configuration
        self._clock = clock

    async def state_of(self, server: str) -> ServerState:
        """
        Return READY or DRAINING, or STARTING if only a report of the server can tell.

        In a pool without a health check every server is taken as READY.
        """
        path = await self._health_path()
        if not path:
            return ServerState.READY
        client = HttpClient(self._address, HttpClientOptions())
        try:
            outcome = await client.send(
                Request("GET", str(self._address), path), timeout_s=CHECK_TIMEOUT_S
            )
        finally:
            client.close()
        state, why = self._classify(outcome, server)
        if state is not ServerState.READY:
            _LOGGER.info(
                "backend: stored state is not confirmed.",
                extra={"server": server, "why": why},
            )
        return state

    async def _health_path(self) -> str:
        wait_until = self._clock() + CONFIG_WAIT_S
        while self._configuration.config is None and self._clock() < wait_until:
            await asyncio.sleep(POLL_INTERVAL_S)
        config = self._configuration.config
        pool = config.pools_by_name.get(self._pool) if config is not None else None
        return pool.health_path if pool is not None else ""

    def _classify(
        self, outcome: Response | HttpFailure, server: str
    ) -> tuple[ServerState, str]:
        """Return the state that a response shows, and the reason if it isn't READY."""
        if isinstance(outcome, HttpFailure):
            return ServerState.STARTING, outcome.problem.value
        headers = {name.lower(): value for name, value in outcome.headers}
        if headers.get(self._server_header) != server:
            return ServerState.STARTING, "another server or none named"
        if self._leaving_header in headers:
            return ServerState.DRAINING, "server leaves"
        if outcome.status != HTTPStatus.OK:
            return ServerState.STARTING, f"status {outcome.status}"
        return ServerState.READY, ""
