"""Connection between two daemons: frames, requests in flight, liveness."""

import asyncio
import logging
from typing import Any, cast

from damaskbay.adapters.http1.sockets import set_tcp_options
from damaskbay.adapters.peer_link.const import (
    LINK_VERSION,
    MAX_FRAME_BYTES,
    MAX_PAYLOAD_BYTES,
    MAX_RUNNING_REQUESTS,
    MAX_UNREAD_BYTES,
    PART_BYTES,
    PARTS_VERSION,
)
from damaskbay.adapters.peer_link.evidence import EvidenceReader, KernelEvidence
from damaskbay.adapters.peer_link.exceptions import BadFrameError
from damaskbay.adapters.peer_link.frames import (
    PULSE,
    Frame,
    FrameKind,
    FrameReader,
    encode,
)
from damaskbay.adapters.peer_link.handlers import LinkHandlers
from damaskbay.adapters.peer_link.parts import PartialPayloads
from damaskbay.adapters.peer_link.pending import PendingRequests
from damaskbay.adapters.peer_link.running import RunningRequests
from damaskbay.adapters.peer_link.sending import PartsSender
from damaskbay.core.memory_account import Holding, MemoryAccount, WriteBufferHolding
from damaskbay.helpers.arrivals import call_later_after_reading
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.messages import InvalidMessage, pack, unpack
from damaskbay.ports.peer import PeerFailure, PeerProblem

_LOGGER = logging.getLogger(__name__)


class Link(asyncio.Protocol):
    """
    One end of a connection.

    `last_received_at` and `last_sent_at` are the monotonic times of the last received
    and the last written bytes. PeerLinks sets `suspect` after SUSPECT_AFTER_S without
    received bytes; new requests avoid a suspect link. An `unproven` link has not heard
    from a peer that was silent before. `ended` is set when the connection is lost,
    `released` already when the link is retired. `peer_version` is the number that the
    peer announced, 0 until then. What it holds counts in `memory`.
    """

    def __init__(self, handlers: LinkHandlers, memory: MemoryAccount) -> None:
        self._handlers = handlers
        self._received = Holding(memory)
        self._unsent = WriteBufferHolding(memory)
        self._parts = PartialPayloads(memory)
        self._sender = PartsSender(self._write_frame)
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._pending = PendingRequests(self._write_frame, self._sender)
        self._running = RunningRequests(
            handlers.on_request, self._write_frame, self._send_reply
        )
        self._last_number = 0
        self._last_received_number = 0
        self._replies_in_parts = 0
        self._received_note: Any = None
        self._sent_note: Any = None
        self._peer_sends_status = False
        self.peer_version = 0
        self._ending = False
        self._closing = False
        self._peer_closing = False
        self._retired = False
        self.ended, self.released = asyncio.Event(), asyncio.Event()
        self.last_received_at = self.last_sent_at = monotonic_s()
        self.suspect = self.unproven = False

    @property
    def open(self) -> bool:
        """Return whether frames can be sent."""
        transport = self._transport
        return (
            transport is not None and not self._closing and not transport.is_closing()
        )

    @property
    def takes_requests(self) -> bool:
        """Return whether the peer may still handle further requests."""
        return self.open and not self._ending and not self._peer_closing

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait in this process to be sent."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport is not None else 0

    @property
    def descriptor(self) -> int | None:
        """Return the descriptor of the socket, None if nothing is read from it."""
        if self._transport is None or self._transport.is_closing():
            return None
        descriptor: int = self._transport.get_extra_info("socket").fileno()
        return descriptor if descriptor >= 0 else None

    @property
    def requests_in_flight(self) -> int:
        """Return the number of requests that wait for a reply of the peer."""
        return len(self._pending)

    @property
    def handlers_running(self) -> int:
        """Return the number of requests of the peer that run here."""
        return len(self._running)

    @property
    def has_work(self) -> bool:
        """Return whether requests, handlers or unsent frames need the connection."""
        return bool(self._pending.waiting or self._running or self.unsent_bytes)

    def read_evidence(self, read: EvidenceReader) -> KernelEvidence | None:
        """Return what the kernel knows of the peer, None if it can't tell."""
        if self._transport is None:
            return None
        return read(self._transport.get_extra_info("socket"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP options."""
        self._transport = cast("asyncio.Transport", transport)
        self.last_received_at = self.last_sent_at = monotonic_s()
        set_tcp_options(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the requests in flight and cancel the handlers of received requests."""
        self._transport = None
        self._received.release()
        self._unsent.release()
        self._parts.clear()
        self._sender.resume()
        self._pending.lose_all(str(exc or "closed"))
        self._running.cancel_all()
        self.released.set()
        self.ended.set()
        self._handlers.on_end(self)

    def data_received(self, data: bytes) -> None:
        """Handle the complete frames; close the link on an invalid one."""
        self.last_received_at = monotonic_s()
        if self.unproven:
            self.unproven = False
            self._handlers.on_answer(self)
        try:
            for frame in self._reader.feed(data):
                self._handle_frame(frame)
        except BadFrameError as error:
            _LOGGER.warning("peer: invalid frame.", extra={"why": str(error)})
            self.abort()
        self._received.set(self._reader.buffered_bytes)

    def pause_writing(self) -> None:
        """Hold back long payloads while the peer reads slowly."""
        self._sender.pause()

    def resume_writing(self) -> None:
        """Go on with long payloads after the write buffer has drained."""
        self._sender.resume()
        self.count_unsent()

    def count_unsent(self) -> None:
        """Count the frames that the kernel has not taken yet."""
        self._unsent.update(self.unsent_bytes)

    async def request(
        self, message: Any, *, timeout_s: float, repeatable: bool = True
    ) -> Any:
        """
        Send a request; return its reply, or a PeerFailure after `timeout_s`.

        On timeout or cancellation the peer gets a CANCEL frame. A reply that has
        arrived by the timeout is returned, also if the loop reads it later. One that is
        not `repeatable` waits while the peer's process is silent and its kernel is not.
        """
        if not self.takes_requests:
            return PeerFailure(PeerProblem.NOT_SENT, "link is down or closing")
        if self._congested():
            return PeerFailure(PeerProblem.NOT_SENT, "peer reads too slowly")
        payload = pack(message)
        if not self._takes(payload):
            return PeerFailure(PeerProblem.NOT_SENT, "message is too long for the peer")
        self._last_number += 1
        number = self._last_number
        future = self._pending.add(number, repeatable=repeatable)
        timer = call_later_after_reading(timeout_s, self._time_out, number)
        if len(payload) <= PART_BYTES or not self._peer_takes_parts:
            self._write(encode(FrameKind.REQUEST, number, payload))
        else:
            self._sender.start_request(
                number, payload, lambda: self.open and self._pending.is_waiting(number)
            )
        try:
            return await future
        except asyncio.CancelledError:
            self._write_frame(FrameKind.CANCEL, number)
            raise
        finally:
            timer.cancel()
            self._pending.remove(number)
            self._parts.drop(FrameKind.REPLY, number)
            self._close_if_retired()

    def interrupt_requests(self) -> None:
        """End the requests that have no reply by now as INTERRUPTED; cancel them."""
        self._pending.interrupt()

    def fail_repeatable(self) -> None:
        """Give up the requests that may be sent elsewhere; the others go on waiting."""
        self._pending.fail_repeatable()

    def probe(self) -> None:
        """Write a frame without a meaning, for the peer's kernel to acknowledge."""
        self._write_frame(FrameKind.NOTE_ACK, 0)

    def send_note(self, note: Any, encoded: bytes) -> None:
        """Send a note and its form by `encode_note`, or a pulse if it is unchanged."""
        if not self.open:
            return
        unchanged = self._peer_sends_status and note == self._sent_note
        self._write(PULSE if unchanged else encoded)
        self._sent_note = note

    def close(self) -> None:
        """
        Send what is buffered and then the end of the stream; start no more handlers.

        The peer is told which of its requests are not handled. Replies that are being
        sent in parts come before the end. The connection ends when the peer has read
        everything and closes it, too.
        """
        if not self._ending:
            self._ending = True
            for number in self._parts.request_numbers:
                self._parts.drop(FrameKind.REQUEST, number)
                self._write_frame(FrameKind.REJECTED, number)
            self._write_frame(FrameKind.NOTE_ACK, self._last_received_number + 1)
        self._close_if_sent()

    def _close_if_sent(self) -> None:
        if not self._ending or self._replies_in_parts:
            return
        if self.open and self._transport is not None:
            self._closing = True
            self._transport.write_eof()

    def retire(self) -> None:
        """Close when the requests in flight have ended; the caller sends no more."""
        self._retired = True
        self.released.set()
        self._close_if_retired()

    def abort(self) -> None:
        """Close the connection without flushing."""
        if self._transport is not None:
            self._transport.abort()

    def _close_if_retired(self) -> None:
        if self._retired and not self._pending:
            self.close()

    def _congested(self) -> bool:
        return self.unsent_bytes > MAX_UNREAD_BYTES

    def _time_out(self, number: int, late_s: float) -> None:
        """Fail a request whose timer fired `late_s` late, unless it has ended."""
        if not self._pending.is_waiting(number):
            return
        silent_s = monotonic_s() - self.last_received_at
        extra = {"late_s": round(late_s, 3), "silent_s": round(silent_s, 3)}
        _LOGGER.info("peer: request has timed out.", extra=extra)
        self._pending.fail(number, PeerProblem.TIMEOUT)

    @property
    def _peer_takes_parts(self) -> bool:
        return self.peer_version >= PARTS_VERSION

    def _takes(self, payload: bytes) -> bool:
        """Return whether the peer can take a payload, whole or in parts."""
        return self._peer_takes_parts or len(payload) <= MAX_PAYLOAD_BYTES

    async def _send_reply(self, number: int, payload: bytes, holding: Holding) -> None:
        """Send a reply; the link doesn't close before."""
        if len(payload) <= PART_BYTES:
            self._write_frame(FrameKind.REPLY, number, payload)
            return
        if not self._takes(payload):
            _LOGGER.error("peer: reply is too long for the peer.")
            self._write_frame(FrameKind.FAILED, number)
            return
        holding.set(holding.held_bytes + len(payload))
        self._replies_in_parts += 1
        try:
            part_bytes = PART_BYTES if self._peer_takes_parts else len(payload)
            await self._sender.send(
                FrameKind.REPLY,
                number,
                payload,
                lambda: self.open,
                part_bytes=part_bytes,
            )
        finally:
            self._replies_in_parts -= 1
            self._close_if_sent()

    def _write_frame(self, kind: FrameKind, number: int, payload: bytes = b"") -> None:
        if self.open:
            self._write(encode(kind, number, payload))

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
        self._unsent.written(len(data), self.unsent_bytes)
        self.last_sent_at = monotonic_s()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.kind in (FrameKind.REQUEST, FrameKind.REPLY):
            self._handle_message(frame)
        elif frame.kind in (FrameKind.REQUEST_PART, FrameKind.REPLY_PART):
            self._handle_part(frame)
        elif frame.kind is FrameKind.CANCEL:
            self._cancel_handler(frame.number)
        elif frame.kind is FrameKind.PULSE:
            self._handle_note(self._received_note)
        elif frame.kind is FrameKind.NOTE_ACK and not frame.payload:
            if frame.number:
                self._reject_from(frame.number)
        elif frame.kind is FrameKind.REJECTED:
            self._pending.resolve(frame.number, PeerFailure(PeerProblem.REJECTED))
        elif frame.kind is FrameKind.FAILED:
            self._pending.resolve(
                frame.number, PeerFailure(PeerProblem.LOST, "handler failed")
            )
        else:
            self._handle_notice(frame)

    def _handle_notice(self, frame: Frame) -> None:
        """Handle a note, or a status that acknowledges one."""
        message = unpack(frame.payload, max_bytes=MAX_FRAME_BYTES)
        if isinstance(message, InvalidMessage):
            _LOGGER.warning("peer: bad message.", extra={"why": message.detail})
            return
        self.peer_version = frame.number
        if frame.kind is FrameKind.NOTE:
            self._received_note = message
            self._handle_note(message)
        else:
            self._peer_sends_status = True
            self._handlers.on_status(message)

    def _handle_part(self, frame: Frame) -> None:
        if not self._is_wanted(frame):
            return
        was_refused = self._parts.is_refused(frame)
        if self._parts.add(frame).refused and not was_refused:
            self._refuse(frame)

    def _handle_message(self, frame: Frame) -> None:
        """Handle a request or a reply, if there is memory for it."""
        if not self._is_wanted(frame):
            return
        is_request = frame.kind is FrameKind.REQUEST
        payload = self._parts.complete(frame)
        if is_request:
            self._last_received_number = max(self._last_received_number, frame.number)
        if payload.refused:
            self._refuse(frame)
            return
        message = unpack(payload.data, max_bytes=len(payload.data))
        if isinstance(message, InvalidMessage):
            _LOGGER.warning("peer: bad message.", extra={"why": message.detail})
            payload.holding.release()
            if is_request:
                self._write_frame(FrameKind.REJECTED, frame.number)
        elif is_request and not payload.hold_headers(message):
            self._refuse(frame)
        elif is_request:
            self._start_handler(frame.number, message, payload.holding)
        else:
            self._pending.resolve(frame.number, message)
            payload.holding.release()

    def _is_wanted(self, frame: Frame) -> bool:
        """Return whether a request is still handled, or a reply waited for."""
        if frame.kind in (FrameKind.REPLY, FrameKind.REPLY_PART):
            return self._pending.is_waiting(frame.number)
        return self.open and not self._ending

    def _refuse(self, frame: Frame) -> None:
        """Refuse a request, or give up one whose reply finds no memory."""
        _LOGGER.warning(
            "peer: no memory is left for a message.", extra={"kind": frame.kind.name}
        )
        if frame.kind in (FrameKind.REQUEST, FrameKind.REQUEST_PART):
            self._write_frame(FrameKind.REJECTED, frame.number)
            return
        self._write_frame(FrameKind.CANCEL, frame.number)
        failure = PeerFailure(PeerProblem.LOST, "no memory is left for the reply")
        self._pending.resolve(frame.number, failure)

    def _cancel_handler(self, number: int) -> None:
        self._parts.drop(FrameKind.REQUEST, number)
        self._running.cancel(number)

    def _handle_note(self, note: Any) -> None:
        status = self._handlers.status()
        if status is None:
            self._write_frame(FrameKind.NOTE_ACK, 0)
        else:
            self._write_frame(FrameKind.NOTE_ACK, LINK_VERSION, pack(status))
        if note is not None:
            self._handlers.on_note(note)

    def _reject_from(self, first_number: int) -> None:
        self._peer_closing = True
        failure = PeerFailure(PeerProblem.REJECTED, "peer is closing the link")
        self._pending.reject_from(first_number, failure)

    def _start_handler(self, number: int, message: Any, holding: Holding) -> None:
        if len(self._running) >= MAX_RUNNING_REQUESTS or self._congested():
            holding.release()
            self._write_frame(FrameKind.REJECTED, number)
            return
        self._running.start(number, message, holding)
