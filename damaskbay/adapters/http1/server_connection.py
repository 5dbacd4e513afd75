"""Connection of a caller; pipelined requests get their responses in order."""

import asyncio
import http
import logging
import math
from collections import deque
from typing import cast

from damaskbay.adapters.http1.connection_server import ConnectionServer
from damaskbay.adapters.http1.const import (
    FIRST_REQUEST_WAIT_S,
    LINGER_TIMEOUT_S,
    MAX_LINGER_S,
    OVERLOADED_RETRY_S,
    SCARCE_BYTES_PER_S,
    SCARCE_LINGER_S,
    SCARCE_TIMEOUT_S,
    WRITE_STALL_TIMEOUT_S,
)
from damaskbay.adapters.http1.exchange import Exchange, ReceivedRequest
from damaskbay.adapters.http1.intake import Intake
from damaskbay.adapters.http1.response_encoding import encode_response, error_response
from damaskbay.adapters.http1.sockets import ready_descriptors
from damaskbay.adapters.http1.writing import WritingControl
from damaskbay.core.call import Headers, Request, Response
from damaskbay.core.memory_account import Holding
from damaskbay.helpers.clock import monotonic_s

_LOGGER = logging.getLogger(__name__)


_REJECTION_REASONS = {
    http.HTTPStatus.REQUEST_TIMEOUT: "incomplete",
    http.HTTPStatus.SERVICE_UNAVAILABLE: "no memory",
}

_TOO_MANY_CONNECTIONS = "too many connections"
_ENDING = "server ends"


class ServerConnection(asyncio.Protocol):
    """Connection of one caller; `reading` pauses and resumes what is read of it."""

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[Exchange] = deque()
        self._closing = False
        self._is_refused = server.connections_left < 1
        self._reopens = False
        self._ended_at: float | None = None
        self._linger_limit_at = 0.0
        self._owes_continue = False
        self._discards_rest = False
        self._idle_timeout_s = server.limits.idle_timeout_s
        self._writing = WritingControl(server.memory)
        self._error_status: http.HTTPStatus | None = None
        self._received_any = False
        self._last_active_at = now = monotonic_s()
        self._intake = Intake(self, server, self._reject, now)
        self._parser, self.reading = self._intake.parser, self._intake.reading

    def is_idle(self, now: float) -> bool:
        """
        Return whether no request is being read or served and all bytes are sent.

        A new connection counts as idle after FIRST_REQUEST_WAIT_S. Bytes that the
        event loop has not read yet are not considered, see `descriptor`.
        """
        if self._transport is None or self._exchanges or self.unsent_bytes:
            return False
        if self._intake.has_unparsed:
            return False
        if self.lingering:
            return not self._discards_rest or now >= self._linger_ends_at
        if self._parser.in_request:
            return False
        return self._received_any or now - self._last_active_at >= FIRST_REQUEST_WAIT_S

    @property
    def lingering(self) -> bool:
        """Return whether the last response is written and the caller has to close."""
        return self._ended_at is not None

    @property
    def is_serving(self) -> bool:
        """Return whether a request has no complete response yet."""
        return any(exchange.response is None for exchange in self._exchanges)

    @property
    def has_unparsed(self) -> bool:
        """Return whether bytes that were read wait to be parsed."""
        return self._intake.has_unparsed

    @property
    def last_active_at(self) -> float:
        """Return the monotonic time at which something was last read or sent."""
        return self._last_active_at

    @property
    def descriptor(self) -> int | None:
        """Return the descriptor of the socket, None if nothing is read from it."""
        if self._transport is None or self._transport.is_closing():
            return None
        descriptor: int = self._transport.get_extra_info("socket").fileno()
        return descriptor if descriptor >= 0 else None

    @property
    def is_incomplete(self) -> bool:
        """Return whether a request is being read and nothing else is in flight."""
        if self._exchanges or self._intake.has_unparsed or self._closing:
            return False
        return self._parser.in_request

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of complete responses that the kernel has not taken yet."""
        if self._transport is None:
            return 0
        waiting = sum(exchange.response_bytes for exchange in self._exchanges)
        return self._transport.get_write_buffer_size() + waiting

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = cast("asyncio.Transport", transport)
        self.reading.start(self._transport)
        self._writing.start(self._transport)
        if pause_s := self._server.accept_pause_s():
            self.reading.wait(pause_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in flight."""
        if self._reopens and exc is None and self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            self._server.reopen_if_unread(sock.fileno())
        self._transport = None
        self._server.remove_connection(self)
        self._writing.close()
        self._intake.close()
        if unsent_bytes := sum(exchange.response_bytes for exchange in self._exchanges):
            _LOGGER.info(
                "edge: caller has left before its response.",
                extra={"unsent_bytes": unsent_bytes, "why": str(exc)},
            )
        for exchange in self._exchanges:
            exchange.holding.release()
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, which may hold several requests, as far as possible."""
        self._received_any = True
        self._last_active_at = monotonic_s()
        if self._closing:
            self._extend_linger()
            return
        self._intake.receive(data, self._last_active_at)

    def pause_writing(self) -> None:
        """Record that the write buffer is full: the caller reads too slowly."""
        self._writing.pause()

    def resume_writing(self) -> None:
        """Resume writing responses after the write buffer has drained."""
        self._last_active_at = monotonic_s()
        self._writing.resume()
        self._flush()

    def handle_expect_continue(self) -> None:
        """Send 100 Continue after the responses to earlier requests."""
        self._owes_continue = True
        self._send_continue()

    def handle_request(
        self, request: Request, holding: Holding, *, keep_alive: bool
    ) -> None:
        """Start serving a complete request."""
        self._owes_continue = False
        if self._closing:
            holding.release()
            return
        # Others may have left since the connection was accepted.
        self._is_refused = self._is_refused and self._server.exceeds_connections
        if self._is_refused or self._server.ending:
            holding.release()
            why = _TOO_MANY_CONNECTIONS if self._is_refused else _ENDING
            self._reject(http.HTTPStatus.SERVICE_UNAVAILABLE, why)
            return
        arrival = ReceivedRequest(request, self._intake.arrived_at)
        exchange = Exchange(holding, keep_alive)
        self._exchanges.append(exchange)
        try:
            if not self._refuse_early(exchange, arrival):
                loop = asyncio.get_running_loop()
                exchange.task = loop.create_task(self._serve(exchange, arrival))
        except BaseException:
            # It has not begun; the parser's error becomes its response.
            self._exchanges.remove(exchange)
            holding.release()
            raise
        self._apply_backpressure()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if one of its timeouts has expired."""
        if self._transport is None:
            return
        if self._writing.count():
            self._last_active_at = now
        is_scarce = self._server.is_scarce(self._parser.held_bytes)
        stall_s = SCARCE_TIMEOUT_S if is_scarce else WRITE_STALL_TIMEOUT_S
        if self._writing.is_stalled(now, stall_s):
            extra = {"unsent_bytes": self.unsent_bytes}
            _LOGGER.warning("edge: caller reads nothing.", extra=extra)
            self._transport.abort()
        elif self._ended_at is not None:
            if self.unsent_bytes:
                self._ended_at = now
            elif now > self._linger_ends_at and (
                is_scarce or now >= self._linger_limit_at or not self._has_unread()
            ):
                self._transport.close()
        elif self._sends_too_slowly(now, is_scarce):
            if not self._has_unread():
                self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self._is_idle_too_long(now) and not self._has_unread():
            self.close_idle()

    def close_idle(self) -> None:
        """
        Close a connection without a request or response in flight.

        The transport closes the socket in a later pass of the event loop. If something
        has arrived by then, the connection stays open with another transport.
        """
        if self._transport is not None:
            self._reopens = True
            self._server.connection_leaves(self)
            self._transport.close()

    def reject_incomplete(self) -> None:
        """Respond to a request that is still being read: it has not run."""
        if self.is_incomplete:
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT)

    def interrupt(self) -> None:
        """End the requests that have no response; their outcome is unknown."""
        for exchange in self._exchanges:
            if exchange.response is None and exchange.task is not None:
                exchange.task.cancel()

    def close(self) -> None:
        """Close without waiting for the caller."""
        if self._transport is not None:
            self._transport.close()

    def _refuse_early(self, exchange: Exchange, arrival: ReceivedRequest) -> bool:
        """Respond to a request that the server refuses at once; return if it does."""
        if self._server.refuse_early is None or self._server.draining:
            return False
        try:
            refusal = self._server.refuse_early(arrival)
        except MemoryError:
            raise
        except Exception:
            _LOGGER.exception("edge: early refusal failed.")
            return False
        if refusal is None:
            return False
        method = arrival.request.method
        exchange.response = encode_response(refusal.response, method)
        exchange.holding.set(exchange.response_bytes)
        self.reading.record_refusal(refusal, self._last_active_at)
        # Requests behind it may still be parsed, and come before a close.
        asyncio.get_running_loop().call_soon(self._flush)
        return True

    async def _serve(self, exchange: Exchange, arrival: ReceivedRequest) -> None:
        try:
            response = await self._server.handler(arrival)
            encoded = encode_response(response, arrival.request.method)
        except asyncio.CancelledError:
            if self._transport is None:
                raise
            _LOGGER.warning("edge: request is interrupted.")
            encoded = error_response(http.HTTPStatus.BAD_GATEWAY)
        except Exception:
            _LOGGER.exception("edge: handler failed.")
            encoded = error_response(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        finally:
            # A cancelled task refers to its frames, and so to the body.
            exchange.task = None
        exchange.response = encoded
        if self._transport is not None:
            exchange.holding.set(exchange.response_bytes)
        self._flush()

    def _flush(self) -> None:
        """Write the responses that are next in order."""
        while self._exchanges and (response := self._exchanges[0].response) is not None:
            if self._transport is None or self._writing.is_paused:
                return
            exchange = self._exchanges.popleft()
            exchange.holding.release()
            self._last_active_at = monotonic_s()
            self._idle_timeout_s = self._server.limits.idle_timeout_s
            keep_alive = exchange.keep_alive and not self._should_announce_close()
            self._writing.write(response.to_bytes(keep_alive=keep_alive))
            if not keep_alive:
                self._end()
                return
        if not self._exchanges and self._error_status is not None:
            self._reject(self._error_status)
        self._send_continue()
        self._apply_backpressure()

    def _send_continue(self) -> None:
        """Send 100 Continue if a caller waits for it and nothing comes before."""
        if not self._owes_continue or self._exchanges or self._closing:
            return
        self._owes_continue = False
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _should_announce_close(self) -> bool:
        """
        Return whether the next response announces the close of the connection.

        A caller repeats requests that it sent behind a response that announces the
        close, so all requests that were started have to be answered before.
        """
        answered = not self._exchanges and self._error_status is None
        closes = self._server.draining or self._server.exceeds_connections
        return closes and answered and not self._intake.has_unparsed

    def _is_idle_too_long(self, now: float) -> bool:
        """
        Return whether the caller no longer expects to be able to use the connection.

        It may know only the limit that was in force as it had its last response.
        """
        if not self.is_idle(now):
            return False
        idle_s = now - self._last_active_at
        limit_s = max(self._idle_timeout_s, self._server.limits.idle_timeout_s)
        return idle_s > limit_s or self._server.needs_room

    def _has_unread(self) -> bool:
        """Return whether the event loop has yet to read something."""
        descriptor = self.descriptor
        return descriptor is not None and bool(ready_descriptors([descriptor]))

    def _sends_too_slowly(self, now: float, is_scarce: bool) -> bool:
        """Return whether a head takes too long, or a body has stopped arriving."""
        limits, parser = self._server.limits, self._parser
        longest_s = SCARCE_TIMEOUT_S if is_scarce else math.inf
        if parser.in_headers:
            return now - parser.started_at > min(longest_s, limits.header_timeout_s)
        if not parser.in_request or self.reading.is_paused or self._closing:
            return False
        if now - self._last_active_at > min(longest_s, limits.idle_timeout_s):
            return True
        expected_s = longest_s + parser.body_bytes / SCARCE_BYTES_PER_S
        return now - parser.started_at > expected_s

    @property
    def _linger_ends_at(self) -> float:
        """Return when a connection closes whose caller sends nothing more."""
        linger_s = SCARCE_LINGER_S if self._server.needs_room else LINGER_TIMEOUT_S
        return (self._ended_at or 0.0) + linger_s

    def _extend_linger(self) -> None:
        """Keep a connection whose caller still sends a body that was rejected."""
        if self._server.is_scarce(0) or self._ended_at is None:
            return
        if self._last_active_at < self._linger_limit_at:
            self._ended_at = self._last_active_at

    def _end(self) -> None:
        """
        Send the end of the connection after the last response; start nothing more.

        The connection closes once the caller has closed it. If it closed at once, the
        kernel would answer further bytes of the caller with a reset, which destroys
        what the caller has not received yet.
        """
        self._closing = True
        self._intake.close()
        self._server.connection_leaves(self, lingers=True)
        self._ended_at = monotonic_s()
        self._linger_limit_at = self._ended_at + MAX_LINGER_S
        if self._transport is None:
            return
        try:
            self._transport.write_eof()
        except OSError as error:
            _LOGGER.info("edge: caller has disconnected.", extra={"why": str(error)})
            self._transport.close()
            return
        self.reading.read_to_the_end()

    def _reject(self, status: http.HTTPStatus, why: str | None = None) -> None:
        """Send an error response after the responses to earlier requests, and close."""
        self._closing = True
        self._error_status = status
        self._discards_rest = self._discards_rest or self._parser.in_request
        self._intake.close()
        if self._exchanges or self._transport is None or self.lingering:
            return
        _LOGGER.info(
            "edge: request is rejected.",
            extra={
                "status": int(status),
                "why": why or _REJECTION_REASONS.get(status, "malformed"),
                "held_bytes": self._server.memory.held_bytes,
            },
        )
        headers: Headers = ()
        if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            headers = (("Retry-After", str(OVERLOADED_RETRY_S)),)
        response = encode_response(Response(int(status), headers), "GET")
        self._transport.write(response.to_bytes(keep_alive=False))
        if why == _TOO_MANY_CONNECTIONS and not self._has_unread():
            # All of the request has been read, and the descriptor is needed.
            self._server.connection_leaves(self)
            self._transport.close()
            return
        self._end()

    def _apply_backpressure(self) -> None:
        """
        Pause reading while the caller has too many requests or unread bytes.

        Those are fewer while memory is scarce. One request never pauses it, since the
        end of a connection is noticed by reading alone.
        """
        in_flight, pipeline = len(self._exchanges), self._server.pipeline
        self.reading.set_congested(
            in_flight >= pipeline.requests
            or self.unsent_bytes > pipeline.unread_bytes
            or (in_flight > 1 and self._server.memory.is_scarce)
        )
