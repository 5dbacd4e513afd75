"""HTTP/1.1 on asyncio streams, as little as the stand-ins need."""

import asyncio
import contextlib
from dataclasses import dataclass, field

STREAM_LIMIT = 256 * 1024


@dataclass
class Message:
    """A request or a response; `start` is its first line."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None if the connection has ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next complete message, None if the connection ends before."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Send one request on a connection of its own; return the response or None."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                headers = {"Host": f"{host}:{port}", "Content-Type": "application/json"}
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                return await read_message(reader)
            finally:
                writer.close()
                with contextlib.suppress(ConnectionError):
                    await writer.wait_closed()
    except (OSError, TimeoutError):
        return None
