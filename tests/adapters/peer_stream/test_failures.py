"""Tests of adapters.peer_stream: streams that are cut, silent, full or hostile."""

import dataclasses
import time
import unittest
from concurrent.futures import Future
from typing import Any

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.peer_stream.frames import FrameKind, encode
from damaskbay.helpers.messages import pack
from damaskbay.ports.peer import PeerFailure, PeerIdentity, PeerProblem, Responder
from tests.adapters.peer_stream.common import (
    CALM,
    FAST,
    WAIT_S,
    Ask,
    Forwarder,
    Tell,
    echo,
    eventually,
    link,
    raw_initiator,
    raw_listener,
)
from tests.common import function_suite

BIG_BYTES = 200_000
SMALL_QUEUE = dataclasses.replace(CALM, max_queue_bytes=1_000_000)


class HoldNegative:
    """Answers at once, but never a request with a negative number."""

    def __init__(self) -> None:
        self.held: list[Responder] = []

    def called(self) -> bool:
        """Tell whether a request is held."""
        return bool(self.held)

    def __call__(self, peer: PeerIdentity, item: Any, responder: Responder) -> None:
        """Answer or hold."""
        if item.number < 0:
            self.held.append(responder)
        else:
            echo(peer, item, responder)


@given(
    cut=st.integers(0, 700),
    direction=st.sampled_from(["there", "back"]),
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_cut_at_any_byte(cut: int, direction: str) -> None:
    """Whatever byte is the last, NOT_SENT means that nothing was handled."""
    handled: list[int] = []

    def note(peer: PeerIdentity, item: Any, responder: Responder) -> None:
        handled.append(item.number)
        echo(peer, item, responder)

    with link("b", note) as b, Forwarder(b.address) as path, link("a") as a:
        path.cut_after = {direction: cut}
        future = a.request(path.address, Ask(5, bytes(100)), timeout_s=WAIT_S)
        result = future.result(WAIT_S)
        if isinstance(result, PeerFailure):
            assert result.problem in (PeerProblem.NOT_SENT, PeerProblem.LOST)
            assert handled == [] or result.problem is PeerProblem.LOST
        else:
            assert result == Tell(5, bytes(100))


def test_silent_streams_are_replaced_while_requests_wait() -> None:
    """The old stream's requests end as LOST; new ones go over a new stream."""
    for directions in (("there",), ("back",), ("there", "back")):
        hold = HoldNegative()
        with (
            link("b", hold, options=FAST) as b,
            Forwarder(b.address) as path,
            link("a", options=FAST) as a,
        ):
            held = a.request(path.address, Ask(-1), timeout_s=WAIT_S)
            assert eventually(hold.called)
            path.freeze(*directions)
            meanwhile: list[Future[Any]] = []
            answered = 0
            while not held.done():
                ask = Ask(len(meanwhile))
                meanwhile.append(a.request(path.address, ask, timeout_s=WAIT_S))
                time.sleep(0.01)
                done = [f.result() for f in meanwhile if f.done()]
                answered = sum(isinstance(item, Tell) for item in done)
            assert held.result().problem is PeerProblem.LOST
            assert answered > 0
            assert path.connections >= 2
            last = a.request(path.address, Ask(9), timeout_s=WAIT_S)
            assert last.result(WAIT_S) == Tell(9)
            assert a.stats().streams_silent + b.stats().streams_silent >= 1


def test_a_frozen_path_fills_the_queue_and_no_more() -> None:
    """What does not fit in the queue is NOT_SENT at once; memory stays bounded."""
    with raw_listener() as (address, accept), link("a", options=SMALL_QUEUE) as a:
        futures = [a.request(address, Ask(0), timeout_s=WAIT_S)]
        peer = accept()
        peer.prove()
        assert peer.read() is not None
        asks = [Ask(number, bytes(BIG_BYTES)) for number in range(150)]
        futures += [a.request(address, ask, timeout_s=WAIT_S) for ask in asks]
        full = PeerFailure(PeerProblem.NOT_SENT, "the stream's queue is full")

        def refused() -> int:
            return sum(f.done() and f.result() == full for f in futures)

        assert eventually(lambda: refused() > len(asks) // 2)


def test_messages_over_the_frame_limit_cost_nobody_the_stream() -> None:
    """A long request is NOT_SENT, a long answer LOST; the stream goes on."""
    options = dataclasses.replace(CALM, max_frame_bytes=5_000)

    def grow(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        responder.answer(Tell(item.number, bytes(item.number)))

    with link("b", grow, options=options) as b, link("a", options=options) as a:
        for number, size, problem in (
            (1, 0, None),
            (1, 5_000, PeerProblem.NOT_SENT),
            (5_000, 0, PeerProblem.LOST),
            (4_900, 4_900, None),
        ):
            ask = Ask(number, bytes(size))
            result = a.request(b.address, ask, timeout_s=WAIT_S).result()
            assert getattr(result, "problem", None) is problem
        assert b.stats().streams_accepted == 1


def test_slow_reader_hurts_nobody_else() -> None:
    """A peer that asks and never reads loses answers, then its stream."""

    def big(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        responder.answer(Tell(item.number, bytes(len(item.body) or BIG_BYTES)))

    with link("b", big, options=SMALL_QUEUE) as b, link("a") as a:
        with raw_initiator(b) as slow:
            slow.prove()
            for number in range(1, 101):
                slow.say(FrameKind.REQUEST, number, Ask(number))
            assert eventually(lambda: b.stats().answers_dropped > 0)
            answer = a.request(b.address, Ask(1, b"1"), timeout_s=WAIT_S).result()
            assert answer == Tell(1, bytes(1))
            pings = encode(FrameKind.PING) * 20_000
            try:
                for _ in range(200):
                    slow.sock.sendall(pings)
            except OSError:
                pass
            assert eventually(lambda: b.stats().streams_slow == 1)


def test_late_doubled_and_crossed_answers_are_dropped() -> None:
    """An answer counts once, for its own request, on its own stream."""
    with raw_listener() as (address, accept), link("a") as a:
        first = a.request(address, Ask(1), timeout_s=0.2)
        peer = accept()
        peer.prove()
        frame = peer.read()
        assert frame is not None
        first_id = frame.correlation_id
        assert first.result(WAIT_S).problem is PeerProblem.TIMEOUT
        cancel = peer.read()
        assert cancel is not None
        assert cancel.kind is FrameKind.CANCEL
        second = a.request(address, Ask(2), timeout_s=WAIT_S)
        frame = peer.read()
        assert frame is not None
        peer.say(FrameKind.ANSWER, first_id, Tell(1))
        peer.say(FrameKind.ANSWER, frame.correlation_id + 1, Tell(-1))
        peer.say(FrameKind.ANSWER, frame.correlation_id, Tell(2))
        peer.say(FrameKind.ANSWER, frame.correlation_id, Tell(-2))
        assert second.result(WAIT_S) == Tell(2)
        assert eventually(lambda: a.stats().answers_stray == 3)


def test_answer_on_another_stream_is_dropped() -> None:
    """A peer cannot answer a request that was sent to another."""
    with raw_listener() as (one, accept_one), raw_listener() as (two, accept_two):
        with link("a") as a:
            futures = [a.request(to, Ask(1), timeout_s=WAIT_S) for to in (one, two)]
            peers = [accept_one(), accept_two()]
            frames = []
            for peer in peers:
                peer.prove()
                frames.append(peer.read())
            assert frames[0] is not None
            assert frames[1] is not None
            peers[1].say(FrameKind.ANSWER, frames[0].correlation_id, Tell(-1))
            assert eventually(lambda: a.stats().answers_stray == 1)
            for peer, frame in zip(peers, frames, strict=True):
                assert frame is not None
                peer.say(FrameKind.ANSWER, frame.correlation_id, Tell(1))
            assert [f.result(WAIT_S) for f in futures] == [Tell(1), Tell(1)]


def test_running_requests_are_bounded_and_answered_ones_do_not_count() -> None:
    """A burst that is answered at once passes; one that hangs is cut off."""
    options = dataclasses.replace(CALM, max_running_per_stream=8)
    hold = HoldNegative()
    with link("b", hold, options=options) as b, raw_initiator(b) as peer:
        peer.prove()
        numbers = [*range(1, 201), *(-number for number in range(1, 21))]
        asks = (
            encode(FrameKind.REQUEST, index, pack(Ask(number)))
            for index, number in enumerate(numbers, 1)
        )
        peer.sock.sendall(b"".join(asks))
        kinds = [peer.read() for _ in range(212)]
        answers = [item for item in kinds if item and item.kind is FrameKind.ANSWER]
        rejected = [item for item in kinds if item and item.kind is FrameKind.REJECTED]
        assert len(answers) == 200
        assert len(rejected) == 12
        assert len(hold.held) == 8


def test_an_unused_stream_ends_and_the_next_request_opens_another() -> None:
    """Idle streams close without a loss."""
    options = dataclasses.replace(CALM, idle_close_s=0.05)
    with link("b") as b, link("a", options=options) as a:
        for number in range(3):
            answer = a.request(b.address, Ask(number), timeout_s=WAIT_S).result()
            assert answer == Tell(number)
            assert eventually(lambda: a.stats().streams == 0)
        assert a.stats().streams_opened == 3


@given(st.binary(min_size=1, max_size=300), st.booleans())
@settings(derandomize=True, deadline=None, max_examples=40)
def test_hostile_bytes_harm_nobody_else(data: bytes, proven: bool) -> None:
    """Any bytes before or after the proof leave the link serving others."""
    with link("b") as b, raw_initiator(b) as hostile, link("a") as a:
        if proven:
            hostile.prove()
        hostile.sock.sendall(data)
        answer = a.request(b.address, Ask(3), timeout_s=WAIT_S).result()
        assert answer == Tell(3)


def test_frames_out_of_place_end_the_stream() -> None:
    """Requests before the proof, long frames and frames of the wrong role."""
    request = encode(FrameKind.REQUEST, 1, pack(Ask(1)))
    long = CALM.max_frame_bytes + 1
    with link("b") as b:
        for data, proven in (
            (request, False),
            (encode(FrameKind.HELLO, 0, bytes(5_000)), False),
            (long.to_bytes(4, "big"), True),
            (encode(FrameKind.ANSWER, 1, pack(Tell(1))), True),
            (encode(FrameKind.HELLO), True),
        ):
            with raw_initiator(b) as hostile:
                if proven:
                    hostile.prove()
                hostile.sock.sendall(data)
                assert hostile.read() is None
        stats = b.stats()
    assert stats.requests_received == 0
    assert stats.proofs_refused + stats.frames_refused == 5


def test_unproven_streams_are_bounded_and_time_out() -> None:
    """Connections that never prove themselves keep no real peer out."""
    options = dataclasses.replace(FAST, max_unproven_streams=4)
    with link("b", options=options) as b, link("a") as a:
        silent = [raw_initiator(b) for _ in range(20)]
        peers = [item.__enter__() for item in silent]
        assert eventually(lambda: b.stats().streams_refused == 16)
        answer = a.request(b.address, Ask(3), timeout_s=WAIT_S).result()
        assert answer == Tell(3)
        assert eventually(lambda: b.stats().streams == 1)
        assert [peer.read() for peer in peers] == [None] * 20
        for item in silent:
            item.__exit__(None, None, None)


def test_a_peer_that_never_proves_itself_is_not_sent() -> None:
    """The handshake has a time limit, and no request leaves before it ends."""
    with raw_listener() as (address, accept), link("a", options=FAST) as a:
        future = a.request(address, Ask(1), timeout_s=WAIT_S)
        peer = accept()
        hello = peer.read()
        assert hello is not None
        assert hello.kind is FrameKind.HELLO
        assert future.result(WAIT_S).problem is PeerProblem.NOT_SENT
        assert peer.read() is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
