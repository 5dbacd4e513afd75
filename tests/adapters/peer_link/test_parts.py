"""Long requests and replies between daemons, which are sent in parts."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import uvloop

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.peer_link.const import MAX_FRAME_BYTES
from damaskbay.adapters.peer_link.parts import Payload
from damaskbay.core.call import Request
from damaskbay.core.memory_account import (
    BODY_COPIES,
    HEADER_BYTES,
    Holding,
    MemoryAccount,
)
from damaskbay.mesh.messages import ConfigReply, ConfigRequest, PeerStatus
from damaskbay.ports.peer import PeerFailure, PeerProblem
from tests.common import function_suite, reserve_address

WAIT_S = 20.0
LONG = bytes(2 * MAX_FRAME_BYTES)
MEMORY_BYTES = 4 * BODY_COPIES * len(LONG)


class _Daemon:
    """Replies to a request for a version with a long document, else with no one."""

    def __init__(self, *, takes_parts: bool = True) -> None:
        self.address = reserve_address()
        self.memory = MemoryAccount(MEMORY_BYTES)
        self.received_bytes: list[int] = []
        status = PeerStatus(0, 0, 0, 0) if takes_parts else None
        self.links = PeerLinks(
            self.address,
            on_links_change=lambda: None,
            on_request=self._request,
            on_note=lambda _note: None,
            note=lambda: ConfigRequest(0),
            status=lambda: status,
            memory=self.memory,
        )

    async def _request(self, message: Any) -> Any:
        if isinstance(message, ConfigReply):
            self.received_bytes.append(len(message.document))
            return ConfigReply(message.version, b"", None)
        return ConfigReply(message.newer_than, LONG, None)

    def occupy(self, left_bytes: int) -> None:
        """Hold all memory but so many bytes."""
        Holding(self.memory).set(self.memory.limit_bytes - left_bytes)

    async def connect(self, other: "_Daemon") -> None:
        self.links.set_wanted_links(frozenset({other.address}))
        while not self.links.up(other.address):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)

    async def send(self, other: "_Daemon", message: Any) -> Any:
        return await self.links.request(other.address, message, timeout_s=WAIT_S)


Check = Callable[[_Daemon, _Daemon], Awaitable[None]]
SHORT_REQUEST = ConfigReply(1, b"", None)
LONG_REQUEST = ConfigReply(2, LONG, None)


def _run(
    check: Check,
    runner: Callable[[Coroutine[Any, Any, None]], None] = asyncio.run,
    *,
    takes_parts: bool = True,
) -> None:
    async def run() -> None:
        one, two = _Daemon(), _Daemon(takes_parts=takes_parts)
        async with one.links, two.links, asyncio.timeout(WAIT_S):
            await one.connect(two)
            await check(one, two)

    runner(run())


async def _until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.01)


# A request body above 17 MiB closed the link and cut off all calls on it.
def test_a_request_and_a_reply_of_any_length_arrive() -> None:
    """They pass between other messages, and their memory is free again."""

    async def check(one: _Daemon, two: _Daemon) -> None:
        long_request = asyncio.create_task(one.send(two, LONG_REQUEST))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert await one.send(two, SHORT_REQUEST) == ConfigReply(1, b"", None)
        assert await long_request == ConfigReply(2, b"", None)
        assert two.received_bytes == [0, len(LONG)]
        reply = await one.send(two, ConfigRequest(3))
        assert reply == ConfigReply(3, LONG, None)
        await _until(lambda: one.memory.held_bytes + two.memory.held_bytes == 0)

    _run(check)
    _run(check, uvloop.run)


def test_a_request_without_memory_is_refused_and_the_link_stays() -> None:
    """Its sender learns that it was not handled; other requests are served."""

    async def check(one: _Daemon, two: _Daemon) -> None:
        two.occupy(len(LONG))
        reply = await one.send(two, LONG_REQUEST)
        assert isinstance(reply, PeerFailure)
        assert reply.problem is PeerProblem.REJECTED
        assert await one.send(two, SHORT_REQUEST) == ConfigReply(1, b"", None)
        assert two.received_bytes == [0]
        await _until(lambda: two.memory.held_bytes == MEMORY_BYTES - len(LONG))

    _run(check)


def test_a_reply_without_memory_is_given_up_and_the_link_stays() -> None:
    """The request may have run, so its outcome is unknown."""

    async def check(one: _Daemon, two: _Daemon) -> None:
        one.occupy(len(LONG))
        reply = await one.send(two, ConfigRequest(3))
        assert isinstance(reply, PeerFailure)
        assert reply.problem is PeerProblem.LOST
        assert await one.send(two, SHORT_REQUEST) == ConfigReply(1, b"", None)
        await _until(lambda: two.memory.held_bytes == 0)

    _run(check)


def test_a_cancelled_long_request_frees_its_memory() -> None:
    """The peer forgets the parts that it has received."""

    async def check(one: _Daemon, two: _Daemon) -> None:
        sending = asyncio.create_task(one.send(two, LONG_REQUEST))
        await _until(lambda: two.memory.held_bytes > 0)
        sending.cancel()
        await _until(lambda: two.memory.held_bytes == 0)
        assert not two.received_bytes

    _run(check)


def test_a_closing_link_sends_a_long_reply_to_its_end() -> None:
    """A reply that is being sent in parts is not cut by a graceful stop."""

    async def check(one: _Daemon, two: _Daemon) -> None:
        reply = asyncio.create_task(one.send(two, ConfigRequest(3)))
        await _until(lambda: one.memory.held_bytes > 0)
        await two.links.close(timeout_s=WAIT_S)
        assert await reply == ConfigReply(3, LONG, None)

    _run(check)


def test_a_peer_that_takes_no_parts_gets_no_longer_frame_than_it_reads() -> None:
    """A daemon of an earlier version would close the link."""

    async def check(one: _Daemon, two: _Daemon) -> None:
        reply = await one.send(two, LONG_REQUEST)
        assert isinstance(reply, PeerFailure)
        assert reply.problem is PeerProblem.NOT_SENT
        half = ConfigReply(4, LONG[: MAX_FRAME_BYTES // 2], None)
        assert await one.send(two, half) == ConfigReply(4, b"", None)

    _run(check, takes_parts=False)


# A request of 16 KB with 4,000 headers was counted as a fourteenth of what it takes.
def test_the_headers_of_a_request_are_counted() -> None:
    """Very many are refused if there is no memory for them; a few never are."""
    account = MemoryAccount(1024 * 1024)

    def takes(headers: int) -> bool:
        payload = Payload(Holding(account), b"x")
        return payload.hold_headers(Request("GET", "a", "/", (("a", ""),) * headers))

    assert takes(4000)
    assert account.held_bytes > 4000 * HEADER_BYTES
    held_bytes = account.held_bytes
    assert not takes(4000)
    assert account.held_bytes == held_bytes
    assert takes(10)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
