"""
Pattern: what a request occupied is kept after its end, where nothing counts it.

The garbage collector runs after a number of allocations, however large they are.
"""

import asyncio
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

from damaskbay.adapters.http1.client import HttpClient, HttpClientOptions, HttpFailure
from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request, Response
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite, without_collection

BODY_BYTES = 1024 * 1024
REQUESTS = 8
WAIT_S = 20.0
WAIT_PATH = "/wait"
Send = Callable[[HttpClient, Request], Awaitable[object]]


async def _serve(arrival: ReceivedRequest) -> Response:
    if arrival.request.target == WAIT_PATH:
        await asyncio.sleep(WAIT_S)
    return Response(200, (), bytes(BODY_BYTES))


def _kept_bytes(send: Send, limits: CallerLimits) -> int:
    """Return the bytes that are kept after some requests with large bodies."""

    async def run() -> int:
        async with (
            HttpServer(PeerAddress("127.0.0.1", 0), _serve, limits) as server,
            asyncio.timeout(WAIT_S),
        ):
            client = HttpClient(server.address, HttpClientOptions())
            before = tracemalloc.get_traced_memory()[0]
            for _ in range(REQUESTS):
                await send(client, Request("POST", "a", "/", (), bytes(BODY_BYTES)))
            client.close()
            while server.connections:
                await asyncio.sleep(0.01)
            return tracemalloc.get_traced_memory()[0] - before

    with without_collection():
        return asyncio.run(run())


# A daemon went on to hold the bodies of requests that had ended, uncounted.
def test_connections_of_a_client_keep_no_bodies() -> None:
    """Neither those that idle nor those that are closed."""

    async def send(client: HttpClient, request: Request) -> None:
        response = await client.send(request, fresh=True)
        assert isinstance(response, Response)

    assert _kept_bytes(send, CallerLimits()) < BODY_BYTES


# A body that was refused midway stayed in the traceback of the refusal, in a cycle.
def test_a_body_that_is_refused_is_not_kept() -> None:
    """It is sent in chunks, so that its head doesn't tell its size."""
    chunk = f"{BODY_BYTES:x}\r\n".encode() + bytes(BODY_BYTES) + b"\r\n"

    async def send(client: HttpClient, _: Request) -> None:
        address = client.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        assert (await reader.readline()).startswith(b"HTTP/1.1 413 ")
        writer.close()

    limits = CallerLimits(max_body_bytes=BODY_BYTES - 1)
    assert _kept_bytes(send, limits) < BODY_BYTES


# The task of a request that was cancelled referred to its frames, in a cycle.
def test_a_request_whose_caller_leaves_is_not_kept() -> None:
    """It still runs then."""

    async def send(client: HttpClient, request: Request) -> None:
        waiting = replace(request, target=WAIT_PATH)
        failure = await client.send(waiting, fresh=True, timeout_s=0.1)
        assert isinstance(failure, HttpFailure)

    assert _kept_bytes(send, CallerLimits()) < BODY_BYTES


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
