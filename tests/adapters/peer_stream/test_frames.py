"""Tests of adapters.peer_stream: frames, handshake and liveness without sockets."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskbay.adapters.peer_stream.exceptions import FrameError, ProofError
from damaskbay.adapters.peer_stream.frames import (
    Frame,
    FrameKind,
    FrameReader,
    decode,
    encode,
)
from damaskbay.adapters.peer_stream.liveness import Liveness, LivenessStatus
from damaskbay.adapters.peer_stream.options import PeerStreamOptions
from damaskbay.adapters.peer_stream.proof import Handshake, Role, compute_mac
from damaskbay.ports.peer import PeerIdentity
from tests.adapters.peer_stream.common import NEW_SECRET, SECRET
from tests.common import function_suite

FRAMES = st.builds(
    Frame,
    st.sampled_from(FrameKind),
    st.integers(0, 2**63 - 1),
    st.binary(max_size=300),
)
OPTIONS = PeerStreamOptions(heartbeat_s=1.0, idle_heartbeat_s=10.0)


def handshake_pair(
    initiator: bytes = SECRET, acceptor: bytes = SECRET
) -> tuple[Handshake, Handshake]:
    """Return both ends of a handshake."""
    return (
        Handshake(Role.INITIATOR, PeerIdentity("a", 1, "d"), (initiator,)),
        Handshake(Role.ACCEPTOR, PeerIdentity("b", 2, "d"), (acceptor,)),
    )


def frame_of(data: bytes) -> Frame:
    """Return the frame in the bytes."""
    return decode(data[4:])


def is_rejected(handshake: Handshake, frame: Frame) -> bool:
    """Return whether the handshake rejects a frame."""
    try:
        handshake.handle(frame)
    except ProofError:
        return True
    return False


@given(st.lists(FRAMES, max_size=6), st.integers(1, 40))
@settings(derandomize=True)
def test_frames_survive_any_split(frames: list[Frame], step: int) -> None:
    """Frames are decoded correctly, however the bytes are split."""
    data = b"".join(encode(f.kind, f.correlation_id, f.payload) for f in frames)
    reader = FrameReader(1_000)
    seen = []
    for start in range(0, len(data), step):
        seen += reader.feed(data[start : start + step])
    assert seen == frames


@given(st.binary(max_size=400))
@settings(derandomize=True, max_examples=300)
def test_garbage_is_a_frame_error_or_needs_more(data: bytes) -> None:
    """Invalid bytes raise no error other than FrameError."""
    for body in (data, encode(FrameKind.SEND, 1, data)[4:-1] + b"\xc1"):
        try:
            decode(body)
        except FrameError:
            continue
    reader = FrameReader(1_000)
    try:
        reader.feed(data)
    except FrameError:
        return


def test_frame_over_the_limit_is_refused_by_its_length() -> None:
    """A length over the limit is rejected before the body arrives."""
    reader = FrameReader(100)
    try:
        reader.feed((101).to_bytes(4, "big"))
    except FrameError:
        return
    raise AssertionError("a frame over the limit was accepted")


def test_both_ends_prove_themselves() -> None:
    """Each end has the identity of the other once it is authenticated."""
    a, b = handshake_pair()
    hello_b = b.handle(frame_of(a.start()))
    proof_a = a.handle(frame_of(hello_b))
    assert not a.authenticated
    proof_b = b.handle(frame_of(proof_a))
    assert b.authenticated
    assert a.handle(frame_of(proof_b)) == b""
    assert a.authenticated
    assert (a.identity, b.identity) == (
        PeerIdentity("b", 2, "d"),
        PeerIdentity("a", 1, "d"),
    )


def test_own_bytes_sent_back_prove_nothing() -> None:
    """A hello or proof that is reflected to its sender is rejected."""
    a, b = handshake_pair()
    assert is_rejected(a, frame_of(a.start()))
    proof_a = frame_of(a.handle(frame_of(b.handle(frame_of(a.start())))))
    assert is_rejected(a, proof_a)


def test_proof_of_another_stream_is_refused() -> None:
    """A proof cannot be replayed on another stream, since nonces are new for each."""
    a, b = handshake_pair()
    old = frame_of(a.handle(frame_of(b.handle(frame_of(a.start())))))
    again, other = handshake_pair()[0], handshake_pair()[1]
    other.handle(frame_of(again.start()))
    assert is_rejected(other, old)
    assert not other.authenticated


def test_another_secret_is_refused() -> None:
    """A proof by a secret that is not accepted is rejected."""
    a, b = handshake_pair(initiator=NEW_SECRET)
    assert is_rejected(b, frame_of(a.handle(frame_of(b.handle(frame_of(a.start()))))))


def test_the_mac_binds_role_order_and_lengths() -> None:
    """Different roles or hellos give different proofs."""
    macs = {
        compute_mac(SECRET, Role.INITIATOR, b"a", b"bc"),
        compute_mac(SECRET, Role.INITIATOR, b"ab", b"c"),
        compute_mac(SECRET, Role.INITIATOR, b"bc", b"a"),
        compute_mac(SECRET, Role.ACCEPTOR, b"a", b"bc"),
    }
    assert len(macs) == 4


def test_requests_do_not_put_off_the_ping() -> None:
    """An unresponsive stream is found, however many requests are sent on it."""
    liveness = Liveness(OPTIONS, 0.0)
    statuses = []
    for step in range(1, 80):
        now = step / 10
        liveness.record_request_sent(now)
        statuses.append(liveness.check(now, busy=True))
        if statuses[-1] is LivenessStatus.UNRESPONSIVE:
            break
    assert LivenessStatus.PING_DUE in statuses
    assert statuses[-1] is LivenessStatus.UNRESPONSIVE
    assert liveness.is_suspect(now)


def test_an_answering_stream_is_never_silent_nor_pinged_without_pause() -> None:
    """Pings to a responsive stream become less frequent, and most so if it is idle."""
    liveness = Liveness(OPTIONS, 0.0)
    pings = 0
    for step in range(1, 300):
        status = liveness.check(step / 10, busy=True)
        assert status is not LivenessStatus.UNRESPONSIVE
        if status is LivenessStatus.PING_DUE:
            pings += 1
            liveness.record_received(step / 10)
    assert 5 < pings <= 30
    liveness = Liveness(OPTIONS, 0.0)
    assert liveness.check(9.9, busy=False) is LivenessStatus.ALIVE
    assert liveness.check(10.0, busy=False) is LivenessStatus.PING_DUE


def test_an_own_pause_is_not_the_peers_silence() -> None:
    """After a pause of this process the ping timeout restarts."""
    liveness = Liveness(OPTIONS, 0.0)
    assert liveness.check(1.0, busy=True) is LivenessStatus.PING_DUE
    liveness.restart_ping_timeout(60.0)
    assert liveness.check(60.0, busy=True) is LivenessStatus.ALIVE
    assert liveness.check(64.1, busy=True) is LivenessStatus.UNRESPONSIVE


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
