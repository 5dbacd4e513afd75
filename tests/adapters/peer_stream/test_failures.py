"""Tests of adapters.peer_stream: streams that are cut, stalled, full or hostile."""

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
    LONG_TIMEOUTS,
    SHORT_TIMEOUTS,
    WAIT_S,
    Forwarder,
    Reply,
    Request,
    echo,
    eventually,
    link,
    raw_initiator,
    raw_listener,
)
from tests.common import function_suite

BIG_BYTES = 200_000
SMALL_QUEUE = dataclasses.replace(LONG_TIMEOUTS, max_queue_bytes=1_000_000)


class HoldNegativeNumbers:
    """Handler that replies at once, except to requests with a negative number."""

    def __init__(self) -> None:
        self.held: list[Responder] = []

    def called(self) -> bool:
        """Return whether a request is held."""
        return bool(self.held)

    def __call__(self, peer: PeerIdentity, item: Any, responder: Responder) -> None:
        """Reply, or keep the responder."""
        if item.number < 0:
            self.held.append(responder)
        else:
            echo(peer, item, responder)


@given(
    cut=st.integers(0, 700),
    direction=st.sampled_from(["forward", "backward"]),
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_cut_at_any_byte(cut: int, direction: str) -> None:
    """Wherever the stream is cut, NOT_SENT means that the request was not handled."""
    handled: list[int] = []

    def record(peer: PeerIdentity, item: Any, responder: Responder) -> None:
        handled.append(item.number)
        echo(peer, item, responder)

    with link("b", record) as b, Forwarder(b.address) as path, link("a") as a:
        path.cut_after = {direction: cut}
        future = a.request(path.address, Request(5, bytes(100)), timeout_s=WAIT_S)
        result = future.result(WAIT_S)
        if isinstance(result, PeerFailure):
            assert result.problem in (PeerProblem.NOT_SENT, PeerProblem.LOST)
            assert handled == [] or result.problem is PeerProblem.LOST
        else:
            assert result == Reply(5, bytes(100))


def test_silent_streams_are_replaced_while_requests_wait() -> None:
    """Requests on the old stream fail as LOST; new ones use a new stream."""
    for directions in (("forward",), ("backward",), ("forward", "backward")):
        hold = HoldNegativeNumbers()
        with (
            link("b", hold, options=SHORT_TIMEOUTS) as b,
            Forwarder(b.address) as path,
            link("a", options=SHORT_TIMEOUTS) as a,
        ):
            held = a.request(path.address, Request(-1), timeout_s=WAIT_S)
            assert eventually(hold.called)
            path.freeze(*directions)
            meanwhile: list[Future[Any]] = []
            replied = 0
            while not held.done():
                request = Request(len(meanwhile))
                meanwhile.append(a.request(path.address, request, timeout_s=WAIT_S))
                time.sleep(0.01)
                done = [f.result() for f in meanwhile if f.done()]
                replied = sum(isinstance(item, Reply) for item in done)
            assert held.result().problem is PeerProblem.LOST
            assert replied > 0
            assert path.connections >= 2
            last = a.request(path.address, Request(9), timeout_s=WAIT_S)
            assert last.result(WAIT_S) == Reply(9)
            assert a.stats().streams_unresponsive + b.stats().streams_unresponsive >= 1


def test_a_frozen_path_fills_the_queue_and_no_more() -> None:
    """Requests that exceed the queue fail as NOT_SENT at once; memory is bounded."""
    with raw_listener() as (address, accept), link("a", options=SMALL_QUEUE) as a:
        futures = [a.request(address, Request(0), timeout_s=WAIT_S)]
        peer = accept()
        peer.authenticate()
        assert peer.read() is not None
        requests = [Request(number, bytes(BIG_BYTES)) for number in range(150)]
        futures += [a.request(address, item, timeout_s=WAIT_S) for item in requests]
        full = PeerFailure(PeerProblem.NOT_SENT, "the stream's queue is full")

        def refused() -> int:
            return sum(f.done() and f.result() == full for f in futures)

        assert eventually(lambda: refused() > len(requests) // 2)


def test_messages_over_the_frame_limit_cost_nobody_the_stream() -> None:
    """A request over the limit is NOT_SENT, a reply LOST; the stream stays open."""
    options = dataclasses.replace(LONG_TIMEOUTS, max_frame_bytes=5_000)

    def grow(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        responder.reply(Reply(item.number, bytes(item.number)))

    with link("b", grow, options=options) as b, link("a", options=options) as a:
        for number, size, problem in (
            (1, 0, None),
            (1, 5_000, PeerProblem.NOT_SENT),
            (5_000, 0, PeerProblem.LOST),
            (4_900, 4_900, None),
        ):
            request = Request(number, bytes(size))
            result = a.request(b.address, request, timeout_s=WAIT_S).result()
            assert getattr(result, "problem", None) is problem, (number, size, result)
        assert b.stats().streams_accepted == 1


def test_slow_reader_hurts_nobody_else() -> None:
    """A peer that sends but never reads loses replies, then its stream."""

    def big(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
        responder.reply(Reply(item.number, bytes(len(item.body) or BIG_BYTES)))

    with link("b", big, options=SMALL_QUEUE) as b, link("a") as a:
        with raw_initiator(b) as slow:
            slow.authenticate()
            for number in range(1, 101):
                slow.send(FrameKind.REQUEST, number, Request(number))
            assert eventually(lambda: b.stats().replies_dropped > 0)
            reply = a.request(b.address, Request(1, b"1"), timeout_s=WAIT_S).result()
            assert reply == Reply(1, bytes(1))
            pings = encode(FrameKind.PING) * 20_000
            try:
                for _ in range(200):
                    slow.sock.sendall(pings)
            except OSError:
                pass
            assert eventually(lambda: b.stats().streams_slow == 1)


def test_late_doubled_and_crossed_answers_are_dropped() -> None:
    """Replies that are late, duplicate or for an unknown request are dropped."""
    with raw_listener() as (address, accept), link("a") as a:
        first = a.request(address, Request(1), timeout_s=0.2)
        peer = accept()
        peer.authenticate()
        frame = peer.read()
        assert frame is not None
        first_id = frame.correlation_id
        assert first.result(WAIT_S).problem is PeerProblem.TIMEOUT
        cancel = peer.read()
        assert cancel is not None
        assert cancel.kind is FrameKind.CANCEL
        second = a.request(address, Request(2), timeout_s=WAIT_S)
        frame = peer.read()
        assert frame is not None
        peer.send(FrameKind.ANSWER, first_id, Reply(1))
        peer.send(FrameKind.ANSWER, frame.correlation_id + 1, Reply(-1))
        peer.send(FrameKind.ANSWER, frame.correlation_id, Reply(2))
        peer.send(FrameKind.ANSWER, frame.correlation_id, Reply(-2))
        assert second.result(WAIT_S) == Reply(2)
        assert eventually(lambda: a.stats().replies_unmatched == 3)


def test_answer_on_another_stream_is_dropped() -> None:
    """A peer cannot reply to a request that was sent to another."""
    with raw_listener() as (one, accept_one), raw_listener() as (two, accept_two):
        with link("a") as a:
            futures = [a.request(to, Request(1), timeout_s=WAIT_S) for to in (one, two)]
            peers = [accept_one(), accept_two()]
            frames = []
            for peer in peers:
                peer.authenticate()
                frames.append(peer.read())
            assert frames[0] is not None
            assert frames[1] is not None
            peers[1].send(FrameKind.ANSWER, frames[0].correlation_id, Reply(-1))
            assert eventually(lambda: a.stats().replies_unmatched == 1)
            for peer, frame in zip(peers, frames, strict=True):
                assert frame is not None
                peer.send(FrameKind.ANSWER, frame.correlation_id, Reply(1))
            assert [f.result(WAIT_S) for f in futures] == [Reply(1), Reply(1)]


def test_running_requests_are_bounded_and_answered_ones_do_not_count() -> None:
    """Requests over the limit are refused; completed ones do not count."""
    options = dataclasses.replace(LONG_TIMEOUTS, max_running_per_stream=8)
    hold = HoldNegativeNumbers()
    with link("b", hold, options=options) as b, raw_initiator(b) as peer:
        peer.authenticate()
        numbers = [*range(1, 201), *(-number for number in range(1, 21))]
        requests = (
            encode(FrameKind.REQUEST, index, pack(Request(number)))
            for index, number in enumerate(numbers, 1)
        )
        peer.sock.sendall(b"".join(requests))
        kinds = [peer.read() for _ in range(212)]
        replies = [item for item in kinds if item and item.kind is FrameKind.ANSWER]
        rejected = [item for item in kinds if item and item.kind is FrameKind.REJECTED]
        assert len(replies) == 200
        assert len(rejected) == 12
        assert len(hold.held) == 8


def test_an_unused_stream_ends_and_the_next_request_opens_another() -> None:
    """An idle stream is closed without losing a request."""
    options = dataclasses.replace(LONG_TIMEOUTS, idle_close_s=0.05)
    with link("b") as b, link("a", options=options) as a:
        for number in range(3):
            reply = a.request(b.address, Request(number), timeout_s=WAIT_S).result()
            assert reply == Reply(number)
            assert eventually(lambda: a.stats().streams == 0)
        assert a.stats().streams_opened == 3


@given(st.binary(min_size=1, max_size=300), st.booleans())
@settings(derandomize=True, deadline=None, max_examples=40)
def test_hostile_bytes_harm_nobody_else(data: bytes, authenticated: bool) -> None:
    """Invalid bytes before or after authentication do not affect other streams."""
    with link("b") as b, raw_initiator(b) as hostile, link("a") as a:
        if authenticated:
            hostile.authenticate()
        hostile.sock.sendall(data)
        reply = a.request(b.address, Request(3), timeout_s=WAIT_S).result()
        assert reply == Reply(3)


def test_frames_out_of_place_end_the_stream() -> None:
    """Early requests, oversized frames and frames of the wrong role end the stream."""
    request = encode(FrameKind.REQUEST, 1, pack(Request(1)))
    long = LONG_TIMEOUTS.max_frame_bytes + 1
    with link("b") as b:
        for data, authenticated in (
            (request, False),
            (encode(FrameKind.HELLO, 0, bytes(5_000)), False),
            (long.to_bytes(4, "big"), True),
            (encode(FrameKind.ANSWER, 1, pack(Reply(1))), True),
            (encode(FrameKind.HELLO), True),
        ):
            with raw_initiator(b) as hostile:
                if authenticated:
                    hostile.authenticate()
                hostile.sock.sendall(data)
                assert hostile.read() is None
        stats = b.stats()
    assert stats.requests_received == 0
    assert stats.proofs_rejected + stats.frames_rejected == 5


def test_unproven_streams_are_bounded_and_time_out() -> None:
    """Connections that never authenticate do not block other peers."""
    options = dataclasses.replace(SHORT_TIMEOUTS, max_unauthenticated_streams=4)
    with link("b", options=options) as b, link("a") as a:
        initiators = [raw_initiator(b) for _ in range(20)]
        peers = [item.__enter__() for item in initiators]
        assert eventually(lambda: b.stats().streams_refused == 16)
        reply = a.request(b.address, Request(3), timeout_s=WAIT_S).result()
        assert reply == Reply(3)
        assert eventually(lambda: b.stats().streams == 1)
        assert [peer.read() for peer in peers] == [None] * 20
        for item in initiators:
            item.__exit__(None, None, None)


def test_a_peer_that_never_proves_itself_is_not_sent() -> None:
    """The handshake has a timeout, and no request is sent before it is complete."""
    with raw_listener() as (address, accept), link("a", options=SHORT_TIMEOUTS) as a:
        future = a.request(address, Request(1), timeout_s=WAIT_S)
        peer = accept()
        hello = peer.read()
        assert hello is not None
        assert hello.kind is FrameKind.HELLO
        assert future.result(WAIT_S).problem is PeerProblem.NOT_SENT
        assert peer.read() is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
