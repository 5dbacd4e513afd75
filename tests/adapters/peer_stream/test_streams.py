"""Tests of adapters.peer_stream: requests and answers between two links."""

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
    Ask,
    Tell,
    echo,
    eventually,
    link,
)
from tests.common import function_suite


class Held:
    """A handler that keeps its responders and notes cancellations."""

    def __init__(self) -> None:
        self.responders: list[Responder] = []
        self.cancelled = threading.Event()

    def called(self) -> bool:
        """Tell whether a request came."""
        return bool(self.responders)

    def __call__(self, _peer: PeerIdentity, item: Any, responder: Responder) -> None:
        """Keep the responder."""
        self.responders.append(responder)
        responder.on_cancel(self.cancelled.set)


def test_answers_match_their_requests_both_ways() -> None:
    """Requests of many sizes from both ends at once get their own answers."""
    with link("a") as a, link("b") as b:
        asks = [Ask(number, bytes(number * 997)) for number in range(100)]
        there = [a.request(b.address, ask, timeout_s=WAIT_S) for ask in asks]
        back = [b.request(a.address, ask, timeout_s=WAIT_S) for ask in asks]
        for ask, one, other in zip(asks, there, back, strict=True):
            assert one.result() == other.result() == Tell(ask.number, ask.body)


def test_nobody_listens_is_not_sent() -> None:
    """A refused connection tells that no byte left."""
    with link("gone") as gone:
        address = gone.address
    with link("a") as a:
        failure = a.request(address, Ask(1), timeout_s=WAIT_S).result()
    assert failure.problem is PeerProblem.NOT_SENT


def test_wrong_secret_is_not_sent() -> None:
    """A request never leaves for a peer that does not prove itself."""
    with link("a") as a, link("b", secrets=(NEW_SECRET,)) as b:
        failure = a.request(b.address, Ask(1), timeout_s=WAIT_S).result()
        assert failure.problem is PeerProblem.NOT_SENT
        assert b.stats().requests_received == 0
        assert eventually(lambda: b.stats().proofs_refused == 1)


def test_secret_rotation() -> None:
    """Each end may prove by any secret that the other accepts."""
    with (
        link("a", secrets=(NEW_SECRET, SECRET)) as a,
        link("b", secrets=(SECRET, NEW_SECRET)) as b,
    ):
        assert a.request(b.address, Ask(1), timeout_s=WAIT_S).result() == Tell(1)
        assert b.request(a.address, Ask(2), timeout_s=WAIT_S).result() == Tell(2)


def test_timeout_and_cancel_reach_the_handler() -> None:
    """The handler learns that nobody waits any more."""
    for cancel in (False, True):
        held = Held()
        with link("a") as a, link("b", held) as b:
            timeout_s = WAIT_S if cancel else 0.1
            future = a.request(b.address, Ask(1), timeout_s=timeout_s)
            if cancel:
                assert eventually(held.called)
                assert future.cancel()
            else:
                assert future.result().problem is PeerProblem.TIMEOUT
            assert held.cancelled.wait(WAIT_S)
            held.responders[0].answer(Tell(1))
            assert a.request(b.address, Ask(2), timeout_s=0.05).result()


def test_end_of_the_peer_is_lost() -> None:
    """A request that had left is LOST when its stream ends, and is cancelled."""
    held = Held()
    with link("a") as a:
        with link("b", held) as b:
            future = a.request(b.address, Ask(1), timeout_s=WAIT_S)
            assert eventually(held.called)
        assert future.result(WAIT_S).problem is PeerProblem.LOST
        assert held.cancelled.wait(WAIT_S)


def test_second_answer_is_dropped() -> None:
    """Only the first answer counts."""

    def twice(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        responder.answer(Tell(item.number))
        responder.answer(Tell(-1))

    with link("a") as a, link("b", twice) as b:
        for number in range(20):
            answer = a.request(b.address, Ask(number), timeout_s=WAIT_S).result()
            assert answer == Tell(number)
        assert a.stats().answers_stray == 0


def test_no_handler_is_rejected() -> None:
    """A message that nobody handles is REJECTED."""
    with link("a") as a, link("b") as b:
        failure = a.request(b.address, Tell(1), timeout_s=WAIT_S).result()
        assert failure.problem is PeerProblem.REJECTED


def test_drain_ends_running_requests_and_takes_no_new_ones() -> None:
    """A drained link answers what runs and refuses the rest as not handled."""
    held = Held()
    with link("a") as a, link("b", held) as b:
        future = a.request(b.address, Ask(1), timeout_s=WAIT_S)
        assert eventually(held.called)
        assert not b.drain(0.05)
        late = a.request(b.address, Ask(2), timeout_s=WAIT_S).result()
        assert late.problem in (PeerProblem.REJECTED, PeerProblem.NOT_SENT)
        held.responders[0].answer(Tell(1))
        assert future.result(WAIT_S) == Tell(1)
        assert b.drain(WAIT_S)


def test_two_hundred_streams() -> None:
    """One link serves many peers."""
    with ExitStack() as stack:
        hub = stack.enter_context(link("hub"))
        futures = []
        for number in range(100):
            peer = stack.enter_context(link(f"p{number}"))
            futures.append(peer.request(hub.address, Ask(number), timeout_s=WAIT_S))
            futures.append(hub.request(peer.address, Ask(number), timeout_s=WAIT_S))
        results = [future.result() for future in futures]
        assert hub.stats().streams == 200
    assert not [item for item in results if isinstance(item, PeerFailure)]


def test_one_way_messages() -> None:
    """A message without an answer arrives; one to nobody is dropped."""
    seen: list[int] = []

    def note(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        seen.append(item.number)
        echo(_peer, item, responder)

    with link("a") as a, link("b", note) as b:
        a.send(b.address, Ask(7))
        assert eventually(lambda: seen == [7])
        a.send(PeerAddress("127.0.0.1", 1), Ask(8))
        assert a.request(b.address, Ask(9), timeout_s=WAIT_S).result() == Tell(9)


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
