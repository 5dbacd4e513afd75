"""Fixtures: peer links on loopback, test messages, and peers that misbehave."""

import contextlib
import dataclasses
import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any

from damaskbay.adapters.peer_stream import PeerStreamOptions, PeerStreams
from damaskbay.adapters.peer_stream.frames import (
    Frame,
    FrameKind,
    FrameReader,
    encode,
)
from damaskbay.adapters.peer_stream.proof import Handshake, Role
from damaskbay.helpers.messages import message, pack
from damaskbay.ports.peer import Handler, PeerAddress, PeerIdentity, Responder

WAIT_S = 10.0
SECRET = b"an old peer secret"
NEW_SECRET = b"a newer peer secret"
RAW_RECEIVE_BYTES = 65_536
MAX_RAW_FRAME_BYTES = 32 * 1024 * 1024
LOOPBACK = PeerAddress("127.0.0.1", 0)
LONG_TIMEOUTS = PeerStreamOptions(
    heartbeat_s=WAIT_S,
    idle_heartbeat_s=WAIT_S,
    handshake_timeout_s=WAIT_S,
    tick_s=0.01,
    reconnect_delay_s=0.0,
)
"""Timeouts so long that no peer is found unresponsive on a busy machine."""

SHORT_TIMEOUTS = dataclasses.replace(
    LONG_TIMEOUTS, heartbeat_s=0.1, idle_heartbeat_s=0.1, handshake_timeout_s=0.5
)


@message("test.peer.ask")
@dataclass(frozen=True, slots=True)
class Request:
    """Request that is echoed."""

    number: int
    body: bytes = b""


@message("test.peer.tell")
@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a request."""

    number: int
    body: bytes = b""


def echo(_peer: PeerIdentity, item: Any, responder: Responder) -> None:
    """Reply with the content of the request."""
    responder.reply(Reply(item.number, item.body))


@contextmanager
def link(
    name: str,
    handler: Handler = echo,
    *,
    options: PeerStreamOptions = LONG_TIMEOUTS,
    secrets: tuple[bytes, ...] = (SECRET,),
    **tls: Any,
) -> Iterator[PeerStreams]:
    """Run one link that handles `Request`."""
    identity = PeerIdentity(name, 1, "domain-1")
    streams = PeerStreams(identity, LOOPBACK, options, secrets=secrets, **tls)
    streams.register(Request, handler)
    with streams:
        yield streams


class Forwarder:
    """TCP proxy to a link; can drop all data or close after a number of bytes."""

    def __init__(self, target: PeerAddress) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._pool = ThreadPoolExecutor(32)
        self._sockets: list[socket.socket] = []
        self._frozen: set[tuple[int, str]] = set()
        self.connections = 0
        self.cut_after: dict[str, int] = {}
        self.address = PeerAddress("127.0.0.1", self._listener.getsockname()[1])

    def __enter__(self) -> "Forwarder":
        self._pool.submit(self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._pool.shutdown()
        for sock in (self._listener, *self._sockets):
            sock.close()

    def freeze(self, *directions: str) -> None:
        """Drop all further data of the open connections in the given directions."""
        for number in range(self.connections):
            self._frozen |= {(number, direction) for direction in directions}

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                incoming, _ = self._listener.accept()
                outgoing = socket.create_connection(
                    (self._target.host, self._target.port)
                )
                self._sockets += [incoming, outgoing]
                number = self.connections
                self.connections += 1
                self._pool.submit(self._copy, number, "forward", incoming, outgoing)
                self._pool.submit(self._copy, number, "backward", outgoing, incoming)

    def _copy(
        self,
        number: int,
        direction: str,
        source: socket.socket,
        destination: socket.socket,
    ) -> None:
        remaining = self.cut_after.get(direction, 1 << 40)
        with contextlib.suppress(OSError):
            while remaining and (data := source.recv(65_536)):
                if (number, direction) not in self._frozen:
                    destination.sendall(data[:remaining])
                remaining -= min(remaining, len(data))
        for sock in (source, destination):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class RawPeer:
    """End of a stream that is controlled by a test, which may write any bytes."""

    def __init__(self, sock: socket.socket, role: Role) -> None:
        self.sock = sock
        sock.settimeout(WAIT_S)
        identity = PeerIdentity("raw", 1, "domain-1")
        self.handshake = Handshake(role, identity, (SECRET,))
        self.reader = FrameReader(MAX_RAW_FRAME_BYTES)
        self.frames: list[Frame] = []

    def authenticate(self) -> None:
        """Complete the handshake."""
        self.sock.sendall(self.handshake.start())
        while not self.handshake.authenticated:
            frame = self.read()
            assert frame is not None
            self.sock.sendall(self.handshake.handle(frame))

    def read(self) -> Frame | None:
        """Return the next frame, None at the end; reply to pings meanwhile."""
        while True:
            while self.frames:
                frame = self.frames.pop(0)
                if frame.kind is not FrameKind.PING:
                    return frame
                self.sock.sendall(encode(FrameKind.PONG))
            try:
                data = self.sock.recv(65_536)
            except ConnectionError:
                return None
            if not data:
                return None
            self.frames = self.reader.feed(data)

    def send(self, kind: FrameKind, correlation_id: int, item: Any) -> None:
        """Send a message in a frame."""
        self.sock.sendall(encode(kind, correlation_id, pack(item)))


@contextmanager
def raw_initiator(link: PeerStreams) -> Iterator[RawPeer]:
    """Connect to a link without a handshake."""
    address = (link.address.host, link.address.port)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RAW_RECEIVE_BYTES)
        sock.connect(address)
        yield RawPeer(sock, Role.INITIATOR)


@contextmanager
def raw_listener() -> Iterator[tuple[PeerAddress, Callable[[], RawPeer]]]:
    """Listen for links; yield the address and a function that accepts a stream."""
    with socket.create_server(("127.0.0.1", 0)) as listener, ExitStack() as stack:
        listener.settimeout(WAIT_S)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RAW_RECEIVE_BYTES)

        def accept() -> RawPeer:
            sock = stack.enter_context(listener.accept()[0])
            return RawPeer(sock, Role.ACCEPTOR)

        yield PeerAddress("127.0.0.1", listener.getsockname()[1]), accept


def eventually(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return False after WAIT_S."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.005)
    return True
