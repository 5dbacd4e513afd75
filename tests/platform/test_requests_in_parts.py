"""
Pattern: requests in parts meet pauses and the stop of a daemon process.

There is no store, so each request that was read gets 503.
"""

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

from damaskbay.platform.const import SETTINGS_VARIABLE
from tests.common import ROOT, daemon_command, function_suite, reserve_address

WAIT_S = 20.0
GRACE_S = 3.0
PIECE_PAUSE_S = 0.02
STILL_S, TURN_S = 0.07, 0.1
"""How long the process stands still in each turn, seconds."""

PAUSE_S = 1.0
SENDING_S = 0.8
"""How long a caller goes on sending after its request was rejected, seconds."""

GET = b"GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"HEAD /a/ HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /a/ HTTP/1.1\r\nHost: a\r\n"
UPGRADE = GET[:-2] + b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n\r\n"
EXPECTING = POST + b"Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"
CONTINUE = b"100 Continue\r\n\r\n"

PIECES_BY_CASE: dict[str, tuple[bytes | None, ...]] = {
    "whole": (GET,),
    "head in pieces": tuple(GET[start : start + 9] for start in range(0, len(GET), 9)),
    "body in pieces": (POST + b"Content-Length: 4\r\n\r\n", b"a", b"b", b"cd"),
    "chunks": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n4",
        b"\r\nabcd\r\n0",
        b"\r\n\r\n",
    ),
    "expecting": (EXPECTING, None, b"body"),
    "expecting behind another": (GET + EXPECTING, None, b"body"),
    "pipelined": (GET + GET[:20], GET[20:] + HEAD + UPGRADE),
    "upgrade": (UPGRADE[:50], UPGRADE[50:]),
}
"""What a caller sends; at None it waits for 100 Continue."""


class _Daemon:
    """A daemon process without a store."""

    def __init__(self, folder: Path) -> None:
        number = os.getpid()
        self.host = f"127.201.{number // 250 % 250 + 1}.{number % 250 + 1}"
        self.port, readiness, control, peers = (
            reserve_address().port for _ in range(4)
        )
        path = folder / "node.toml"
        path.write_text(f"""
Node = "n1"
Ip = "{self.host}"
Zone = "a"
Service = "one"
AppAddr = "{self.host}:1"
PortRange = [{peers}, {peers + 1}]
[Listen]
Outbound = "{self.host}:{self.port}"
Readiness = "{self.host}:{readiness}"
Control = "{self.host}:{control}"
[Bounds]
Grace = "{GRACE_S}s"
[Platform]
Address = "{self.host}:2"
""")
        self.process = subprocess.Popen(
            daemon_command(),
            cwd=ROOT,
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.DEVNULL,
        )

    def connect(self) -> socket.socket:
        """Return a new connection, also while the daemon starts."""
        ends_at = time.monotonic() + WAIT_S
        while True:
            try:
                return socket.create_connection((self.host, self.port), WAIT_S)
            except ConnectionRefusedError:
                assert time.monotonic() < ends_at, "daemon does not listen"
                time.sleep(0.02)

    def stand_still(self, ended: threading.Event) -> None:
        """Stop and continue the process in turns until `ended`."""
        while not ended.is_set():
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(STILL_S)
            self.process.send_signal(signal.SIGCONT)
            time.sleep(TURN_S - STILL_S)


@contextlib.contextmanager
def _daemon() -> Iterator[_Daemon]:
    with tempfile.TemporaryDirectory() as folder:
        daemon = _Daemon(Path(folder))
        try:
            yield daemon
        finally:
            daemon.process.kill()
            daemon.process.wait()


def _statuses(received: bytes | bytearray) -> list[int]:
    """Return the statuses of the final responses, none of which has a body."""
    heads = received.split(b"HTTP/1.1 ")[1:]
    return [int(head[:3]) for head in heads if not head.startswith(b"100")]


def _receive(caller: socket.socket, received: bytearray) -> None:
    data = caller.recv(65_536)
    assert data, f"connection ends after {bytes(received)!r}"
    received += data


def _send(caller: socket.socket, pieces: tuple[bytes | None, ...]) -> bytes:
    """Send the pieces of some requests; return all responses."""
    received = bytearray()
    sent = b"".join(piece or b"" for piece in pieces)
    count = sum(sent.count(method) for method in (b"GET ", b"HEAD ", b"POST "))
    for piece in pieces:
        if piece is None:
            while not received.endswith(CONTINUE):
                _receive(caller, received)
        else:
            caller.sendall(piece)
            time.sleep(PIECE_PAUSE_S)
    while len(_statuses(received)) < count or not received.endswith(b"\r\n\r\n"):
        _receive(caller, received)
    return bytes(received)


# Guards against LOST: parts of requests that come while the process stands still.
def test_requests_in_parts_are_answered_by_a_process_that_stands_still() -> None:
    """Each gets its answer, on a kept connection, also behind other requests."""
    with _daemon() as daemon, daemon.connect() as caller:
        ended = threading.Event()
        thread = threading.Thread(target=daemon.stand_still, args=(ended,))
        thread.start()
        try:
            for _, (case, pieces) in itertools.product(
                range(2), PIECES_BY_CASE.items()
            ):
                statuses = set(_statuses(_send(caller, pieces)))
                assert statuses == {503}, (case, statuses)
        finally:
            ended.set()
            thread.join()


# Guards against LOST: requests sent while a process stood still before its stop.
def test_requests_that_wait_as_a_stop_begins_are_answered() -> None:
    """The stop is the first thing that the process learns as it goes on."""
    with _daemon() as daemon, contextlib.ExitStack() as stack:
        kept = [stack.enter_context(daemon.connect()) for _ in PIECES_BY_CASE]
        for caller in kept:
            _send(caller, (GET,))
        daemon.process.send_signal(signal.SIGSTOP)
        daemon.process.send_signal(signal.SIGTERM)
        new = [stack.enter_context(daemon.connect()) for _ in PIECES_BY_CASE]
        for caller in (*kept, *new):
            caller.sendall(GET)
        time.sleep(PAUSE_S)
        daemon.process.send_signal(signal.SIGCONT)
        for caller in (*kept, *new):
            received = bytearray()
            while not received.endswith(b"\r\n\r\n"):
                _receive(caller, received)
            assert _statuses(received) == [503], received
        assert daemon.process.wait(GRACE_S) == 0


# Guards against 408 that a reset destroys: the process ended while its caller sent on.
def test_a_caller_that_sends_on_gets_its_rejection_in_a_stop() -> None:
    """The process stays until the caller has read its answer and closed."""
    with _daemon() as daemon, daemon.connect() as caller:
        caller.sendall(POST + b"Content-Length: 1000000\r\n\r\n")
        daemon.process.send_signal(signal.SIGTERM)
        caller.settimeout(PIECE_PAUSE_S)
        received, ends_at = bytearray(), time.monotonic() + GRACE_S
        while time.monotonic() < ends_at:
            caller.sendall(b"a")
            try:
                data = caller.recv(65_536)
            except TimeoutError:
                continue
            assert data or received, "closed without an answer"
            if data:
                ends_at = time.monotonic() + SENDING_S
                received += data
            else:
                time.sleep(PIECE_PAUSE_S)
        assert _statuses(received) == [408], received
        caller.close()
        assert daemon.process.wait(GRACE_S) == 0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
