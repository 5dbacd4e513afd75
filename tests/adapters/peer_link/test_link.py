"""Tests of links between daemons over real sockets."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from damaskbay.adapters.peer_link.const import LINK_TIMEOUT_S, NOTE_INTERVAL_S
from damaskbay.mesh.messages import ConfigReply, ConfigRequest
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerProblem
from tests.adapters.peer_link.common import (
    NEVER,
    SLOW,
    STAGGER_S,
    STAGGERED,
    WAIT_S,
    LinkedDaemon,
    run_pair,
)
from tests.common import call_once_connected, function_suite


def test_many_requests_share_a_link() -> None:
    """Each request gets its own reply."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        requests = [
            one.links.request(two.address, ConfigRequest(number), timeout_s=WAIT_S)
            for number in range(50)
        ]
        replies = await asyncio.gather(*requests)
        assert [reply.version for reply in replies] == list(range(50))

    run_pair(check)


def test_a_cancelled_request_is_cancelled_at_the_peer() -> None:
    """Cancelling a request cancels its handler, so that it does no useless work."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        task = asyncio.create_task(
            one.links.request(two.address, ConfigRequest(99), timeout_s=WAIT_S)
        )
        await asyncio.sleep(0.05)
        task.cancel()
        while not two.cancelled:
            await asyncio.sleep(0.01)

    run_pair(check)


def test_a_lost_link_fails_what_waits_and_cancels_what_runs() -> None:
    """A request on a closed link may have run: it fails as LOST, not as NOT_SENT."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        task = asyncio.create_task(
            one.links.request(two.address, ConfigRequest(99), timeout_s=WAIT_S)
        )
        await asyncio.sleep(0.05)
        one.link_to(two).abort()
        failure = await task
        assert isinstance(failure, PeerFailure)
        assert failure.problem is PeerProblem.LOST
        while not two.cancelled:
            await asyncio.sleep(0.01)

    run_pair(check)


def test_an_unwanted_link_closes_after_the_requests_in_flight() -> None:
    """Guards against: a call is lost as the set of neighbours changes meanwhile."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        task = asyncio.create_task(one.request(two, SLOW))
        while not two.received:
            await asyncio.sleep(0.01)
        one.links.set_wanted_links(frozenset())
        assert not one.links.up(two.address)
        reply = await task
        assert isinstance(reply, ConfigReply), reply
        while one.links._all_links() or two.links._all_links():
            await asyncio.sleep(0.01)

    run_pair(check)


def test_an_unwanted_link_with_a_long_request_is_not_taken_for_broken() -> None:
    """Guards against: the peer cancels a call, as the link sends no more heartbeats."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        task = asyncio.create_task(one.request(two, NEVER))
        while not two.received:
            await asyncio.sleep(0.01)
        one.links.set_wanted_links(frozenset())
        await asyncio.sleep(LINK_TIMEOUT_S + NOTE_INTERVAL_S)
        assert not task.done()
        assert not two.cancelled
        task.cancel()
        while one.links._all_links() or two.links._all_links():
            await asyncio.sleep(0.01)

    run_pair(check)


def test_a_link_that_only_receives_replies_is_not_taken_for_broken() -> None:
    """Guards against: the peer cancels calls, as their caller sends nothing more."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        count = round((LINK_TIMEOUT_S + 4 * NOTE_INTERVAL_S) / STAGGER_S)
        requests = [one.request(two, STAGGERED + number) for number in range(count)]
        for reply in await asyncio.gather(*requests):
            assert isinstance(reply, ConfigReply), reply

    run_pair(check)


def test_a_request_that_gets_no_answer_in_time_ends_and_tells_the_peer() -> None:
    """The sender gets TIMEOUT and the peer's handler is cancelled."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        wanted = ConfigRequest(99)
        failure = await one.links.request(two.address, wanted, timeout_s=0.05)
        assert isinstance(failure, PeerFailure)
        assert failure.problem is PeerProblem.TIMEOUT
        while not two.cancelled:
            await asyncio.sleep(0.01)

    run_pair(check)


def test_without_a_link_nothing_is_sent() -> None:
    """Without a link the request fails as NOT_SENT."""

    async def check(one: LinkedDaemon, _two: LinkedDaemon) -> None:
        failure = await one.links.request(
            PeerAddress("127.0.0.1", 1), ConfigRequest(1), timeout_s=WAIT_S
        )
        assert failure.problem is PeerProblem.NOT_SENT

    run_pair(check)


def test_notes_go_out_at_once_when_told() -> None:
    """`broadcast_note` sends a note without waiting for the next round."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        while not two.notes:
            await asyncio.sleep(0.01)
        count = len(two.notes)
        one.links.broadcast_note()
        while len(two.notes) == count:
            await asyncio.sleep(0.01)
        assert two.notes[-1] == ConfigRequest(one.address.port)

    run_pair(check)


def test_a_peer_that_only_opened_a_link_hears_what_changes() -> None:
    """Guards against: such a peer keeps sending calls to a daemon that shuts down."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        two.links.broadcast_note()
        while not one.notes:
            await asyncio.sleep(0.01)
        assert one.notes == [ConfigRequest(two.address.port)]
        assert one.links.up(two.address)

    run_pair(check)


def test_a_link_is_opened_again() -> None:
    """A link is reconnected after the peer has closed it."""

    async def check(one: LinkedDaemon, two: LinkedDaemon) -> None:
        for link in tuple(two.links._accepted):
            link.abort()
        while one.links.up(two.address):
            await asyncio.sleep(0.01)
        await one.connect(two)

    run_pair(check)


def _run_with_statuses(
    status_of_second: Callable[[], Any],
    check: Callable[[LinkedDaemon, LinkedDaemon, list[Any]], Awaitable[None]],
) -> None:
    async def run() -> None:
        one, two = LinkedDaemon(), LinkedDaemon()
        statuses: list[Any] = []
        one.links._on_status = lambda _peer, status: statuses.append(status)
        two.links._status = status_of_second
        async with one.links, two.links:
            await one.connect(two)
            async with asyncio.timeout(WAIT_S):
                await check(one, two, statuses)

    asyncio.run(run())


def test_an_unchanged_note_is_sent_as_a_pulse() -> None:
    """Peers still hear the note, and its sender the status of each peer."""

    async def check(one: LinkedDaemon, two: LinkedDaemon, statuses: list[Any]) -> None:
        while not statuses:
            await asyncio.sleep(0.01)
        link = one.links._links_by_peer[two.address]
        link.send_note(link._sent_note, b"not a frame")
        heard = len(two.notes)
        while len(two.notes) == heard:
            await asyncio.sleep(0.01)
        assert two.notes[-1] == ConfigRequest(one.address.port)
        assert statuses[-1] == ConfigRequest(5)
        assert one.links.up(two.address)

    _run_with_statuses(lambda: ConfigRequest(5), check)


def test_a_peer_without_statuses_gets_whole_notes() -> None:
    """Earlier versions acknowledge without a status and know no pulses."""

    async def check(one: LinkedDaemon, two: LinkedDaemon, statuses: list[Any]) -> None:
        while len(two.notes) < 2:
            await asyncio.sleep(0.01)
        link = one.links._links_by_peer[two.address]
        assert not link._peer_sends_status
        assert not statuses

    _run_with_statuses(lambda: None, check)


# Guards against a process that a task keeps running whose cancellation is lost.
def test_a_link_that_is_unwanted_once_it_is_made_is_closed() -> None:
    """No link stays, and no task that would outlast its daemon."""

    async def run() -> None:
        one, two = LinkedDaemon(), LinkedDaemon()
        before = asyncio.all_tasks()
        async with one.links, two.links:
            call_once_connected(
                asyncio.get_running_loop(),
                lambda: one.links.set_wanted_links(frozenset()),
            )
            one.links.set_wanted_links(frozenset({two.address}))
            await asyncio.sleep(0.5)
            assert one.links.up_count == 0
        await asyncio.sleep(0.1)
        assert asyncio.all_tasks() == before

    asyncio.run(run())


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
