"""Fixtures: two links on loopback and messages between them."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from damaskbay.adapters.peer_stream import PeerStreamOptions, PeerStreams
from damaskbay.helpers.messages import message
from damaskbay.ports.peer import Handler, PeerAddress, PeerIdentity, Responder

WAIT_S = 10.0
SECRET = b"an old peer secret"
NEW_SECRET = b"a newer peer secret"
LOOPBACK = PeerAddress("127.0.0.1", 0)
FAST = PeerStreamOptions(
    heartbeat_s=0.05,
    idle_heartbeat_s=0.1,
    handshake_timeout_s=0.5,
    tick_s=0.01,
    reconnect_pause_s=0.0,
)


@message("test.peer.ask")
@dataclass(frozen=True, slots=True)
class Ask:
    """A request."""

    number: int
    body: bytes = b""


@message("test.peer.tell")
@dataclass(frozen=True, slots=True)
class Tell:
    """An answer."""

    number: int
    body: bytes = b""


def echo(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
    """Answer with what was asked."""
    responder.answer(Tell(item.number, item.body))


@contextmanager
def link(
    name: str,
    handler: Handler = echo,
    *,
    options: PeerStreamOptions = FAST,
    secrets: tuple[bytes, ...] = (SECRET,),
    **tls: Any,
) -> Iterator[PeerStreams]:
    """Run one link that handles `Ask`."""
    identity = PeerIdentity(name, 1, "domain-1")
    streams = PeerStreams(identity, LOOPBACK, options, secrets=secrets, **tls)
    streams.register(Ask, handler)
    with streams:
        yield streams


def eventually(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds, up to a generous bound."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.005)
    return True
