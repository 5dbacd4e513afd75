"""
Pattern: something that a listener needs is missing for a while.

It accepts again afterwards, and callers that wait meanwhile are served.
"""

import asyncio
import contextlib
import os
import resource
import socket
import unittest
from collections.abc import AsyncIterator, Iterator
from typing import cast
from unittest.mock import Mock, patch

import uvloop

from damaskbay.adapters.http1.server import HttpServer, ReceivedRequest
from damaskbay.adapters.http1.sockets import Listener
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress
from tests.common import function_suite

ADDRESS = PeerAddress("127.0.0.1", 0)
GREETING = b"hello"
WAIT_S = 20.0
MISSING_S = 0.3


class _Greeter(asyncio.Protocol):
    """Greets a caller, and keeps the connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.WriteTransport", transport)
        self.transport.write(GREETING)


class _Listening:
    """A listener, and the protocols that it has created."""

    def __init__(self) -> None:
        self.failures: list[Exception] = []
        self.protocols: list[asyncio.Protocol] = []
        self.listener = Listener(self._make_protocol)
        self.address = ADDRESS

    def _make_protocol(self) -> asyncio.Protocol:
        if self.failures:
            raise self.failures.pop()
        self.protocols.append(_Greeter())
        return self.protocols[-1]

    def connect(self, caller: socket.socket) -> None:
        """Connect a caller; the kernel does it without the listener."""
        caller.connect((self.address.host, self.address.port))
        caller.setblocking(False)


async def _read(caller: socket.socket) -> bytes:
    return await asyncio.get_running_loop().sock_recv(caller, len(GREETING))


@contextlib.asynccontextmanager
async def _listening() -> AsyncIterator[_Listening]:
    listening = _Listening()
    listening.address = await listening.listener.open(ADDRESS)
    try:
        async with asyncio.timeout(WAIT_S):
            yield listening
    finally:
        listening.listener.close()


@contextlib.contextmanager
def _without_descriptors() -> Iterator[None]:
    """Let this process open no further descriptors."""
    lowest = os.dup(0)
    os.close(lowest)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# libuv closed the callers for whom there was no descriptor, unread.
def test_a_caller_waits_while_there_is_no_descriptor() -> None:
    """It is served as soon as there is one."""

    async def run() -> None:
        async with _listening() as listening:
            with socket.socket() as caller:
                with _without_descriptors():
                    listening.connect(caller)
                    await asyncio.sleep(MISSING_S)
                    assert not listening.protocols
                assert await _read(caller) == GREETING

    uvloop.run(run())


# uvloop closed a listener for good after an exception, and the process lived on.
def test_a_listener_accepts_again_after_a_failure() -> None:
    """Memory is missing for the protocol of one connection."""

    async def run() -> None:
        async with _listening() as listening:
            listening.failures.append(MemoryError())
            with socket.socket() as unlucky, socket.socket() as caller:
                listening.connect(unlucky)
                assert not await _read(unlucky)
                listening.connect(caller)
                assert await _read(caller) == GREETING

    uvloop.run(run())


# A pause without a descriptor went on accepting; a resume without one was the last.
def test_a_listener_pauses_and_resumes_without_a_descriptor() -> None:
    """The caller that waits is served after the resume."""

    async def run() -> None:
        async with _listening() as listening:
            with socket.socket() as caller:
                with _without_descriptors():
                    listening.listener.pause()
                    await asyncio.sleep(0.01)
                listening.connect(caller)
                await asyncio.sleep(MISSING_S)
                assert not listening.protocols
                with _without_descriptors():
                    listening.listener.resume()
                    await asyncio.sleep(0.01)
                assert await _read(caller) == GREETING

    uvloop.run(run())


# A listener that found no memory for its next attempt made no further one.
def test_a_server_accepts_again_though_there_was_no_memory_for_a_timer() -> None:
    """It was to resume, and is not told to do so again."""

    async def respond(_: ReceivedRequest) -> Response:
        return Response(200)

    async def run() -> None:
        server = HttpServer(ADDRESS, respond, CallerLimits())
        async with asyncio.timeout(WAIT_S), server:
            server._listener.pause()
            loop = Mock()
            loop.add_reader.side_effect = loop.call_later.side_effect = MemoryError
            with patch.object(asyncio, "get_running_loop", return_value=loop):
                server._listener.resume()
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port
            )
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
            writer.close()

    uvloop.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
