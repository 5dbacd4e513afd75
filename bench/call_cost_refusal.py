"""
Measure the processor time of an early refusal from its bytes to its response.

A daemon runs in this process and serves a connection without a socket. The kernel's
part and that of other daemons are left out, so other work on the machine shows less
than in `call_cost`.
"""

import asyncio
import contextlib
import io
import time
from collections.abc import Sequence
from random import Random
from statistics import median
from typing import Any, cast

import uvloop

from bench.call_cost_fleet import HOST_HEADER, request_headers
from bench.common import finish, parser
from damaskbay.adapters.http1.client import encode_request
from damaskbay.adapters.http1.server_connection import ServerConnection
from damaskbay.core.call import Request
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.logs import set_up_queued_logging
from damaskbay.mesh.app import MeshDaemon
from damaskbay.platform.daemon import LOG_LINES_PER_S
from tests.mesh.common import Fleet

BLOCKS = 200
QUICK_BLOCKS = 3
REQUESTS_PER_BLOCK = 100
RATE_PER_S = 1_000_000
PATH = "/safe/x"
US_PER_S = 1e6


class _NeverPasses(Random):
    """Source of random numbers by which each request is refused."""

    def random(self) -> float:
        return 0.999


class _Transport(asyncio.Transport):
    """Transport that counts the responses, and those that are no refusals."""

    def __init__(self) -> None:
        super().__init__()
        self.written = self.others = 0

    def write(self, data: Any) -> None:
        """Count a response."""
        self.written += 1
        self.others += not data.startswith(b"HTTP/1.1 503")

    def get_write_buffer_size(self) -> int:
        """Return 0: the kernel takes all."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the transport is closing."""
        return False


def main(arguments: Sequence[str]) -> int:
    """Print the processor time of a refusal."""
    options = parser(__doc__ or "").parse_args(arguments)
    _, writer = set_up_queued_logging(
        level="INFO", lines_per_s=LOG_LINES_PER_S, stream=io.StringIO()
    )
    blocks = QUICK_BLOCKS if options.quick else BLOCKS
    taken_us = uvloop.run(_measure(blocks, options.seed))
    writer.stop()
    result = {
        "least_us": round(min(taken_us), 2),
        "median_us": round(median(taken_us), 2),
        "blocks": blocks,
        "requests_per_block": REQUESTS_PER_BLOCK,
    }
    return finish("call_cost_refusal", result, options)


async def _measure(blocks: int, seed: int) -> list[float]:
    """Return the processor time of a request in each block, in microseconds."""
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.start()
        await fleet.publish(rate=RATE_PER_S)
        daemon = (await fleet.add("n1", "one")).daemon
        parts = daemon._ingress._parts
        parts.admission._rng = _NeverPasses(seed)
        transport = _Transport()
        connection = ServerConnection(daemon._callers)
        connection._transport = cast("asyncio.Transport", transport)
        taken_us = []
        for number in range(blocks):
            for route in _routes(daemon):
                parts.trees.levels.record_level(route, 0, monotonic_s())
            taken_us.append(await _run_block(connection, transport, number))
        connection._transport = None
        return taken_us


def _routes(daemon: MeshDaemon) -> tuple[str, ...]:
    config = daemon.configuration.config
    return tuple(config.routes_by_name) if config is not None else ()


async def _run_block(
    connection: ServerConnection, transport: _Transport, block: int
) -> float:
    requests = [
        encode_request(
            Request("GET", HOST_HEADER, PATH, request_headers(f"q{block}-{n}", "k1"))
        )
        for n in range(REQUESTS_PER_BLOCK)
    ]
    started_s = time.thread_time()
    for request in requests:
        expected = transport.written + 1
        connection.data_received(request)
        while transport.written < expected:
            await asyncio.sleep(0)
    taken_s = time.thread_time() - started_s
    if transport.others:
        raise RuntimeError(f"{transport.others} requests were not refused")
    return US_PER_S * taken_s / len(requests)
