"""Backend server of the saturation measurement, which calls others by its daemon."""

import asyncio
import time
from dataclasses import dataclass
from random import Random
from types import TracebackType
from typing import Self

from bench.saturation_calls import (
    HOST_HEADER,
    STAGES_BY_PATH,
    STAMP_HEADER,
    Run,
    WorkerState,
)
from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Headers, Request, Response
from damaskbay.mesh.running import SEPARATOR
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HEALTH_PATH, HOST

SERVICE_RANGE_S = (0.005, 0.05)
"""Time that a server takes for a request without its nested calls, seconds."""

RUNS_STEP = 100
OVERDUE_S = 1.0
OK = 200
BODY = b"." * 1000


@dataclass(frozen=True)
class ServerSpec:
    """Name of a machine and the address of its daemon."""

    machine: str
    daemon: PeerAddress


class SaturationServer:
    """Backend server of one machine; an async context manager."""

    def __init__(self, spec: ServerSpec, state: WorkerState, rng: Random) -> None:
        self.machine = spec.machine
        self.daemon = spec.daemon
        self._server_id = f"i-{spec.machine}-1"
        self._state = state
        self._rng = rng
        limits = CallerLimits(idle_timeout_s=600.0)
        self._listener = HttpServer(PeerAddress(HOST, 0), self._serve, limits)
        self._client = HttpClient(spec.daemon, HttpClientOptions(max_connections=1000))

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._client.close()
        await self._listener.__aexit__(exc_type, exc, traceback)

    @property
    def address(self) -> PeerAddress:
        """Return the address at which the server listens."""
        return self._listener.address

    async def _serve(self, arrival: ReceivedRequest) -> Response:
        request = arrival.request
        if request.target == HEALTH_PATH:
            return Response(OK, (("X-Instance-Id", self._server_id),))
        headers = {name.lower(): value for name, value in request.headers}
        request_id = headers["x-request-id"]
        id_header: Headers = (("X-Request-Id", request_id),)
        if headers.get("x-expect-instance") != self._server_id:
            return Response(421, id_header)
        run = Run(time.monotonic())
        runs = self._state.report.runs.setdefault(request_id, [])
        runs.append(run)
        ends_at = run.arrived_at + int(headers["x-deadline-ms"]) / 1000.0
        first_id = len(runs) * RUNS_STEP
        try:
            run.status = await self._execute(request, request_id, first_id, ends_at)
        finally:
            run.ended_at = time.monotonic()
        stamp = (STAMP_HEADER, f"{request_id}{SEPARATOR}{self._server_id}")
        return Response(run.status, (*id_header, stamp), BODY)

    async def _execute(
        self, request: Request, request_id: str, first_id: int, ends_at: float
    ) -> int:
        """Run a request and return its status: 504 at its time limit."""
        path = request.target.split("/")[1]
        pause_s = self._rng.uniform(*SERVICE_RANGE_S) / 2.0
        number = first_id
        try:
            async with asyncio.timeout(ends_at - time.monotonic()):
                await asyncio.sleep(pause_s)
                for stage in STAGES_BY_PATH.get(path, ()):
                    calls = []
                    for name in stage:
                        nested_id = f"{request_id}{SEPARATOR}{number}"
                        calls.append(self._call(name, nested_id, ends_at))
                        number += 1
                    if not all(await asyncio.gather(*calls)):
                        return 500
                await asyncio.sleep(pause_s)
        except TimeoutError:
            return 504
        return OK

    async def _call(self, path: str, nested_id: str, ends_at: float) -> bool:
        """Make one call over the own daemon; return whether it succeeded."""
        limit_s = ends_at - time.monotonic()
        headers: Headers = (
            ("X-Request-Id", nested_id),
            ("X-Deadline-Ms", str(max(1, int(limit_s * 1000.0)))),
        )
        response = await self._client.send(
            Request("GET", HOST_HEADER, f"/{path}/x", headers),
            timeout_s=limit_s + OVERDUE_S,
        )
        nested = self._state.report.nested
        if isinstance(response, HttpFailure):
            nested[response.problem.value] += 1
            return False
        names = {name.lower() for name, _ in response.headers}
        maker = "server" if STAMP_HEADER in names else "own"
        nested[f"{maker} {response.status}"] += 1
        return response.status == OK
