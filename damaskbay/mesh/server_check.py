"""Check of the local backend server before a stored state of it is trusted."""

import asyncio
import logging
from dataclasses import dataclass, replace
from http import HTTPStatus

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
)
from damaskbay.config.objects import HealthCheckedPool
from damaskbay.core.admission.named_limit import parse_limit
from damaskbay.core.call import Request, Response
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.local_server import Heartbeat, LocalServer
from damaskbay.mesh.server_notices import LEAVING
from damaskbay.mesh.settings import MeshSettings
from damaskbay.ports.fleet import ServerState

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
        settings: MeshSettings,
        dialect: HeaderNames,
        configuration: Configuration,
        local: LocalServer,
        gate: Gate,
    ) -> None:
        self._address = settings.server
        self._pool = settings.pool
        self._server_header = dialect.server.lower()
        self._leaving_header = dialect.leaving.lower()
        self._limit_header = dialect.limit.lower()
        self._configuration = configuration
        self._local = local
        self._gate = gate

    async def restore_ready(self, known: Heartbeat) -> None:
        """
        Restore a server that was ready at an earlier daemon start, unless it denies it.

        The earlier daemon may have ended before it could store that the server leaves.
        """
        checked = await self.check(known.server)
        now = monotonic_s()
        if checked.state is not ServerState.STARTING:
            self._local.restore(replace(known, state=checked.state), now)
        same_start = self._local.start == (known.server, known.started_ms)
        if checked.limit_per_s is not None and same_start:
            self._gate.record_response(checked.limit_per_s, now)

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
        wait_until = monotonic_s() + CONFIG_WAIT_S
        while self._configuration.config is None and monotonic_s() < wait_until:
            await asyncio.sleep(POLL_INTERVAL_S)
        config = self._configuration.config
        pool = config.pools_by_name.get(self._pool) if config is not None else None
        return pool.health_path if isinstance(pool, HealthCheckedPool) else ""

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
        if headers.get(self._leaving_header) == LEAVING:
            return CheckedServer(ServerState.DRAINING, limit_per_s), "server leaves"
        if outcome.status != HTTPStatus.OK:
            why = f"status {outcome.status}"
            return CheckedServer(ServerState.STARTING, limit_per_s), why
        return CheckedServer(ServerState.READY, limit_per_s), ""
