"""Tests of adapters.peer_stream: requests and replies between two links."""

import threading
import unittest
from contextlib import ExitStack
from typing import Any

from damaskbay.ports.peer import (
    PeerAddress,
    PeerFailure,
    PeerIdentity,
    PeerProblem,
    Responder,
)
from tests.adapters.peer_stream.common import (
    NEW_SECRET,
    SECRET,
    WAIT_S,
    Reply,
    Request,
    echo,
    eventually,
    link,
)
from tests.common import function_suite


class RecordingHandler:
    """Handler that keeps its responders and records cancellations."""

    def __init__(self) -> None:
        self.responders: list[Responder] = []
        self.cancelled = threading.Event()

    def called(self) -> bool:
        """Return whether a request has arrived."""
        return bool(self.responders)

    def __call__(self, _peer: PeerIdentity, item: Any, responder: Responder) -> None:
        """Store the responder."""
        self.responders.append(responder)
        responder.on_cancel(self.cancelled.set)


def test_answers_match_their_requests_both_ways() -> None:
    """Concurrent requests of many sizes from both ends get their own replies."""
    with link("a") as a, link("b") as b:
        requests = [Request(number, bytes(number * 997)) for number in range(100)]
        from_a = [a.request(b.address, item, timeout_s=WAIT_S) for item in requests]
        from_b = [b.request(a.address, item, timeout_s=WAIT_S) for item in requests]
        for item, one, other in zip(requests, from_a, from_b, strict=True):
            assert one.result() == other.result() == Reply(item.number, item.body)


def test_nobody_listens_is_not_sent() -> None:
    """A refused connection gives NOT_SENT."""
    with link("gone") as gone:
        address = gone.address
    with link("a") as a:
        failure = a.request(address, Request(1), timeout_s=WAIT_S).result()
    assert failure.problem is PeerProblem.NOT_SENT


def test_wrong_secret_is_not_sent() -> None:
    """No request is sent to a peer that fails to authenticate."""
    with link("a") as a, link("b", secrets=(NEW_SECRET,)) as b:
        failure = a.request(b.address, Request(1), timeout_s=WAIT_S).result()
        assert failure.problem is PeerProblem.NOT_SENT
        assert b.stats().requests_received == 0
        assert eventually(lambda: b.stats().proofs_rejected == 1)


def test_secret_rotation() -> None:
    """Each end may use any secret that the other accepts."""
    with (
        link("a", secrets=(NEW_SECRET, SECRET)) as a,
        link("b", secrets=(SECRET, NEW_SECRET)) as b,
    ):
        assert a.request(b.address, Request(1), timeout_s=WAIT_S).result() == Reply(1)
        assert b.request(a.address, Request(2), timeout_s=WAIT_S).result() == Reply(2)


def test_timeout_and_cancel_reach_the_handler() -> None:
    """The handler is notified when the request is cancelled or times out."""
    for cancel in (False, True):
        held = RecordingHandler()
        with link("a") as a, link("b", held) as b:
            timeout_s = WAIT_S if cancel else 0.1
            future = a.request(b.address, Request(1), timeout_s=timeout_s)
            if cancel:
                assert eventually(held.called)
                assert future.cancel()
            else:
                assert future.result().problem is PeerProblem.TIMEOUT
            assert held.cancelled.wait(WAIT_S)
            held.responders[0].reply(Reply(1))
            assert a.request(b.address, Request(2), timeout_s=0.05).result()


def test_end_of_the_peer_is_lost() -> None:
    """A request in flight is LOST when its stream ends; its handler is notified."""
    held = RecordingHandler()
    with link("a") as a:
        with link("b", held) as b:
            future = a.request(b.address, Request(1), timeout_s=WAIT_S)
            assert eventually(held.called)
        assert future.result(WAIT_S).problem is PeerProblem.LOST
        assert held.cancelled.wait(WAIT_S)


def test_second_answer_is_dropped() -> None:
    """Only the first reply is sent."""

    def twice(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        responder.reply(Reply(item.number))
        responder.reply(Reply(-1))

    with link("a") as a, link("b", twice) as b:
        for number in range(20):
            reply = a.request(b.address, Request(number), timeout_s=WAIT_S).result()
            assert reply == Reply(number)
        assert a.stats().replies_unmatched == 0


def test_no_handler_is_rejected() -> None:
    """A request without a handler is REJECTED."""
    with link("a") as a, link("b") as b:
        failure = a.request(b.address, Reply(1), timeout_s=WAIT_S).result()
        assert failure.problem is PeerProblem.REJECTED


def test_drain_ends_running_requests_and_takes_no_new_ones() -> None:
    """A draining link completes running requests and refuses new ones."""
    held = RecordingHandler()
    with link("a") as a, link("b", held) as b:
        future = a.request(b.address, Request(1), timeout_s=WAIT_S)
        assert eventually(held.called)
        assert not b.drain(0.05)
        late = a.request(b.address, Request(2), timeout_s=WAIT_S).result()
        assert late.problem in (PeerProblem.REJECTED, PeerProblem.NOT_SENT)
        held.responders[0].reply(Reply(1))
        assert future.result(WAIT_S) == Reply(1)
        assert b.drain(WAIT_S)


def test_two_hundred_streams() -> None:
    """One link handles many peers."""
    with ExitStack() as stack:
        hub = stack.enter_context(link("hub"))
        futures = []
        for number in range(100):
            peer = stack.enter_context(link(f"p{number}"))
            futures.append(peer.request(hub.address, Request(number), timeout_s=WAIT_S))
            futures.append(hub.request(peer.address, Request(number), timeout_s=WAIT_S))
        results = [future.result() for future in futures]
        assert hub.stats().streams == 200
    assert not [item for item in results if isinstance(item, PeerFailure)]


def test_one_way_messages() -> None:
    """A one-way message arrives; one to an unreachable peer is dropped."""
    seen: list[int] = []

    def record(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        seen.append(item.number)
        echo(_peer, item, responder)

    with link("a") as a, link("b", record) as b:
        a.send(b.address, Request(7))
        assert eventually(lambda: seen == [7])
        a.send(PeerAddress("127.0.0.1", 1), Request(8))
        assert a.request(b.address, Request(9), timeout_s=WAIT_S).result() == Reply(9)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
