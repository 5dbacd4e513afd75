"""Pattern: a daemon whose loop is late while its server has sent a response."""

import asyncio
import contextlib
import socket
import time
import unittest

import uvloop

from damaskbay.mesh.server_ends import PROBE_TIMEOUT_S
from tests.common import block_loop, function_suite, reserve_address
from tests.mesh.common import Backend, Fleet

WAIT_S = 10.0


# Guards against 502 at the end of a stop for a call that the server has answered.
def test_a_response_that_has_arrived_is_returned_at_an_interruption() -> None:
    """The daemon interrupts its calls before the loop reads the response."""

    async def run() -> int:
        address = reserve_address()
        async with contextlib.AsyncExitStack() as stack:
            listening = stack.enter_context(
                socket.create_server((address.host, address.port))
            )
            listening.settimeout(WAIT_S)
            fleet = Fleet(stack)
            await fleet.start()
            # The server below answers no health check.
            fleet.service = {"HealthCheckPath": ""}
            await fleet.publish()
            node = await fleet.add_daemon("a", Backend("one", "i-a", address))
            await node.send_heartbeat()
            requesting = asyncio.create_task(node.request("/safe/x"))
            server, _address = await asyncio.to_thread(listening.accept)
            stack.enter_context(server)
            lines = (await asyncio.to_thread(server.recv, 4096)).split(b"\r\n")
            request_id = next(line for line in lines if b"X-Request-Id" in line)

            def respond_and_interrupt() -> None:
                head = request_id + b"\r\nX-Server-Stamp: s\r\nContent-Length: 0"
                server.sendall(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n")
                node.daemon._target.interrupt()

            await block_loop(respond_and_interrupt)
            return (await requesting).status

    assert uvloop.run(run()) == 200


# Guards against calls that go on to end servers: the end of this one was overlooked.
def test_a_server_that_has_ended_is_noticed_by_a_late_loop() -> None:
    """The loop is blocked until the time of the probe has passed."""

    async def run() -> bool:
        async with contextlib.AsyncExitStack() as stack:
            fleet = Fleet(stack)
            await fleet.start()
            await fleet.publish()
            backend = Backend("one", "i-a", reserve_address())
            node = await fleet.add_daemon("a", backend)
            server_ends = node.daemon._target._parts.calls._parts.server_ends
            probing = asyncio.create_task(server_ends._listens())
            await asyncio.sleep(0)
            time.sleep(2 * PROBE_TIMEOUT_S)
            return await probing

    assert not uvloop.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
