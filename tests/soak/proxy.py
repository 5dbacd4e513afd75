"""Loopback TCP proxy that delays, drops or resets what it forwards."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Self

from damaskbay.ports.peer import PeerAddress

CHUNK_BYTES = 65_536
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_CHUNKS = b"2\r\nxx\r\n" * 1024
ENDLESS_PAUSE_S = 0.002


@dataclass
class ProxyFaults:
    """
    Faults to inject.

    `delay_s` delays each chunk. `drop_all` drops the data of both directions,
    `drop_from_server` only that of the server. `reset_new` resets new connections.
    With `endless`, a body in short chunks without an end replaces each response.
    """

    delay_s: float = 0.0
    drop_all: bool = False
    drop_from_server: bool = False
    reset_new: bool = False
    endless: bool = False


class LoopbackProxy:
    """
    Forwards connections to one address; an async context manager.

    `accepted` counts the connections that it took.
    """

    def __init__(self, target: PeerAddress) -> None:
        self.address = PeerAddress(target.host, 0)
        self.faults = ProxyFaults()
        self.accepted = 0
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._accept, self.address.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = PeerAddress(self.address.host, port)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence_open(self) -> None:
        """Pass nothing on any more on the open connections; new ones work."""
        self._silent |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.faults.reset_new:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(server_writer)
        # Streams report a handler that is cancelled at the end of a run as failed.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, server_writer, from_server=False),
                self._forward(server_reader, writer, from_server=True),
            )
        self._writers -= {writer, server_writer}
        self._silent -= {writer, server_writer}
        writer.close()
        server_writer.close()

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Send chunks until the other end closes, or the fault ends."""
        writer.write(ENDLESS_HEAD)
        while self.faults.endless and not writer.is_closing():
            writer.write(ENDLESS_CHUNKS)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_server: bool,
    ) -> None:
        """Forward one direction until end of stream, then close the writer."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                if (
                    self.faults.drop_all
                    or (from_server and self.faults.drop_from_server)
                    or writer in self._silent
                ):
                    continue
                if from_server and self.faults.endless:
                    await self._send_without_end(writer)
                    break
                writer.write(chunk)
                await writer.drain()
        if writer not in self._silent:
            writer.close()
