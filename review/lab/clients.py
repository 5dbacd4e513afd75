"""Clients on the machines, and what they saw."""

import asyncio
import hashlib
import itertools
import random
import socket
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from lab.fleet import Machine
from lab.wire import STREAM_LIMIT, Message, encode, read_head, read_message

TIME_LIMIT_S = 6.0
SEGMENT_BYTES = 1448


@dataclass
class Sent:
    """
    A request and how it ended.

    `kept` is whether the connection had carried an earlier request. `status` is None
    without a complete answer; `end` then tells who closed the connection. `digest` is
    that of the body, None if it isn't compared with the one that a server got.
    """

    request_id: str
    machine: str
    kept: bool
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    end: str = ""
    digest: str | None = None

    def line(self) -> str:
        """Return the line for the record."""
        kept = "kept" if self.kept else "new"
        took_ms = 1000 * (self.ended_at - self.sent_at)
        result = self.status if self.status is not None else self.end
        return f"{self.request_id} {self.machine} {kept} {took_ms:.0f}ms -> {result}"


class Clients:
    """Sends requests and keeps what was sent."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self._prefix = uuid.uuid4().hex[:8]
        self._numbers: Iterator[int] = itertools.count(1)

    async def run_kept(
        self,
        machine: Machine,
        host: str,
        path: str,
        until: float,
        *,
        safe: bool = False,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send requests in turn on one kept connection; open it again."""
        method = "GET" if safe else "POST"
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    machine.host, machine.outbound, limit=STREAM_LIMIT
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                for number in itertools.count():
                    if time.monotonic() >= until:
                        return
                    sent = self._new(machine, kept=number > 0)
                    body = b"" if safe else f"{sent.request_id} ".encode() * 200
                    sent.digest = hashlib.sha256(body).hexdigest()[:12]
                    head = {**self._headers(host, sent), **(headers or {})}
                    data = encode(f"{method} {path} HTTP/1.1", head, body)
                    answer = await self._exchange(sent, data, reader, writer)
                    if answer is None or answer.headers.get("connection") == "close":
                        break
                    if answer.status == 503:
                        wait = answer.headers.get("retry-after", "0.3")
                        await asyncio.sleep(min(2.0, float(wait)))
            finally:
                writer.close()

    async def run_batches(
        self,
        machine: Machine,
        host: str,
        path: str,
        until: float,
        *,
        size: int,
        batch: int,
    ) -> None:
        """Send safe requests in batches on kept connections, the next one behind."""
        while time.monotonic() < until:
            reader, writer = await asyncio.open_connection(
                machine.host, machine.outbound, limit=STREAM_LIMIT
            )
            try:
                number, open_ = 0, True
                while open_ and time.monotonic() < until:
                    batch_sent = [
                        self._new(machine, kept=number + n > 0) for n in range(batch)
                    ]
                    number += batch
                    data = b"".join(
                        encode(
                            f"POST {path} HTTP/1.1",
                            self._headers(host, sent),
                            b"b" * size,
                        )
                        for sent in batch_sent
                    )
                    await _write_by_segments(data, writer)
                    for sent in batch_sent:
                        answer = await self._exchange(sent, b"", reader, writer)
                        if answer is None or "connection" in answer.headers:
                            open_ = False
                            break
            finally:
                writer.close()

    async def read_slowly(
        self, machine: Machine, host: str, path: str, bytes_per_s: float
    ) -> None:
        """Read the answer to one safe request slowly, and leave at the time limit."""
        sock = socket.socket()
        sock.setblocking(False)
        if bytes_per_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        loop = asyncio.get_running_loop()
        sent = self._new(machine, kept=False)
        data = encode(f"GET {path} HTTP/1.1", self._headers(host, sent))
        writer = None
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await loop.sock_connect(sock, (machine.host, machine.outbound))
                reader, writer = await asyncio.open_connection(sock=sock, limit=65_536)
                writer.write(data)
                head = await read_head(reader)
                sent.end = "closed by the daemon"
                left = int(head.headers["content-length"]) if head is not None else 0
                while left:
                    part = await reader.read(min(left, 65_536))
                    if not part:
                        return
                    left -= len(part)
                    if bytes_per_s:
                        await asyncio.sleep(len(part) / bytes_per_s)
                if head is not None:
                    sent.status = head.status
        except TimeoutError:
            sent.end = "left at its time limit"
        except OSError as error:
            sent.end = f"closed by the daemon: {type(error).__name__}"
        finally:
            sent.ended_at = time.monotonic()
            if writer is not None:
                writer.close()
            sock.close()

    async def upload(
        self, machine: Machine, host: str, path: str, size: int, bytes_per_s: float
    ) -> None:
        """Send one safe request with a body on a new connection, at a steady rate."""
        sent = self._new(machine, kept=False)
        head = {**self._headers(host, sent), "Content-Length": str(size)}
        lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in head.items())]
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    machine.host, machine.outbound
                )
                try:
                    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                    piece = b"u" * 65_536
                    for start in range(0, size, len(piece)):
                        ahead_s = start / bytes_per_s - (
                            time.monotonic() - sent.sent_at
                        )
                        if ahead_s > 0:
                            await asyncio.sleep(ahead_s)
                        writer.write(piece[: size - start])
                        await writer.drain()
                    answer = await read_message(reader)
                    sent.status = answer.status if answer is not None else None
                    sent.end = "closed by the daemon"
                finally:
                    writer.close()
        except TimeoutError:
            sent.end = "left at its time limit"
        except OSError as error:
            sent.end = f"closed by the daemon: {type(error).__name__}"
        sent.ended_at = time.monotonic()

    def _new(self, machine: Machine, *, kept: bool) -> Sent:
        request_id = f"{self._prefix}{next(self._numbers):06x}"
        sent = Sent(request_id, machine.name, kept, time.monotonic())
        self.sent.append(sent)
        return sent

    def _headers(self, host: str, sent: Sent) -> dict[str, str]:
        limit_ms = str(int(TIME_LIMIT_S * 1000))
        return {
            "Host": host,
            "X-Request-Id": sent.request_id,
            "X-Deadline-Ms": limit_ms,
        }

    async def _exchange(
        self,
        sent: Sent,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Message | None:
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                writer.write(data)
                await writer.drain()
                answer = await read_message(reader)
        except TimeoutError:
            sent.end, answer = "left at its time limit", None
        except OSError as error:
            sent.end, answer = f"closed by the daemon: {type(error).__name__}", None
        else:
            sent.end = "closed by the daemon"
            sent.status = answer.status if answer is not None else None
        sent.ended_at = time.monotonic()
        return answer


async def _write_by_segments(data: bytes, writer: asyncio.StreamWriter) -> None:
    """Write as a link delivers: some whole segments at a time."""
    start = 0
    while start < len(data):
        end = start + SEGMENT_BYTES * random.randint(8, 24)
        writer.write(data[start:end])
        await asyncio.sleep(0.001)
        start = end
