"""Run a WSGI application with `waitress` on a thread, with graceful shutdown."""

import http
import logging
import select
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ThreadedTaskDispatcher, WSGITask
from waitress.utilities import Error

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.05

CLOSE_TIMEOUT_S = 0.2
"""Seconds that the close of a server waits for the responses to received requests."""


@dataclass(frozen=True, slots=True)
class WsgiOptions:
    """
    Listener options; `port` 0 selects a free port.

    `max_body_bytes` limits request bodies. With `lookahead` above 0 the
    application can check whether the caller has disconnected.
    """

    host: str
    port: int
    threads: int
    max_body_bytes: int
    max_header_bytes: int = 64 * 1024
    connection_limit: int = 1000
    channel_timeout_s: int = 60
    backlog: int = 1024
    lookahead: int = 0


class _DrainFlag:
    """Drain flag that a server shares with its connections."""

    active = False


class WsgiServer:
    """
    Listener with worker threads; a context manager.

    `drain` closes the listener, and each open connection after the response to the
    last request that its caller has sent; leaving the context closes the remaining
    connections.
    """

    def __init__(
        self, application: Callable[..., Any], options: WsgiOptions, *, name: str
    ) -> None:
        self._drain_flag = _DrainFlag()
        self._socket_map: dict[int, Any] = {}
        dispatcher = ThreadedTaskDispatcher()
        dispatcher.set_thread_count(options.threads)
        self._server = _draining_server_class(self._drain_flag)(
            application,
            self._socket_map,
            _start=True,
            dispatcher=dispatcher,
            host=options.host,
            port=options.port,
            threads=options.threads,
            max_request_body_size=options.max_body_bytes,
            max_request_header_size=options.max_header_bytes,
            connection_limit=options.connection_limit,
            channel_timeout=options.channel_timeout_s,
            backlog=options.backlog,
            channel_request_lookahead=options.lookahead,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=False,
            ident=None,
        )
        self._dispatcher = dispatcher
        self._name = name
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._stop = threading.Event()
        self._run_future: Future[None] | None = None
        self.port: int = self._server.effective_port

    def __enter__(self) -> Self:
        self._run_future = self._executor.submit(self._run)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop.set()
        self._executor.shutdown()

    def drain(self) -> None:
        """Stop accepting connections; close each open one after its last response."""
        self._drain_flag.active = True
        self._server.trigger.pull_trigger(self._accept_waiting)
        self._server.trigger.pull_trigger(self._close_listener)

    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.active_channels)

    def unanswered_connections(self) -> int:
        """Return the number of connections with a request that has no response yet."""
        channels = list(self._server.active_channels.values())
        return sum(1 for channel in channels if channel.requests)

    def reject_incomplete(self) -> None:
        """Respond with 408 to requests that are received in part: they haven't run."""
        self._server.trigger.pull_trigger(self._reject_incomplete)

    def close_idle(self) -> None:
        """Close connections that have no request in flight or partly received."""
        self._server.trigger.pull_trigger(self._close_idle)

    def _run(self) -> None:
        server = self._server
        while not self._stop.is_set():
            server.asyncore.loop(POLL_S, use_poll=True, map=self._socket_map, count=1)
        self._finish_requests()
        self._dispatcher.shutdown(timeout=1)
        for channel in list(server.active_channels.values()):
            channel.handle_close()
        server.trigger.close()

    def _finish_requests(self) -> None:
        """Close the listener, and read and answer what callers have sent by then."""
        server = self._server
        self._drain_flag.active = True
        self._accept_waiting()
        self._close_listener()
        ends_at = time.monotonic() + CLOSE_TIMEOUT_S
        while any(map(_is_in_use, list(server.active_channels.values()))):
            if time.monotonic() >= ends_at:
                _LOGGER.warning("%s: requests are cut off by the close.", self._name)
                return
            server.asyncore.loop(POLL_S, use_poll=True, map=self._socket_map, count=1)

    def _accept_waiting(self) -> None:
        """Accept the connections that callers have opened, even above the limit."""
        if not self._server.accepting:
            return
        poll = select.poll()
        poll.register(self._server.socket, select.POLLIN)
        for _ in range(self._server.adj.backlog):
            if not poll.poll(0):
                return
            self._server.handle_accept()

    def _close_listener(self) -> None:
        if self._server.accepting:
            self._server.accepting = False
            self._server.del_channel()
            self._server.socket.close()

    def _reject_incomplete(self) -> None:
        for channel in list(self._server.active_channels.values()):
            with channel.requests_lock:
                request = channel.request
                if request is None or channel.requests or channel.close_when_flushed:
                    continue
                request.error = _RequestTimeoutError("The server stops.")
                channel.request = None
                channel.requests.append(request)
            self._server.add_task(channel)

    def _close_idle(self) -> None:
        for channel in list(self._server.active_channels.values()):
            if not _is_in_use(channel):
                channel.will_close = True


class _RequestTimeoutError(Error):  # type: ignore[misc]
    code = http.HTTPStatus.REQUEST_TIMEOUT
    reason = http.HTTPStatus.REQUEST_TIMEOUT.phrase


def _is_in_use(channel: HTTPChannel) -> bool:
    """Return whether a request is in flight or partly received."""
    in_flight = channel.requests or channel.total_outbufs_len
    return bool(in_flight) or _has_begun_request(channel)


def _has_next_request(channel: HTTPChannel) -> bool:
    """Return whether a caller has sent more than the request that is served."""
    return len(channel.requests) > 1 or _has_begun_request(channel)


def _has_begun_request(channel: HTTPChannel) -> bool:
    """Return whether a caller has sent bytes that belong to no complete request."""
    if channel.request is not None:
        return True
    try:
        return bool(channel.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def _draining_server_class(drain_flag: _DrainFlag) -> type[TcpWSGIServer]:
    """Return a server class that sends `Connection: close` while draining."""

    class DrainingTask(WSGITask):  # type: ignore[misc]
        """Task that closes its connection after the last response while draining."""

        def build_response_header(self) -> bytes:
            if drain_flag.active and not _has_next_request(self.channel):
                self.set_close_on_finish()
            header: bytes = super().build_response_header()
            return header

        def finish(self) -> None:
            super().finish()
            # Otherwise the response is not written until the loop's thread wakes up.
            self.channel._flush_some_if_lockable(do_close=False)

    class DrainingChannel(HTTPChannel):  # type: ignore[misc]
        """Connection whose tasks check the drain flag."""

        task_class = DrainingTask

    class DrainingServer(TcpWSGIServer):  # type: ignore[misc]
        """Server whose connections check the drain flag."""

        channel_class = DrainingChannel

    return DrainingServer
