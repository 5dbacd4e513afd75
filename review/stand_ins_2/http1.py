"""Small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

Headers = list[tuple[str, str]]


@dataclass
class Message:
    """A request or a response; `first` are the words of its first line."""

    first: list[str]
    headers: Headers
    body: bytes = b""
    received: bytes = b""
    by_name: dict[str, str] = field(init=False)

    def __post_init__(self) -> None:
        self.by_name = {name.lower(): value for name, value in reversed(self.headers)}

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


@dataclass
class Reply:
    """A response to send; `close` closes the connection after it."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    close: bool = False


Handler = Callable[[Message], Awaitable[Reply | None]]
"""Returns the response, or None to close the connection without one."""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers: Headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    message = Message(first.split(" ", 2), headers)
    length = message.by_name.get("content-length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif message.by_name.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


def encode_request(
    method: str, target: str, headers: Headers, body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {reply.status} Status"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    lines.append(f"Content-Length: {len(reply.body)}")
    if reply.close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + reply.body


class Listener:
    """Serves one request at a time on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._connections: set[asyncio.Task[None]] = set()
        self.port = 0

    async def open(self, host: str, port: int) -> None:
        """Listen on an address; port 0 stands for a free one."""
        self._server = await asyncio.start_server(self._accept, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections, as the end of a process does."""
        self._server.close()
        for task in tuple(self._connections):
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await read_message(reader)) is not None:
                reply = await _answer(self._handler, request, reader)
                if reply is None:
                    break
                writer.write(encode_reply(reply))
                await writer.drain()
                if reply.close:
                    break
        writer.close()


async def _answer(
    handler: Handler, request: Message, reader: asyncio.StreamReader
) -> Reply | None:
    """Return the response; cancel the handler if the caller closes before it."""
    work = asyncio.ensure_future(handler(request))
    try:
        while not work.done():
            await asyncio.wait([work], timeout=0.05)
            if reader.at_eof() or reader.exception() is not None:
                return None
        return work.result()
    finally:
        work.cancel()


async def exchange(
    host: str, port: int, request: bytes, *, timeout_s: float
) -> Message | None:
    """Send a request on a new connection; return None without a complete response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
