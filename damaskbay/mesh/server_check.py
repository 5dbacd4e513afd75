"""Check of the local backend server before a stored state of it is trusted."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
)
from damaskbay.core.admission.named_limit import parse_limit
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


@dataclass(frozen=True, slots=True)
class CheckedServer:
    """
    What a server says of itself.

    `state` is STARTING if only a report of the server can tell. `limit_per_s` is the
    limit that it names, in requests per second, None if it names none.
    """

    state: ServerState
    limit_per_s: float | None = None


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
        self._limit_header = dialect.limit.lower()
        self._configuration = configuration
        self._clock = clock

    async def check(self, server: str) -> CheckedServer:
        """
        Return what the server says, READY in a pool without a health check.

        A response of another server than the expected one says nothing.
        """
        path = await self._health_path()
        if not path:
            return CheckedServer(ServerState.READY)
        client = HttpClient(self._address, HttpClientOptions())
        try:
            outcome = await client.send(
                Request("GET", str(self._address), path), timeout_s=CHECK_TIMEOUT_S
            )
        finally:
            client.close()
        checked, why = self._read(outcome, server)
        if checked.state is not ServerState.READY:
            _LOGGER.info(
                "backend: stored state is not confirmed.",
                extra={"server": server, "why": why},
            )
        return checked

    async def _health_path(self) -> str:
        wait_until = self._clock() + CONFIG_WAIT_S
        while self._configuration.config is None and self._clock() < wait_until:
            await asyncio.sleep(POLL_INTERVAL_S)
        config = self._configuration.config
        pool = config.pools_by_name.get(self._pool) if config is not None else None
        return pool.health_path if pool is not None else ""

    def _read(
        self, outcome: Response | HttpFailure, server: str
    ) -> tuple[CheckedServer, str]:
        """Return what a response says, and the reason if that isn't READY."""
        if isinstance(outcome, HttpFailure):
            return CheckedServer(ServerState.STARTING), outcome.problem.value
        headers = {name.lower(): value for name, value in outcome.headers}
        if headers.get(self._server_header) != server:
            why = "another server or none named"
            return CheckedServer(ServerState.STARTING), why
        limit_per_s = parse_limit(headers.get(self._limit_header, ""))
        if self._leaving_header in headers:
            return CheckedServer(ServerState.DRAINING, limit_per_s), "server leaves"
        if outcome.status != HTTPStatus.OK:
            why = f"status {outcome.status}"
            return CheckedServer(ServerState.STARTING, limit_per_s), why
        return CheckedServer(ServerState.READY, limit_per_s), ""
