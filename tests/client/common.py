"""Fixtures: a fake daemon with scripted responses, and clients for it."""

import contextlib
import random
import socket
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from damaskbay.client import Client, ClientOptions, DaemonAddress

HOST = "127.0.0.1"
DEADLINE_S = 10.0
KEY = "a-caller-key"


@dataclass(frozen=True, slots=True)
class ScriptedResponse:
    """Bytes to send in response to a request; `keep` leaves the connection open."""

    data: bytes
    keep: bool = True


Script = Callable[[int, str], ScriptedResponse]
"""Function that returns a response; called with the request's number and head."""


def complete_response(
    body: bytes = b"ok", status: int = 200, **headers: str
) -> ScriptedResponse:
    """Return a complete HTTP response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ScriptedResponse("\r\n".join([*lines, "", ""]).encode() + body)


def refusal_response(
    outcome: str, reason: str, status: int = 503, retry_after: str = ""
) -> ScriptedResponse:
    """Return a daemon's refusal as an HTTP response."""
    headers = {"Damaskbay_Outcome": outcome, "Damaskbay_Reason": reason}
    if retry_after:
        headers["Retry_After"] = retry_after
    return complete_response(b'{"detail":"for people"}', status, **headers)


@dataclass(slots=True)
class ScriptedDaemon:
    """Fake daemon whose responses come from a script."""

    script: Script
    address: DaemonAddress
    heads: list[str] = field(default_factory=list)
    connections: int = 0

    def serve(self, listener: socket.socket, executor: ThreadPoolExecutor) -> None:
        """Accept connections until the listener is shut down."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                self.connections += 1
                executor.submit(self._serve_one, sock)

    def _serve_one(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as reader:
            while True:
                head = self._read_request(reader)
                if not head:
                    return
                self.heads.append(head)
                response = self.script(len(self.heads), head)
                sock.sendall(response.data)
                if not response.keep:
                    return

    def _read_request(self, reader: Any) -> str:
        lines = []
        while (line := reader.readline()) not in (b"\r\n", b""):
            lines.append(line.decode("latin-1"))
        length = next((li for li in lines if li.lower().startswith("content-le")), "")
        reader.read(int(length.split(":")[1])) if length else None
        return "".join(lines)


@contextmanager
def daemon(script: Script) -> Iterator[ScriptedDaemon]:
    """Run a scripted daemon on loopback."""
    with (
        socket.create_server((HOST, 0)) as listener,
        ThreadPoolExecutor(16) as executor,
    ):
        port = listener.getsockname()[1]
        scripted = ScriptedDaemon(script, DaemonAddress(HOST, port))
        executor.submit(scripted.serve, listener, executor)
        try:
            yield scripted
        finally:
            listener.shutdown(socket.SHUT_RDWR)


@contextmanager
def client(
    *addresses: DaemonAddress, sleeps: list[float] | None = None, **options: Any
) -> Iterator[Client]:
    """Run a client that records its delays in `sleeps` instead of sleeping."""
    with Client(
        addresses,
        KEY,
        ClientOptions(**options),
        rng=random.Random(3),
        sleep=(sleeps if sleeps is not None else []).append,
    ) as started:
        yield started
