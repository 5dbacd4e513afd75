"""What becomes of calls that a daemon takes and then does not send to its server."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Iterator
from unittest.mock import AsyncMock, patch

from damaskbay.adapters.http1.client import HttpFailure, HttpProblem
from damaskbay.core.call import Response
from damaskbay.mesh.local_server import LocalServer
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite, reserve_address
from tests.mesh.common import Backend, Fleet, run_fleet, wait_until


@contextlib.contextmanager
def _server_that_accepts_nothing(address: PeerAddress) -> Iterator[None]:
    """Listen with a full queue, so that connections are neither made nor refused."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((address.host, address.port))
        listening.listen(0)
        for _ in range(2):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex((address.host, address.port))
        yield


async def _with_one_attempt(fleet: Fleet) -> None:
    """Publish routes whose calls may be sent to one server only."""
    await fleet.publish(NumAttempts=1)
    for node in fleet.nodes.values():
        await wait_until(
            lambda node=node: node.daemon.configuration.version == fleet.version  # type: ignore[misc]
        )
    await fleet.wait_until_connected()


# Guards against 502 for an unsafe request that no server has seen: it is taken for sent
# while its connection is still being made.
def test_a_call_that_is_interrupted_while_connecting_has_not_run() -> None:
    """The caller may try it again."""

    async def run() -> Response:
        async with contextlib.AsyncExitStack() as stack:
            address = reserve_address()
            stack.enter_context(_server_that_accepts_nothing(address))
            fleet = Fleet(stack)
            await fleet.start()
            fleet.service = {"HealthCheckPath": ""}
            await fleet.publish()
            node = await fleet.add_daemon("a", Backend("one", "i-a", address))
            await node.send_heartbeat()
            requesting = asyncio.create_task(node.request("/unsafe/x", method="POST"))
            await wait_until(lambda: node.daemon._gate.running == 1)
            node.daemon._target.interrupt()
            return await requesting

    response = asyncio.run(run())
    assert response.status == 503, response


# Guards against 503 for a request that another server takes: the first one might not be
# sent calls any more once the connection was made, but the call counted as sent.
def test_a_call_that_may_not_be_sent_any_more_goes_to_another_server() -> None:
    """It has used none of its attempts."""

    async def run() -> None:
        async with run_fleet(a="one", b="two", c="one") as fleet:
            await _with_one_attempt(fleet)
            answers = iter([True, False])
            may_send = patch.object(
                LocalServer, "may_send", side_effect=lambda _now: next(answers, True)
            )
            with may_send:
                response = await fleet.nodes["b"].request("/unsafe/x", method="POST")
            assert response.status == 200, response
            seen = [len(fleet.nodes[name].backend.seen) for name in ("a", "c")]
            assert sorted(seen) == [0, 1], seen

    asyncio.run(run())


# Guards against 503 for requests that other servers take: the daemon beside one of them
# has just started and doesn't know its server yet.
def test_a_call_to_a_starting_daemon_goes_to_another_server() -> None:
    """Its peers learn of the start after they have sent calls to it."""

    async def run() -> None:
        async with run_fleet(a="one", b="two", c="one") as fleet:
            await _with_one_attempt(fleet)
            fleet.nodes["a"].daemon.local.state = ServerState.STARTING
            sender = fleet.nodes["b"]
            responses = [
                await sender.request("/unsafe/x", method="POST") for _ in range(6)
            ]
            servers = sender.daemon._directory.servers("one")
            statuses = [response.status for response in responses]
            assert statuses == [200] * 6, (responses, servers)
            assert len(fleet.nodes["c"].backend.seen) == 6

    asyncio.run(run())


# Guards against refusals of all calls for a while since the server, which is reachable,
# closed one new connection.
def test_a_connection_that_the_server_closes_at_once_stops_no_other_call() -> None:
    """The call on it has not run; the next one is served."""

    async def run() -> list[int]:
        async with run_fleet(a="one") as fleet:
            node = fleet.nodes["a"]
            rejected = AsyncMock(return_value=HttpFailure(HttpProblem.REJECTED))
            client = node.daemon._target._parts.calls._parts.client
            with patch.object(client, "send", rejected):
                refused = await node.request("/unsafe/x", method="POST")
            served = await node.request("/unsafe/x", method="POST")
            return [refused.status, served.status]

    assert asyncio.run(run()) == [503, 200]


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
