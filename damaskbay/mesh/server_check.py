"""Check of the local backend server, when a stored state or its start is in doubt."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
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
from damaskbay.mesh.local_server import LocalServer
from damaskbay.mesh.server_notices import LEAVING, MAX_LOGGED_VALUE
from damaskbay.mesh.settings import MeshSettings
from damaskbay.ports.fleet import ServerState

_LOGGER = logging.getLogger(__name__)

CHECK_TIMEOUT_S = 0.5
"""Timeout of the check, seconds."""


@dataclass(frozen=True, slots=True)
class CheckedServer:
    """
    What a server says of itself.

    `state` is STARTING if the check doesn't tell; then `denies` is whether the server
    has answered that it fails or leaves. `limit_per_s` is the limit that it names, in
    requests per second, None if it names none. `cold_s` is how long it stays cold, None
    if it doesn't say; it may be `another` than the known one.
    """

    state: ServerState
    limit_per_s: float | None = None
    cold_s: float | None = None
    another: bool = False
    denies: bool = False


class ServerCheck:
    """
    Asks the local server by its health check who it is and whether it leaves.

    `on_cold` is called with the seconds for which the server stays cold and the time
    of the request. A check counts as a request to a cold server, and isn't sent to an
    evacuated one.
    """

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
        self._not_run_header = dialect.not_run.lower()
        self._limit_header = dialect.limit.lower()
        self._cold_header = dialect.cold_ms.lower()
        self._configuration = configuration
        self.local = local
        self.gate = gate
        self.on_cold: Callable[[float, float], None] = lambda cold_s, as_of: None

    @property
    def is_configured(self) -> bool:
        """Return whether it is known if the pool has a health check."""
        return self._configuration.config is not None

    @property
    def is_possible(self) -> bool:
        """Return whether the active configuration names a health check of the pool."""
        return bool(self._health_path())

    async def check(self, server: str) -> CheckedServer:
        """
        Return what the server says; STARTING if it can't be asked.

        A response of another server than the expected one says nothing.
        """
        path = self._health_path()
        if not path:
            return CheckedServer(ServerState.STARTING)
        checked, why = await self._ask(path, server)
        if checked.state is not ServerState.READY:
            _LOGGER.info(
                "backend: server does not confirm that it is ready.",
                extra={"server": server, "why": why},
            )
        return checked

    async def ask_cold(self) -> bool:
        """Ask whether the server is cold; return False if it is to be asked again."""
        path = self._health_path()
        if not path:
            return self.is_configured
        checked, why = await self._ask(path, self.local.server)
        if checked.cold_s is None:
            _LOGGER.info(
                "backend: health check doesn't tell whether the server is cold.",
                extra={"server": self.local.server, "why": why},
            )
        return checked.state is not ServerState.STARTING or checked.cold_s is not None

    async def _ask(self, path: str, server: str) -> tuple[CheckedServer, str]:
        """Ask once; return what the server says, and the reason if not READY."""
        asked_at = monotonic_s()

        def request() -> Request | None:
            nonlocal asked_at
            asked_at = monotonic_s()
            cold_limit = self.gate.cold_limit
            if self.local.evacuated or not cold_limit.allows_write(asked_at):
                return None
            cold_limit.record_write(asked_at)
            return Request("GET", str(self._address), path)

        client = HttpClient(self._address, HttpClientOptions())
        try:
            outcome = await client.send(request, timeout_s=CHECK_TIMEOUT_S)
        finally:
            client.close()
        checked, why = self._read(outcome, server)
        # Another server at the address may be cold; that it isn't says nothing of the
        # known one.
        if checked.cold_s is not None and (checked.cold_s or not checked.another):
            self.on_cold(checked.cold_s, asked_at)
        return checked, why

    def _health_path(self) -> str:
        """Return the path of the health check, empty if none is known."""
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
        cold_s = self._read_cold_s(headers.get(self._cold_header))
        if headers.get(self._server_header) != server:
            why = "another server or none named"
            return CheckedServer(ServerState.STARTING, None, cold_s, True), why
        state, why, denies = ServerState.READY, "", False
        if headers.get(self._leaving_header) == LEAVING:
            state, why = ServerState.DRAINING, "server leaves"
        elif outcome.status != HTTPStatus.OK:
            state, why = ServerState.STARTING, f"status {outcome.status}"
            # A full server rejects the check like any other request.
            denies = self._not_run_header not in headers
        limit_per_s = parse_limit(headers.get(self._limit_header, ""))
        return CheckedServer(state, limit_per_s, cold_s, denies=denies), why

    def _read_cold_s(self, text: str | None) -> float | None:
        """Return the seconds in a header, None without a valid one."""
        if text is None:
            return None
        try:
            cold_s = float(text) / 1000.0
        except ValueError:
            cold_s = math.nan
        if 0.0 <= cold_s < math.inf:
            return cold_s
        _LOGGER.warning(
            "backend: header of the health check is not a time in milliseconds.",
            extra={"header": self._cold_header, "value": text[:MAX_LOGGED_VALUE]},
        )
        return None
