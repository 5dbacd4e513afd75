"""One connection between two daemons: frames, requests under way, liveness."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, cast

from damaskbay.adapters.http1.sockets import set_tcp_options
from damaskbay.adapters.peer_link.const import MAX_FRAME_BYTES, MAX_RUNNING
from damaskbay.adapters.peer_link.exceptions import BadFrameError
from damaskbay.adapters.peer_link.frames import (
    Frame,
    FrameKind,
    FrameReader,
    encode,
)
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.messages import BadMessage, pack, unpack
from damaskbay.ports.peer import PeerFailure, PeerProblem

_LOGGER = logging.getLogger(__name__)

RequestHandler = Callable[[Any], Awaitable[Any]]
"""Serves a message and returns the answer; cancelled when the sender cancels."""

NoteHandler = Callable[["Link", Any], None]


def encode_note(message: Any) -> bytes:
    """Return the frame of a note, made once for all links that it goes to."""
    return encode(FrameKind.NOTE, 0, pack(message))


class Link(asyncio.Protocol):
    """
    One end of a connection. `heard_at` is when the last byte came.

    A `suspect` link has been silent for longer than notes take; new requests avoid it.
    """

    def __init__(
        self,
        on_request: RequestHandler,
        on_note: NoteHandler,
        on_end: Callable[["Link"], None],
    ) -> None:
        self._on_request = on_request
        self._on_note = on_note
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._running: dict[int, asyncio.Task[None]] = {}
        self._last_id = 0
        self.heard_at = monotonic_s()
        self.suspect = False

    @property
    def open(self) -> bool:
        """Tell whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self._transport = cast("asyncio.Transport", transport)
        self.heard_at = monotonic_s()
        set_tcp_options(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits for an answer and cancel what runs for the peer."""
        self._transport = None
        failure = PeerFailure(PeerProblem.LOST, str(exc or "closed"))
        waiting, self._waiting = self._waiting, {}
        for future in waiting.values():
            if not future.done():
                future.set_result(failure)
        for task in self._running.values():
            task.cancel()
        self._running.clear()
        self._on_end(self)

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are whole."""
        self.heard_at = monotonic_s()
        try:
            for frame in self._reader.take(data):
                self._handle(frame)
        except BadFrameError as error:
            _LOGGER.warning("peer: bad frame.", extra={"why": str(error)})
            self.abort()

    async def request(self, message: Any, *, timeout_s: float) -> Any:
        """
        Send and wait for the answer or a PeerFailure, at most `timeout_s` seconds.

        The peer is told when the time is up, and when the request is cancelled.
        """
        if not self.open or self._transport is None:
            return PeerFailure(PeerProblem.NOT_SENT, "link is down")
        self._last_id += 1
        number = self._last_id
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        self._waiting[number] = future
        timer = loop.call_later(timeout_s, self._time_out, number)
        self._transport.write(encode(FrameKind.REQUEST, number, pack(message)))
        try:
            return await future
        except asyncio.CancelledError:
            self._write(FrameKind.CANCEL, number)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(number, None)

    def send(self, note: bytes) -> None:
        """Send a note that `encode_note` made, best effort."""
        if self.open and self._transport is not None:
            self._transport.write(note)

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _time_out(self, number: int) -> None:
        future = self._waiting.get(number)
        if future is not None and not future.done():
            self._write(FrameKind.CANCEL, number)
            future.set_result(PeerFailure(PeerProblem.TIMEOUT))

    def _write(self, kind: FrameKind, number: int, payload: bytes = b"") -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode(kind, number, payload))

    def _handle(self, frame: Frame) -> None:
        if frame.kind is FrameKind.CANCEL:
            task = self._running.pop(frame.number, None)
            if task is not None:
                task.cancel()
            return
        if frame.kind is FrameKind.HEARD:
            return
        if frame.kind is FrameKind.REJECTED:
            self._answered(frame, PeerFailure(PeerProblem.REJECTED))
            return
        if frame.kind is FrameKind.DROPPED:
            self._answered(frame, PeerFailure(PeerProblem.LOST, "answer dropped"))
            return
        message = unpack(frame.payload, max_bytes=MAX_FRAME_BYTES)
        if isinstance(message, BadMessage):
            _LOGGER.warning("peer: bad message.", extra={"why": message.detail})
            if frame.kind is FrameKind.REQUEST:
                self._write(FrameKind.REJECTED, frame.number)
            return
        if frame.kind is FrameKind.ANSWER:
            self._answered(frame, message)
        elif frame.kind is FrameKind.NOTE:
            self._write(FrameKind.HEARD, 0)
            self._on_note(self, message)
        elif frame.kind is FrameKind.REQUEST:
            self._run(frame.number, message)

    def _answered(self, frame: Frame, outcome: Any) -> None:
        future = self._waiting.get(frame.number)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _run(self, number: int, message: Any) -> None:
        if len(self._running) >= MAX_RUNNING:
            self._write(FrameKind.REJECTED, number)
            return
        task = asyncio.get_running_loop().create_task(self._serve(number, message))
        self._running[number] = task

    async def _serve(self, number: int, message: Any) -> None:
        try:
            answer = await self._on_request(message)
            self._write(FrameKind.ANSWER, number, pack(answer))
        except Exception:
            _LOGGER.exception("peer: request failed.")
            self._write(FrameKind.DROPPED, number)
        finally:
            self._running.pop(number, None)
