"""Callers of a site: on kept, new, idle and pipelined connections, or in parts."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from tests.soak.callers import (
    SLOW_READ_RANGE_S,
    CallerConnection,
    MachineCallers,
    RequestSource,
)
from tests.soak.parts import request_in_parts
from tests.soak.planned import CALLER_CLOSED
from tests.soak.records import CalledMachine, SentRequest

KINDS = ["safe", "unsafe", "open"]
LEAVE_RANGE_S = (0.0, 0.3)
"""Seconds after which an early leaver closes its connection."""

IDLE_TIMEOUT_S = 4.0
"""Time for which the set of a site lets connections be idle, seconds."""

IDLE_RANGE = (0.5, 0.8)
"""Part of the idle timeout, 0 to 1, after which callers use a connection again."""

MAX_PART_PAUSE_S = 0.2
"""Longest pause between two parts of a request, seconds."""

UPLOAD_RANGE = (1024 * 1024, 7 * 1024 * 1024)
SHORT_BODY_RANGE = (1, 20_000)
UPLOAD_PAUSE_S = 3.0
"""Mean time between two uploads of one caller, seconds."""


@dataclass(frozen=True)
class CallerCounts:
    """Callers of one machine by what they do; each sends one request at a time."""

    kept: int
    new: int = 1
    slow: int = 1
    leaving: int = 1
    pipelining: int = 1
    idle: int = 2
    in_parts: int = 1
    uploading: int = 1


class SiteCallers(MachineCallers):
    """Callers that send requests to one machine in turn, without pauses."""

    def __init__(
        self,
        machine: CalledMachine,
        source: RequestSource,
        rng: Random,
        on_end: Callable[[SentRequest], None],
    ) -> None:
        super().__init__(machine, source, rng, self._end, 0.0)
        self._check_response = on_end

    async def run_all(self, counts: CallerCounts) -> None:
        """Run callers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(counts.kept):
                group.create_task(self._run_kept(KINDS, 0.0))
            for _ in range(counts.new):
                group.create_task(self._run_new())
            for _ in range(counts.slow):
                group.create_task(self._run_kept(["big"], SLOW_READ_RANGE_S[1]))
            for _ in range(counts.leaving):
                group.create_task(self._run_leaving())
            for _ in range(counts.pipelining):
                group.create_task(self._run_pipelining())
            for _ in range(counts.idle):
                group.create_task(self._run_idle())
            for _ in range(counts.in_parts):
                group.create_task(self._run_in_parts(SHORT_BODY_RANGE, 0.0))
            for _ in range(counts.uploading):
                group.create_task(self._run_in_parts(UPLOAD_RANGE, UPLOAD_PAUSE_S))

    def _end(self, sent: SentRequest) -> None:
        """Check the response; forget its body, since a run has very many of them."""
        self._check_response(sent)
        if sent.response is not None:
            sent.response = replace(sent.response, body=b"")

    async def _run_new(self) -> None:
        """Send each request on a connection of its own."""
        while True:
            connection = await self._connect(None)
            with contextlib.closing(connection):
                await self._exchange(connection, self._rng.choice(KINDS), 0.0)

    async def _run_leaving(self) -> None:
        """Close connections soon after the request, often before the response."""
        while True:
            connection = await self._connect(None)
            with contextlib.closing(connection):
                kind = self._rng.choice(KINDS)
                sent, request = self._source.new(self._machine, kind)
                await connection.write(sent, request)
                await asyncio.sleep(self._rng.uniform(*LEAVE_RANGE_S))
                sent.failure = sent.failure or CALLER_CLOSED
                sent.ended_at = time.monotonic()

    async def _run_idle(self) -> None:
        """Use connections again that have been idle for long."""
        while True:
            connection = await self._connect(None)
            idle_since: float | None = None
            with contextlib.closing(connection):
                while connection.open:
                    kind = self._rng.choice(KINDS)
                    sent, request = self._source.new(self._machine, kind)
                    if idle_since is not None:
                        sent.idle_s = time.monotonic() - idle_since
                    await connection.write(sent, request)
                    await connection.read(sent)
                    self._on_end(sent)
                    idle_since = time.monotonic()
                    idle_s = self._rng.uniform(*IDLE_RANGE) * IDLE_TIMEOUT_S
                    await asyncio.sleep(idle_s)

    async def _run_in_parts(
        self, body_range: tuple[int, int], mean_pause_s: float
    ) -> None:
        """Send requests in parts, those with a body in chunks, too."""
        while True:
            connection = await self._connect(None)
            with contextlib.closing(connection):
                while connection.open:
                    await self._exchange_parts(connection, body_range)
                    await asyncio.sleep(self._rng.random() * 2.0 * mean_pause_s)

    async def _exchange_parts(
        self, connection: CallerConnection, body_range: tuple[int, int]
    ) -> None:
        sent, request = self._source.new(self._machine, self._rng.choice(KINDS))
        if request.body:
            request = replace(request, body=bytes(self._rng.randint(*body_range)))
        sent.body_bytes = len(request.body)
        pause_s = self._rng.uniform(0.0, MAX_PART_PAUSE_S)
        pieces = request_in_parts(request, self._rng)
        await connection.write_pieces(sent, pieces, pause_s)
        await connection.read(sent)
        self._on_end(sent)
