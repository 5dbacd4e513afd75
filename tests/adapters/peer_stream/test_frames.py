"""Tests of adapters.peer_stream: frames, proof and liveness, without sockets."""

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
from damaskbay.adapters.peer_stream.liveness import Liveness, Verdict
from damaskbay.adapters.peer_stream.options import PeerStreamOptions
from damaskbay.adapters.peer_stream.proof import Handshake, Role, mac_of
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


def ends(
    initiator: bytes = SECRET, acceptor: bytes = SECRET
) -> tuple[Handshake, Handshake]:
    """Return both ends of a handshake."""
    return (
        Handshake(Role.INITIATOR, PeerIdentity("a", 1, "d"), (initiator,)),
        Handshake(Role.ACCEPTOR, PeerIdentity("b", 2, "d"), (acceptor,)),
    )


def frame_of(data: bytes) -> Frame:
    """Return the one frame in the bytes."""
    return decode(data[4:])


def refuses(handshake: Handshake, frame: Frame) -> bool:
    """Tell whether the handshake refuses a frame."""
    try:
        handshake.handle(frame)
    except ProofError:
        return True
    return False


@given(st.lists(FRAMES, max_size=6), st.integers(1, 40))
@settings(derandomize=True)
def test_frames_survive_any_split(frames: list[Frame], step: int) -> None:
    """Frames come out as they went in, however the bytes are cut."""
    data = b"".join(encode(f.kind, f.correlation_id, f.payload) for f in frames)
    reader = FrameReader(1_000)
    seen = []
    for start in range(0, len(data), step):
        seen += reader.take(data[start : start + step])
    assert seen == frames


@given(st.binary(max_size=400))
@settings(derandomize=True, max_examples=300)
def test_garbage_is_a_frame_error_or_needs_more(data: bytes) -> None:
    """No bytes raise anything but FrameError."""
    for body in (data, encode(FrameKind.SEND, 1, data)[4:-1] + b"\xc1"):
        try:
            decode(body)
        except FrameError:
            continue
    reader = FrameReader(1_000)
    try:
        reader.take(data)
    except FrameError:
        return


def test_frame_over_the_limit_is_refused_by_its_length() -> None:
    """The length alone refuses; the body is never waited for."""
    reader = FrameReader(100)
    try:
        reader.take((101).to_bytes(4, "big"))
    except FrameError:
        return
    raise AssertionError("a long frame was taken")


def test_both_ends_prove_themselves() -> None:
    """Each end learns who the other is, and only after the proof."""
    a, b = ends()
    hello_b = b.handle(frame_of(a.start()))
    proof_a = a.handle(frame_of(hello_b))
    assert not a.proven
    proof_b = b.handle(frame_of(proof_a))
    assert b.proven
    assert a.handle(frame_of(proof_b)) == b""
    assert a.proven
    assert (a.identity, b.identity) == (
        PeerIdentity("b", 2, "d"),
        PeerIdentity("a", 1, "d"),
    )


def test_own_bytes_sent_back_prove_nothing() -> None:
    """Neither the hello nor the proof of one end serves as the other's."""
    a, b = ends()
    assert refuses(a, frame_of(a.start()))
    proof_a = frame_of(a.handle(frame_of(b.handle(frame_of(a.start())))))
    assert refuses(a, proof_a)


def test_proof_of_another_stream_is_refused() -> None:
    """Fresh nonces make an old proof worthless, to the same peer too."""
    a, b = ends()
    old = frame_of(a.handle(frame_of(b.handle(frame_of(a.start())))))
    again, other = ends()[0], ends()[1]
    other.handle(frame_of(again.start()))
    assert refuses(other, old)
    assert not other.proven


def test_another_secret_is_refused() -> None:
    """A proof by a secret that is not accepted fails."""
    a, b = ends(initiator=NEW_SECRET)
    assert refuses(b, frame_of(a.handle(frame_of(b.handle(frame_of(a.start()))))))


def test_the_mac_binds_role_order_and_lengths() -> None:
    """No two different handshakes give the same proof."""
    macs = {
        mac_of(SECRET, Role.INITIATOR, b"a", b"bc"),
        mac_of(SECRET, Role.INITIATOR, b"ab", b"c"),
        mac_of(SECRET, Role.INITIATOR, b"bc", b"a"),
        mac_of(SECRET, Role.ACCEPTOR, b"a", b"bc"),
    }
    assert len(macs) == 4


def test_requests_do_not_put_off_the_ping() -> None:
    """A stream that never answers is found, however many requests go out on it."""
    liveness = Liveness(OPTIONS, 0.0)
    verdicts = []
    for step in range(1, 80):
        now = step / 10
        liveness.asked(now)
        verdicts.append(liveness.due(now, busy=True))
        if verdicts[-1] is Verdict.SILENT:
            break
    assert Verdict.PING in verdicts
    assert verdicts[-1] is Verdict.SILENT
    assert liveness.suspect(now)


def test_an_answering_stream_is_never_silent_nor_pinged_without_pause() -> None:
    """Pings to a stream that answers grow rare, and idle ones rarer still."""
    liveness = Liveness(OPTIONS, 0.0)
    pings = 0
    for step in range(1, 300):
        verdict = liveness.due(step / 10, busy=True)
        assert verdict is not Verdict.SILENT
        if verdict is Verdict.PING:
            pings += 1
            liveness.heard(step / 10)
    assert 5 < pings <= 30
    liveness = Liveness(OPTIONS, 0.0)
    assert liveness.due(9.9, busy=False) is Verdict.ALIVE
    assert liveness.due(10.0, busy=False) is Verdict.PING


def test_an_own_pause_is_not_the_peers_silence() -> None:
    """After a pause of this process the peer gets its time anew."""
    liveness = Liveness(OPTIONS, 0.0)
    assert liveness.due(1.0, busy=True) is Verdict.PING
    liveness.forgive(60.0)
    assert liveness.due(60.0, busy=True) is Verdict.ALIVE
    assert liveness.due(64.1, busy=True) is Verdict.SILENT


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
