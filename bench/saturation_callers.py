"""Callers of the saturation measurement: a fixed rate, or one request at a time."""

import asyncio
import itertools
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from random import Random

from bench.saturation_calls import (
    CLOSED,
    HOST_HEADER,
    NO_ANSWER,
    NOT_CONNECTED,
    PATIENCE_S,
    ROOT_METHODS,
    STAMP_HEADER,
    TIME_LIMIT_S,
    WORKSPACES_BY_KEY,
    Sent,
    WorkerState,
)
from damaskbay.adapters.http1.client import encode_request
from damaskbay.core.call import Headers, Request
from damaskbay.helpers.arrivals import timeout_after_reading
from damaskbay.ports.peer import PeerAddress

NEW_CONNECTION_SHARE = 0.2
RECONNECT_S = 0.1
HEAD_END = b"\r\n\r\n"
SOCKETS_INTERVAL_S = 0.25
"""Least time between two looks at the table of sockets, seconds."""


@dataclass(frozen=True)
class Load:
    """
    One step of load.

    Either requests arrive at `rate_per_s`, or each machine has `callers` that send the
    next request after the response to the last. The part `obey_share` of them, 0 to 1,
    waits for Retry-After before that.
    """

    seconds: float
    rate_per_s: float = 0.0
    callers: int = 0
    obey_share: float = 0.0


@dataclass(frozen=True)
class Target:
    """A machine and the address of its daemon."""

    machine: str
    address: PeerAddress


class SocketTable:
    """Where the bytes of a connection are: from the kernel's table of sockets."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._read_at = 0.0

    def find_place(self, daemon: PeerAddress, caller: tuple[str, int]) -> str:
        """Return whether the daemon has accepted a connection, and read all of it."""
        if time.monotonic() - self._read_at > SOCKETS_INTERVAL_S:
            self._read()
        ends = _encode(daemon.host, daemon.port), _encode(*caller)
        if ends not in self._rows:
            return "gone"
        unread, inode = self._rows[ends]
        if inode == "0":
            return "not accepted"
        return "unread" if unread else "read"

    def _read(self) -> None:
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        self._rows = {
            (words[1], words[2]): (int(words[4].partition(":")[2], 16), words[9])
            for words in map(str.split, lines)
        }
        self._read_at = time.monotonic()


def _encode(host: str, port: int) -> str:
    """Return an address as the kernel's table has it."""
    octets = [int(part) for part in host.split(".")]
    return "".join(f"{octet:02X}" for octet in reversed(octets)) + f":{port:04X}"


@dataclass
class Connection:
    """Connection to a daemon that carries one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    reusable: bool = True

    @classmethod
    async def connect(cls, address: PeerAddress) -> "Connection":
        """Connect; raise OSError."""
        return cls(*await asyncio.open_connection(address.host, address.port))

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self.writer.close()

    @property
    def name(self) -> tuple[str, int]:
        """Return the address of the caller's end."""
        host, port = self.writer.get_extra_info("sockname")[:2]
        return str(host), int(port)

    async def exchange(self, encoded: bytes, sent: Sent) -> None:
        """Send a request and read its response; raise OSError, IncompleteReadError."""
        self.writer.write(encoded)
        head = await self.reader.readuntil(HEAD_END)
        status_line, *lines = head.decode("latin-1").strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        sent.status = int(status_line.split()[1])
        sent.stamped = STAMP_HEADER in headers
        if "retry-after" in headers:
            sent.retry_after_s = float(headers["retry-after"])


class Callers:
    """Callers of the machines at `targets`; all of them record into `state`."""

    def __init__(
        self, name: str, targets: list[Target], state: WorkerState, rng: Random
    ) -> None:
        self._targets = targets
        self._state = state
        self._rng = rng
        self._ids = (f"{name}-{number}" for number in itertools.count())
        self._sockets = SocketTable()
        self._idle: dict[str, deque[Connection]] = {
            target.machine: deque() for target in targets
        }

    async def run(self, load: Load) -> None:
        """Run a step of load; return when each request of it has ended."""
        ends_at = time.monotonic() + load.seconds
        async with asyncio.TaskGroup() as group:
            if load.rate_per_s:
                await self._send_at_rate(group, load.rate_per_s, ends_at)
            for target in self._targets:
                for number in range(load.callers):
                    obeys = (number + 0.5) / load.callers < load.obey_share
                    group.create_task(self._call_in_turn(target, ends_at, obeys=obeys))
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that are kept."""
        for connections in self._idle.values():
            while connections:
                connections.pop().close()

    async def _send_at_rate(
        self, group: asyncio.TaskGroup, rate_per_s: float, ends_at: float
    ) -> None:
        next_at = time.monotonic()
        while next_at < ends_at:
            group.create_task(self._send_open(self._rng.choice(self._targets)))
            next_at += 1.0 / rate_per_s
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    async def _send_open(self, target: Target) -> None:
        """Send a request on a kept connection or a new one."""
        idle = self._idle[target.machine]
        connection = None
        if self._rng.random() >= NEW_CONNECTION_SHARE:
            while idle and connection is None:
                connection = idle.pop()
                if connection.reader.at_eof():
                    connection.close()
                    connection = None
        _, connection = await self._send(target, connection)
        if connection is not None:
            idle.append(connection)

    async def _call_in_turn(
        self, target: Target, ends_at: float, *, obeys: bool
    ) -> None:
        """Send one request after the other on a connection, until it is closed."""
        connection: Connection | None = None
        while time.monotonic() < ends_at:
            sent, connection = await self._send(target, connection)
            if sent.failure == NOT_CONNECTED:
                await asyncio.sleep(RECONNECT_S)
            elif obeys and sent.retry_after_s is not None:
                left_s = max(0.0, ends_at - time.monotonic())
                await asyncio.sleep(min(left_s, sent.retry_after_s))
        if connection is not None:
            connection.close()

    async def _send(
        self, target: Target, connection: Connection | None
    ) -> tuple[Sent, Connection | None]:
        """Send one request; return it and its connection if it can be used again."""
        path = self._rng.choice(tuple(ROOT_METHODS))
        sent = Sent(next(self._ids), path, target.machine, time.monotonic())
        self._state.report.sent.append(sent)
        try:
            async with timeout_after_reading(PATIENCE_S):
                if connection is None:
                    connection = await Connection.connect(target.address)
                await connection.exchange(self._encode(sent), sent)
        except TimeoutError:
            sent.failure = NO_ANSWER
            sent.place = "not accepted"
            if connection is not None:
                sent.place = self._sockets.find_place(target.address, connection.name)
                connection.writer.transport.abort()
                connection.close()
        except (OSError, RuntimeError, asyncio.IncompleteReadError):
            # uvloop raises RuntimeError where the connection has just been closed.
            sent.failure = NOT_CONNECTED if connection is None else CLOSED
            if connection is not None:
                connection.close()
        sent.ended_at = time.monotonic()
        if connection is not None and not connection.reusable:
            connection = None
        return sent, connection

    def _encode(self, sent: Sent) -> bytes:
        headers: Headers = (
            ("X-Request-Id", sent.request_id),
            ("X-Deadline-Ms", str(int(TIME_LIMIT_S * 1000.0))),
            ("Api-Key", self._rng.choice(tuple(WORKSPACES_BY_KEY))),
        )
        method = ROOT_METHODS[sent.path]
        body = b"body" * 50 if method == "POST" else b""
        target = f"/{sent.path}/x"
        return encode_request(Request(method, HOST_HEADER, target, headers, body))
