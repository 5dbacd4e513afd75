"""Requests that end their servers, and requests that only run beside them."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator
from typing import cast

from damaskbay.core.call import CallResult, Request
from damaskbay.core.fatal_calls import (
    MAX_ENDS,
    REMEMBERED_S,
    SERVED_LATELY_S,
    FatalCalls,
    digest_of_request,
    refusal_of_fatal_call,
)
from damaskbay.core.retry.const import RETRYABLE_REASONS
from damaskbay.core.routing import FailureKind
from damaskbay.mesh.dispatch import _failure_kind
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite, reserve_address
from tests.mesh.common import Backend, Fleet

DEADLY = "/safe/deadly"
SERVERS = 4
OTHER_POOL = "other"
ROUNDS = 12
RESTART_S = 0.1
REQUEST = Request("GET", "a.example", DEADLY, (), b"")
DIGESTS = (digest_of_request(REQUEST),)


class _CrashingServer:
    """Ends when it gets a deadly request, and starts again after RESTART_S."""

    def __init__(self, name: str, address: PeerAddress) -> None:
        self.backend = Backend("one", name, address)
        self.ends = 0
        self._transports: set[asyncio.Transport] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        address = self.backend.address
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), address.host, address.port
        )

    def stop(self) -> None:
        """End at once, with all connections."""
        if self._listener is not None:
            self._listener.close()
        for transport in tuple(self._transports):
            transport.abort()

    def connected(self, transport: asyncio.Transport) -> None:
        """Remember a connection, to end it with the server."""
        self._transports.add(transport)

    def crash(self) -> None:
        """End, and start again later."""
        self.ends += 1
        self.stop()
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, lambda: loop.create_task(self.start()))


class _Connection(asyncio.Protocol):
    """Connection to a crashing server."""

    def __init__(self, server: _CrashingServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)
        self._server.connected(self._transport)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        lines = data.decode().split("\r\n")
        if lines[0].split()[1] == DEADLY:
            self._server.crash()
            return
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        request_id = headers.get("X-Request-Id", "")
        head = f"X-Request-Id: {request_id}\r\nX-Server-Stamp: s\r\n"
        answer = f"HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n"
        self._transport.write(answer.encode())


@contextlib.asynccontextmanager
async def _crashing_servers() -> AsyncIterator[tuple[Fleet, list[_CrashingServer]]]:
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.start()
        await fleet.publish()
        servers = []
        for number in range(SERVERS):
            server = _CrashingServer(f"i-{number}", reserve_address())
            servers.append(server)
            await server.start()
            stack.callback(server.stop)
            node = await fleet.add_daemon(f"m{number}", server.backend)
            await node.send_heartbeat()
        await fleet.add(OTHER_POOL, "two")
        await fleet.wait_until_connected()
        yield fleet, servers


# Guards against BUDGET: callers that came back ended all servers again and again.
def test_a_request_that_ends_its_servers_is_soon_sent_no_more() -> None:
    """Whichever daemon callers ask; other requests are served."""

    async def run() -> None:
        async with _crashing_servers() as (fleet, servers):
            statuses = []
            for number in range(ROUNDS):
                node = fleet.nodes[f"m{number % SERVERS}"]
                statuses.append((await node.request(DEADLY)).status)
                await asyncio.sleep(2.0 * RESTART_S)
            ends = sum(server.ends for server in servers)
            assert MAX_ENDS <= ends <= MAX_ENDS + 1, ends
            assert statuses[-SERVERS:] == SERVERS * [503]
            for node in fleet.nodes.values():
                assert (await node.request("/safe/other")).status == 200
            # Only the daemons beside the pool's servers need to know.
            other = fleet.nodes[OTHER_POOL]
            assert not other.daemon._fatal_calls._ends_by_digest

    asyncio.run(run())


def test_a_request_that_is_served_is_not_blocked() -> None:
    """It only ran beside the one that ended the servers, before or after."""
    calls = FatalCalls()
    for number in range(MAX_ENDS - 1):
        assert calls.record_end(DIGESTS, float(number)) == DIGESTS
    calls.record_served(REQUEST, 5.0)
    for number in range(MAX_ENDS):
        assert not calls.record_end(DIGESTS, 5.0 + number)
    assert not calls.blocked_s(REQUEST, 6.0 + MAX_ENDS)
    late = 5.0 + 2.0 * SERVED_LATELY_S
    assert calls.record_end(DIGESTS, late) == DIGESTS


# A sound server that refused a blocked request was avoided as one that had failed.
def test_the_refusal_of_a_blocked_request_says_nothing_against_the_server() -> None:
    """It counts neither as unreachable nor is another server tried."""
    calls = FatalCalls()
    for number in range(MAX_ENDS):
        calls.record_end(DIGESTS, float(number))
    refusal = refusal_of_fatal_call(calls, REQUEST, float(MAX_ENDS))
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason not in RETRYABLE_REASONS
    result = CallResult(refusal, attempts=0)
    assert _failure_kind(result) is FailureKind.REFUSED


def test_a_request_may_be_sent_again_after_its_time() -> None:
    """Only the same request is blocked, and not for good."""
    calls = FatalCalls()
    for number in range(MAX_ENDS):
        calls.record_end(DIGESTS, float(number))
    last_at = float(MAX_ENDS - 1)
    assert calls.blocked_s(REQUEST, last_at + 1.0) == REMEMBERED_S - 1.0
    assert not calls.blocked_s(Request("GET", "a.example", "/safe/x"), last_at)
    assert not calls.blocked_s(REQUEST, last_at + REMEMBERED_S + 1.0)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
