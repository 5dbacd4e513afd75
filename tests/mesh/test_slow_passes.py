"""Pattern: a stop where each pass of the event loop waits for the processor."""

import asyncio
import contextlib
import time
import unittest
from collections.abc import Iterator
from dataclasses import replace

import uvloop

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request, Response
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite
from tests.mesh.common import run_fleet, wait_until

GRACE_S = 6.0
PASS_S = 0.06
CALLERS = 5
FEW_PASSES = 3


class _Passes:
    """Counts the passes of the running loop; each takes `pass_s` seconds."""

    def __init__(self, pass_s: float) -> None:
        self.count = 0
        self._pass_s = pass_s
        self._handle: asyncio.Handle | None = None

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Count and slow down the passes in the context."""
        self._next()
        try:
            yield
        finally:
            assert self._handle is not None
            self._handle.cancel()

    def _next(self) -> None:
        self.count += 1
        time.sleep(self._pass_s)
        self._handle = asyncio.get_running_loop().call_soon(self._next)


# Guards against requests cut by the kill: a stop took some ninety passes at its end.
def test_a_stop_ends_within_its_grace_time_though_each_pass_is_slow() -> None:
    """And every caller gets a response, though its server never answers."""

    async def run() -> tuple[float, list[int]]:
        async def stay(_: Request) -> Response | None:
            await asyncio.Event().wait()
            return None

        async with run_fleet(a="one", b="one") as fleet:
            node = fleet.nodes["a"]
            await fleet.publish(Timeout=f"{2 * GRACE_S}s")
            for other in fleet.nodes.values():
                other.backend.override_response = stay
                configuration = other.daemon.configuration
                await wait_until(
                    lambda known=configuration: known.version == fleet.version  # type: ignore[misc]
                )
            node.daemon.settings = replace(node.daemon.settings, grace_s=GRACE_S)
            calls = [
                asyncio.create_task(
                    node.request("/safe/x", deadline_ms=int(2000 * GRACE_S))
                )
                for _ in range(CALLERS)
            ]
            seen = [other.backend.seen for other in fleet.nodes.values()]
            await wait_until(lambda: sum(map(len, seen)) >= CALLERS)
            ends: list[float] = []
            node.run_task.add_done_callback(lambda _: ends.append(time.monotonic()))
            with _Passes(PASS_S).running():
                node.daemon.stop()
                began_at = time.monotonic()
                await asyncio.wait([node.run_task])
            took_s = ends[0] - began_at
            responses = await asyncio.gather(*calls)
            return took_s, [response.status for response in responses]

    took_s, statuses = uvloop.run(run())
    assert took_s < GRACE_S, (took_s, statuses)
    assert len(statuses) == CALLERS and set(statuses) <= {502, 504}, statuses


# The close of each listener took sixteen passes, one listener after the other.
def test_the_close_of_a_server_without_callers_takes_few_passes() -> None:
    """Also after it has served one."""

    async def run() -> int:
        async def answer(_: ReceivedRequest) -> Response:
            return Response(200)

        passes = _Passes(0.0)
        address = PeerAddress("127.0.0.1", 0)
        async with HttpServer(address, answer, CallerLimits()) as server:
            _, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            writer.close()
            await writer.wait_closed()
            await wait_until(lambda: not server.connections)
            with passes.running():
                await server.close()
        return passes.count

    for runner in (asyncio.run, uvloop.run):
        count = runner(run())
        assert count <= FEW_PASSES, count


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
