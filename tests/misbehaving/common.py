"""A daemon process with low limits, its store and server, and misbehaving clients."""

import asyncio
import contextlib
import http.client
import itertools
import json
import socket
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from damaskbay.adapters.http1.server import HttpServer
from damaskbay.config.objects import CallerLimits
from damaskbay.core.call import Request, Response
from damaskbay.platform.const import CONFIG_KEY
from damaskbay.platform.settings import METRICS_PORT
from tests.common import reserve_address
from tests.mesh.common import Backend, manifest
from tests.platform.kv_stand_in import KvStandIn
from tests.platform.processes import DaemonProcess

MEMORY_MB = 120
MAX_DESCRIPTORS = 250
MAX_BODY_BYTES = 8 * 1024 * 1024
CLIENTS = 40
PLAY_S = 3.0
SAMPLE_INTERVAL_S = 0.02
WAIT_S = 20.0
LARGE_PATH = "/safe/large"
LARGE_BYTES = 1024 * 1024
PIECE_BYTES = 64 * 1024
ROUTED = b"GET /safe/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\n"
UNROUTED = b"GET /x HTTP/1.1\r\nHost: b\r\n"
READY = b"GET /ready HTTP/1.1\r\nHost: b\r\n"

MakePieces = Callable[[], Iterable[bytes]]
"""Returns what one connection of a client sends, in pieces."""


@dataclass(frozen=True)
class Ports:
    """Where a daemon listens, apart from its peers."""

    callers: int
    readiness: int
    control: int
    metrics: int


class LimitedDaemon(DaemonProcess):
    """A daemon with limits on its memory and descriptors, and its backend server."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.max_descriptors = MAX_DESCRIPTORS
        self.backend = Backend("one", "i-n1", reserve_address())
        self.most_descriptors = 0

    def settings(self) -> str:
        """Return valid settings with a limit on the memory."""
        text = super().settings().replace("MaxFds", f"MemoryMb = {MEMORY_MB}\nMaxFds")
        return text.replace(f"{self.host}:1", str(self.backend.address))

    def ports(self) -> Ports:
        """Return the ports in the settings file."""
        listen = tomllib.loads(self.settings_path.read_text())["Listen"]
        control = int(listen["Control"].rpartition(":")[2])
        return Ports(self.port, self.readiness_port, control, METRICS_PORT)

    def heartbeat(self) -> bool:
        """Report the backend server ready; return whether that was confirmed."""
        report = {
            "Service": "one",
            "Address": str(self.backend.address),
            "State": "ready",
            "Slots": 8,
            "Seq": time.monotonic_ns(),
            "born": 1000,
        }
        path = f"/Instances.Heartbeat/{self.backend.server}"
        body = json.dumps(report).encode()
        return self.send(self.ports().control, "POST", path, {}, body) == 200

    def answers(self) -> bool:
        """Return whether an ordinary call succeeds; the server reports itself first."""
        headers = {
            "Host": "a.example",
            "Api-Key": "k1",
            "X-Request-Id": f"q{time.monotonic_ns()}",
            "X-Deadline-Ms": "2000",
        }
        self.heartbeat()
        return self.send(self.port, "GET", "/safe/ordinary", headers) == 200

    def send(
        self,
        port: int,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None = None,
    ) -> int:
        """Return the status of a response, 0 without one."""
        connection = http.client.HTTPConnection(self.host, port, timeout=3.0)
        with contextlib.closing(connection):
            try:
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException):
                return 0
            return response.status

    def sample(self) -> None:
        """Look at the open descriptors; the process has to be there."""
        assert self.process is not None
        status = self.process.poll()
        assert status is None, f"ended with status {status}: {self.log()[-2000:]}"
        count = sum(1 for _ in Path(f"/proc/{self.process.pid}/fd").iterdir())
        self.most_descriptors = max(self.most_descriptors, count)

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory that the process has had."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    def check_limits(self) -> None:
        """Assert that the process is there and serves, and has kept its limits."""
        try:
            self.sample()
            self.until(self.answers)
        finally:
            peak_mb, descriptors = self.peak_memory_mb(), self.most_descriptors
            print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors", flush=True)
        assert peak_mb <= MEMORY_MB, peak_mb
        assert descriptors <= MAX_DESCRIPTORS, descriptors


class Client:
    """One misbehaving client; it comes back when its connection is closed."""

    def __init__(
        self, address: tuple[str, int], make_pieces: MakePieces, reads_bytes: int = 0
    ) -> None:
        self._address = address
        self._make_pieces = make_pieces
        self._reads_bytes = reads_bytes
        self._sock: socket.socket | None = None
        self._pieces: Iterator[bytes] = iter(())
        self._rest = b""
        self._unread = 0

    def step(self) -> None:
        """Send what the connection takes, and read a part of what came."""
        try:
            if self._sock is None:
                self._open()
            self._read()
            self._send()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _open(self) -> None:
        self._sock = socket.create_connection(self._address, timeout=0.2)
        self._sock.setblocking(False)
        self._pieces, self._rest = iter(self._make_pieces()), b""
        self._unread = self._reads_bytes

    def _read(self) -> None:
        if self._unread and self._sock is not None:
            with contextlib.suppress(BlockingIOError):
                self._unread -= len(self._sock.recv(self._unread))

    def _send(self) -> None:
        """Send one piece, or what is left of the last one."""
        if self._sock is not None:
            self._rest = self._rest or next(self._pieces, b"")
            self._rest = self._rest[self._sock.send(self._rest) :]


@contextlib.contextmanager
def limited_daemon() -> Iterator[LimitedDaemon]:
    """Yield a daemon that serves, with its store and server; end it."""
    with tempfile.TemporaryDirectory() as folder:
        daemon = LimitedDaemon(Path(folder))
        daemon.backend.override_response = _large_response
        with _running(_serve_platform, daemon):
            try:
                daemon.start()
                daemon.until(daemon.answers)
                yield daemon
            finally:
                daemon.kill()


def play(
    daemon: LimitedDaemon,
    port: int,
    make_pieces: MakePieces,
    *,
    clients: int = CLIENTS,
    reads_bytes: int = 0,
) -> None:
    """Let clients send for PLAY_S seconds and leave; then check the limits."""
    address = (daemon.host, port)
    started = [Client(address, make_pieces, reads_bytes) for _ in range(clients)]
    ends_at, sample_at = time.monotonic() + PLAY_S, 0.0
    try:
        while (now := time.monotonic()) < ends_at:
            for client in started:
                client.step()
            if now >= sample_at:
                sample_at = now + SAMPLE_INTERVAL_S
                daemon.sample()
    finally:
        for client in started:
            client.close()
    daemon.check_limits()


def pipelined(head: bytes) -> MakePieces:
    """Return pieces of requests without an end, each with the lines of `head`."""
    request = head + b"\r\n"
    piece = request * (PIECE_BYTES // len(request) + 1)
    return lambda: itertools.repeat(piece)


def split(data: bytes, size: int) -> Sequence[bytes]:
    """Return pieces of so many bytes."""
    return [data[start : start + size] for start in range(0, len(data), size)]


async def _large_response(request: Request) -> Response | None:
    """Return the response to a request for a large one."""
    if request.target != LARGE_PATH:
        return None
    request_id = dict(request.headers).get("X-Request-Id", "")
    return Response(200, (("X-Request-Id", request_id),), bytes(LARGE_BYTES))


async def _serve_platform(daemon: LimitedDaemon, ended: asyncio.Event) -> None:
    """Run the store and the backend server."""
    kv, limits = KvStandIn(), CallerLimits()
    document: Any = manifest(1, ("k1",), 500, {})
    spec = {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": MAX_BODY_BYTES,
        "HeaderTimeout": "2s",
        "IdleTimeout": "4s",
    }
    resource = {"Type": "Limits", "Metadata": {"Name": "l"}, "Spec": spec}
    document["Resources"].append(resource)
    await kv.put(CONFIG_KEY, json.dumps(document).encode())
    store = HttpServer(reserve_address(), kv.serve, limits)
    backend = HttpServer(daemon.backend.address, daemon.backend.serve, limits)
    async with store, backend:
        daemon.store = str(store.address)
        daemon.backend.seen.clear()
        _started.set()
        await ended.wait()


_started = threading.Event()


@contextlib.contextmanager
def _running(serve: Callable[..., Any], daemon: LimitedDaemon) -> Iterator[None]:
    """Run a coroutine function in a thread until the context is left."""
    loop, ended = asyncio.new_event_loop(), asyncio.Event()
    _started.clear()
    thread = threading.Thread(
        target=loop.run_until_complete, args=(serve(daemon, ended),)
    )
    thread.start()
    try:
        assert _started.wait(WAIT_S)
        yield
    finally:
        loop.call_soon_threadsafe(ended.set)
        thread.join(WAIT_S)
        loop.close()
