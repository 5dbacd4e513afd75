"""Callers of a site: many on kept and new connections, slow readers, early leavers."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from tests.soak.callers import (
    SLOW_READ_RANGE_S,
    MachineCallers,
    RequestSource,
)
from tests.soak.planned import CALLER_CLOSED
from tests.soak.records import CalledMachine, SentRequest

KINDS = ["safe", "unsafe", "open"]
LEAVE_RANGE_S = (0.0, 0.3)
"""Seconds after which an early leaver closes its connection."""


@dataclass(frozen=True)
class CallerCounts:
    """Callers of one machine by what they do; each sends one request at a time."""

    kept: int
    new: int = 1
    slow: int = 1
    leaving: int = 1


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
