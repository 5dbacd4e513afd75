"""Fixtures: a daemon that answers from a script, and clients of it."""

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
class Reply:
    """Bytes to send for a request, and whether the connection stays open."""

    data: bytes
    keep: bool = True


Script = Callable[[int, str], Reply]
"""Called with the number of the request and its head."""


def whole(body: bytes = b"ok", status: int = 200, **headers: str) -> Reply:
    """Return a reply that is a whole HTTP answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return Reply("\r\n".join([*lines, "", ""]).encode() + body)


def refused(
    outcome: str, reason: str, status: int = 503, retry_after: str = ""
) -> Reply:
    """Return a reply that is a daemon's refusal."""
    headers = {"Damaskbay_Outcome": outcome, "Damaskbay_Reason": reason}
    if retry_after:
        headers["Retry_After"] = retry_after
    return whole(b'{"detail":"for people"}', status, **headers)


@dataclass(slots=True)
class ScriptedDaemon:
    """A listener whose answers come from a script."""

    script: Script
    address: DaemonAddress
    heads: list[str] = field(default_factory=list)
    connections: int = 0

    def serve(self, listener: socket.socket, pool: ThreadPoolExecutor) -> None:
        """Accept until the listener is shut down."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                self.connections += 1
                pool.submit(self._serve_one, sock)

    def _serve_one(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as reader:
            while True:
                head = self._read_request(reader)
                if not head:
                    return
                self.heads.append(head)
                reply = self.script(len(self.heads), head)
                sock.sendall(reply.data)
                if not reply.keep:
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
    with socket.create_server((HOST, 0)) as listener, ThreadPoolExecutor(16) as pool:
        port = listener.getsockname()[1]
        scripted = ScriptedDaemon(script, DaemonAddress(HOST, port))
        pool.submit(scripted.serve, listener, pool)
        try:
            yield scripted
        finally:
            listener.shutdown(socket.SHUT_RDWR)


@contextmanager
def client(
    *addresses: DaemonAddress, sleeps: list[float] | None = None, **options: Any
) -> Iterator[Client]:
    """Run a client that sleeps in no time."""
    with Client(
        addresses,
        KEY,
        ClientOptions(**options),
        rng=random.Random(3),
        sleep=(sleeps if sleeps is not None else []).append,
    ) as made:
        yield made
