"""
Stand-in for an application server: `python -m lab.server OPTIONS-AS-JSON`.

It writes one JSON line for each request that it begins or ends to its log. The path
`/PREFIX/WORK_MS-BYTES` tells how long it works and how long its answer is. While it is
`spoiling` (between two SIGUSR1), every `spoil_every`-th answer has no end, or is lost
by a reset if `spoil` is "reset". From SIGUSR2 on it reports that it is draining, and
goes on serving.
"""

import asyncio
import contextlib
import hashlib
import itertools
import json
import signal
import socket
import struct
import sys
import time
from pathlib import Path
from typing import Any

from lab.wire import STREAM_LIMIT, Message, call, encode, read_message

HEARTBEAT_S = 1.5
PIECE = b"2\r\nab\r\n"
NO_LINGER = struct.pack("ii", 1, 0)
"""Closes a connection by a reset."""


class Server:
    """One application server; requests beyond its slots are rejected as not run."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.running = 0
        self.spoiling = False
        self._state = "ready"
        self._seq = itertools.count(1)
        self._answers = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._log = Path(options["log"]).open("a", buffering=1)  # noqa: SIM115

    def write(self, event: str, request_id: str, **fields: object) -> None:
        """Write one line to the log."""
        line = {"t": time.monotonic(), "server": self.options["id"], "event": event}
        self._log.write(json.dumps({**line, "id": request_id, **fields}) + "\n")

    def toggle_spoiling(self) -> None:
        """Begin or end to spoil answers."""
        self.spoiling = not self.spoiling

    async def drain(self) -> None:
        """Report that this server leaves; log when a daemon has confirmed it."""
        self._state = "draining"
        while not await self._send_heartbeat():
            await asyncio.sleep(0.2)
        self.write("acked", "")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether to keep the connection."""
        method, path, _ = request.start.split(" ")
        options, headers = self.options, request.headers
        request_id = headers.get("x-request-id", "")
        reply = {"X-Request-Id": request_id} if request_id else {}
        if path == "/healthz":
            start = "200 OK" if self._state == "ready" else "503 Service Unavailable"
            writer.write(
                encode(f"HTTP/1.1 {start}", {"X-Instance-Id": options["id"]}, b"")
            )
            await writer.drain()
            return True
        if headers.get("x-expect-instance", options["id"]) != options["id"]:
            reply["X-Instance-Id"] = options["id"]
            writer.write(encode("HTTP/1.1 421 Misdirected Request", reply))
            await writer.drain()
            return True
        if self.running >= options["slots"]:
            reply["X-Not-Executed"] = "1"
            writer.write(encode("HTTP/1.1 503 Service Unavailable", reply))
            await writer.drain()
            return True
        self.running += 1
        digest = hashlib.sha256(request.body).hexdigest()[:12]
        sizes = {"bytes": len(request.body), "digest": digest}
        self.write("begin", request_id, method=method, path=path, **sizes)
        try:
            work_ms, _, size = path.partition("?")[0].rpartition("/")[2].partition("-")
            ended = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({ended}, timeout=int(work_ms) / 1000)
            if done:
                self.write("dropped", request_id)
                return False
            ended.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await ended
            reply["X-Server-Stamp"] = f"stamp.{options['id']}.{request_id}"
            number = next(self._answers)
            if self.spoiling and number % options["spoil_every"] == 0:
                self.write("spoil", request_id)
                if options.get("spoil") == "reset":
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                    writer.transport.abort()
                    return False
                await self._send_without_end(reply, writer)
                return False
            writer.write(encode("HTTP/1.1 200 OK", reply, b"x" * int(size)))
            await writer.drain()
            self.write("end", request_id)
            return True
        finally:
            self.running -= 1

    async def _send_without_end(
        self, reply: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Send pieces of a body until the caller closes."""
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in reply.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        pieces = PIECE * 20_000
        while True:
            writer.write(pieces)
            await writer.drain()

    async def send_heartbeats(self) -> None:
        """Report to the daemon beside this server, until cancelled."""
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self) -> bool:
        """Send one report; return whether it was confirmed."""
        options = self.options
        report = {
            "Service": options["service"],
            "Address": f"{options['host']}:{options['port']}",
            "Zone": options["zone"],
            "Version": "v1",
            "Slots": options["slots"],
            "State": self._state,
            "ColdRemaining": "0ms",
            "Seq": next(self._seq),
            "born": self._born,
        }
        path = f"/Instances.Heartbeat/{options['id']}"
        body = json.dumps(report).encode()
        reply = await call(options["host"], options["control"], "POST", path, body)
        return reply is not None and 200 <= reply.status < 300


async def main() -> None:
    """Serve until the process is ended."""
    options = json.loads(sys.argv[1])
    server = Server(options)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, server.toggle_spoiling)
    draining: list[asyncio.Task[None]] = []
    loop.add_signal_handler(
        signal.SIGUSR2, lambda: draining.append(loop.create_task(server.drain()))
    )
    listener = await asyncio.start_server(
        server.serve, options["host"], options["port"], limit=STREAM_LIMIT
    )
    async with listener, asyncio.TaskGroup() as group:
        group.create_task(server.send_heartbeats())
        await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
