"""Run a WSGI application by `waitress` on a thread, with a graceful stop."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ThreadedTaskDispatcher, WSGITask

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class WsgiOptions:
    """
    Where and how to listen. `port` 0 takes a free one.

    `max_body_bytes` bounds request bodies; `lookahead` above 0 lets the
    application ask whether the caller has hung up.
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


class _Drain:
    """Shared mark of one server: connections are to be closed after an answer."""

    on = False


class WsgiServer:
    """
    One listener with its threads; entered and left as a context manager.

    `drain` closes the listener and lets open connections end after their next
    answer; leaving closes what is left.
    """

    def __init__(
        self, application: Callable[..., Any], options: WsgiOptions, *, name: str
    ) -> None:
        self._drain = _Drain()
        self._map: dict[int, Any] = {}
        dispatcher = ThreadedTaskDispatcher()
        dispatcher.set_thread_count(options.threads)
        self._server = _server_class(self._drain)(
            application,
            self._map,
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
        self._running: Future[None] | None = None
        self.port: int = self._server.effective_port

    def __enter__(self) -> Self:
        self._running = self._executor.submit(self._run)
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
        """Accept no new connection; close each open one after its next answer."""
        self._drain.on = True
        self._server.trigger.pull_trigger(self._close_listener)

    def open_connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._server.active_channels)

    def close_idle(self) -> None:
        """Close connections that carry no request at the moment."""
        self._server.trigger.pull_trigger(self._close_idle)

    def _run(self) -> None:
        server = self._server
        while not self._stop.is_set():
            server.asyncore.loop(POLL_S, use_poll=True, map=self._map, count=1)
        self._dispatcher.shutdown(timeout=1)
        for channel in list(server.active_channels.values()):
            channel.handle_close()
        self._close_listener()
        server.trigger.close()

    def _close_listener(self) -> None:
        if self._server.accepting:
            self._server.accepting = False
            self._server.del_channel()
            self._server.socket.close()

    def _close_idle(self) -> None:
        for channel in list(self._server.active_channels.values()):
            if not channel.requests and not channel.total_outbufs_len:
                channel.will_close = True


def _server_class(drain: _Drain) -> type[TcpWSGIServer]:
    """Return a server class whose answers say `Connection: close` while draining."""

    class DrainingTask(WSGITask):  # type: ignore[misc]
        """Ends the connection after the answer while the server drains."""

        def start(self) -> None:
            super().start()
            if drain.on:
                self.set_close_on_finish()

        def finish(self) -> None:
            super().finish()
            # Else the answer waits until the loop's thread wakes up to write it.
            self.channel._flush_some_if_lockable(do_close=False)

    class DrainingChannel(HTTPChannel):  # type: ignore[misc]
        """A connection whose tasks look at the drain mark."""

        task_class = DrainingTask

    class DrainingServer(TcpWSGIServer):  # type: ignore[misc]
        """A server whose connections look at the drain mark."""

        channel_class = DrainingChannel

    return DrainingServer
