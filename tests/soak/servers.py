"""Backend server of the soak: realistic service times and nested calls."""

import asyncio
import time
from dataclasses import dataclass, replace
from random import Random
from types import TracebackType
from typing import Self

from damaskbay.adapters.http1.client import (
    HttpClient,
    HttpClientOptions,
    HttpFailure,
    HttpProblem,
)
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Headers, Request, Response
from damaskbay.mesh.running import SEPARATOR
from damaskbay.ports.peer import PeerAddress
from tests.mesh.common import HEALTH_PATH, HOST
from tests.soak.limits import ColdRecord, LimitRecord
from tests.soak.planned import OVERDUE_S
from tests.soak.records import Execution, ExecutionLog, SentRequest

HOST_HEADER = "a.example"
QUICK_TARGET = "/safe/quick"
"""Target of requests that every server answers at once."""

LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
BIG_PREFIX = "/big/"
BIG_BODY_BYTES = 2 * 1024 * 1024
MEAN_SHORT_S = 0.02
LONG_RANGE_S = (0.5, 2.4)


@dataclass(frozen=True)
class NestedCalls:
    """Calls that a `share` of requests, 0 to 1, make: 1 to `most`, each in turn."""

    target: str = "/open/nested"
    share: float = 0.25
    most: int = 2


@dataclass(frozen=True)
class ServerOptions:
    """
    Options of a backend server.

    `long_share` is the part of requests, 0 to 1, that take a time of LONG_RANGE_S.
    `nested` calls, None for none, go over the daemon at `daemon`. With
    `service_range_s`, requests take a time of that range, small ones more often; with
    `body_range`, their responses have so many bytes, the big ones as many as
    `big_range` says. The server listens on `port`, 0 for any.
    """

    machine: str
    pool: str
    daemon: PeerAddress
    long_share: float
    nested: NestedCalls | None
    service_range_s: tuple[float, float] | None = None
    body_range: tuple[int, int] | None = None
    big_range: tuple[int, int] = (BIG_BODY_BYTES, BIG_BODY_BYTES)
    port: int = 0


class SoakServer:
    """
    Backend server of one machine; an async context manager.

    `server` is its id, `slow_until` the end of a phase in which every request takes
    long. `limits` holds the limits that it names, `cold` its cold phases. While
    `leaving`, its responses say so, or just its health check if it `leaves_quietly`.
    `nested` holds the calls that it made over its own daemon.
    """

    def __init__(
        self, options: ServerOptions, executions: ExecutionLog, rng: Random
    ) -> None:
        self.server = f"i-{options.machine}-1"
        self.slow_until = 0.0
        self.limits = LimitRecord()
        self.cold = ColdRecord()
        self.leaving = self.leaves_quietly = False
        self.nested: list[SentRequest] = []
        self._options = options
        self._executions = executions
        self._rng = rng
        self._listener = HttpServer(
            PeerAddress(HOST, options.port), self._serve, CallerLimits()
        )
        self._daemon = HttpClient(options.daemon, HttpClientOptions())

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._daemon.close()
        await self._listener.__aexit__(exc_type, exc, traceback)

    def reset_all(self) -> None:
        """Stop listening and reset all connections, as a process that is killed."""
        self._listener.stop_listening()
        for connection in tuple(self._listener.connections):
            if connection._transport is not None:
                connection._transport.abort()

    @property
    def address(self) -> PeerAddress:
        """Return the address at which the server listens."""
        return self._listener.address

    async def _serve(self, arrival: ReceivedRequest) -> Response:
        """Serve a call; the body names the request and the server."""
        request = arrival.request
        if request.target == HEALTH_PATH:
            self.cold.arrivals.append(time.monotonic())
            status = 503 if self.leaving else 200
            cold = ("X-Cold-Ms", str(self.cold.left_ms()))
            own = (("X-Instance-Id", self.server), cold, *self._notices())
            return Response(status, own)
        headers = {name.lower(): value for name, value in request.headers}
        request_id, server = headers["x-request-id"], self.server
        id_header: Headers = (("X-Request-Id", request_id),)
        if headers.get("x-expect-instance") != server:
            return Response(421, id_header)
        self.limits.arrivals.append(time.monotonic())
        self.cold.arrivals.append(time.monotonic())
        execution = Execution(
            server,
            self._options.machine,
            time.monotonic(),
            headers,
            request.method,
            len(request.body),
        )
        self._executions.executions.setdefault(request_id, []).append(execution)
        try:
            status = await self._execute(request, headers)
            execution.status = status
        finally:
            execution.ended_at = time.monotonic()
        body = f"{request_id} {server} ".encode()
        if request.target.startswith(BIG_PREFIX) and status == 200:
            body = body.ljust(self._rng.randint(*self._options.big_range), b".")
        elif self._options.body_range is not None:
            body = body.ljust(self._rng.randint(*self._options.body_range), b".")
        stamp = f"{request_id}{SEPARATOR}{server}{SEPARATOR}{len(body)}"
        own = (*id_header, ("X-Server-Stamp", stamp), *self._notices())
        return Response(status, own, body)

    def _notices(self) -> Headers:
        """Return the headers in which the server speaks of itself."""
        notices: Headers = ()
        limit = self.limits.name_limit(time.monotonic())
        if limit is not None:
            notices = ((LIMIT_HEADER, f"{limit:g}"),)
        names_leaving = self.leaving and not self.leaves_quietly
        return (*notices, (LEAVING_HEADER, "1")) if names_leaving else notices

    async def _execute(self, request: Request, headers: dict[str, str]) -> int:
        """Run a request and return the status: 504 at its time limit."""
        ends_at = time.monotonic() + int(headers["x-deadline-ms"]) / 1000.0
        service_s = self._service_s(request.target)
        calls_first_s = self._rng.random() * service_s
        try:
            async with asyncio.timeout(ends_at - time.monotonic()):
                await asyncio.sleep(calls_first_s)
                request_id = headers["x-request-id"]
                if not await self._make_nested_calls(request, request_id, ends_at):
                    return 500
                await asyncio.sleep(service_s - calls_first_s)
        except TimeoutError:
            return 504
        return 200

    def _service_s(self, target: str) -> float:
        if target == QUICK_TARGET:
            return 0.01
        is_slow = time.monotonic() < self.slow_until
        if is_slow or self._rng.random() < self._options.long_share:
            return self._rng.uniform(*LONG_RANGE_S)
        if self._options.service_range_s is not None:
            least_s, most_s = self._options.service_range_s
            return float(least_s * (most_s / least_s) ** self._rng.random())
        return self._rng.expovariate(1.0 / MEAN_SHORT_S)

    async def _make_nested_calls(
        self, request: Request, request_id: str, ends_at: float
    ) -> bool:
        """Make the calls of a request; return whether all succeeded."""
        nested = self._options.nested
        if (
            nested is None
            or request.target == QUICK_TARGET
            or self._rng.random() >= nested.share
        ):
            return True
        run = len(self._executions.of_request(request_id))
        for number in range(self._rng.randint(1, nested.most)):
            # A request that runs again makes calls of its own, with ids of their own.
            nested_id = f"{request_id}{SEPARATOR}{10 * run + number}"
            if not await self._make_nested_call(nested_id, nested.target, ends_at):
                return False
        return True

    async def _make_nested_call(
        self, nested_id: str, target: str, ends_at: float
    ) -> bool:
        """Make one call over the own daemon; return whether it succeeded."""
        limit_s = ends_at - time.monotonic()
        sent = SentRequest(
            nested_id,
            "nested",
            None,
            self._options.pool,
            self._options.machine,
            limit_s,
        )
        headers: Headers = (
            ("X-Request-Id", nested_id),
            ("X-Deadline-Ms", str(max(1, int(limit_s * 1000.0)))),
        )
        self.nested.append(sent)
        response = await self._daemon.send(
            Request("GET", HOST_HEADER, target, headers),
            fresh=self._rng.random() < 0.5,
            timeout_s=limit_s + OVERDUE_S,
        )
        sent.ended_at = time.monotonic()
        if isinstance(response, HttpFailure):
            sent.failure = f"{response.problem.value}: {response.detail}"
            if response.problem is not HttpProblem.NOT_SENT:
                sent.last_byte_at = sent.sent_at
            return False
        sent.last_byte_at = sent.sent_at
        sent.response = replace(response, body=b"")
        return response.status == 200
