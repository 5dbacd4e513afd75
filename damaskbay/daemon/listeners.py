"""The HTTP listeners of a daemon."""

from damaskbay.adapters.caller_http.application import CallerApplication
from damaskbay.adapters.caller_http.const import (
    CHANNEL_TIMEOUT_S,
    LISTEN_BACKLOG,
    LOOKAHEAD_REQUESTS,
    MAX_HEADER_BYTES,
)
from damaskbay.adapters.caller_http.hang_up import HangUpWatcher
from damaskbay.adapters.operator_http.application import OperatorApplication
from damaskbay.adapters.operator_http.const import (
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    THREADS,
)
from damaskbay.daemon.settings import DaemonSettings
from damaskbay.helpers.wsgi_server import WsgiOptions, WsgiServer
from damaskbay.ports.caller import CallerService
from damaskbay.ports.operator import OperatorService


def caller_server(
    settings: DaemonSettings, service: CallerService, hang_ups: HangUpWatcher
) -> WsgiServer:
    """Return the HTTP server for callers and the local backend server's own calls."""
    options = WsgiOptions(
        host=settings.caller_listen.host,
        port=settings.caller_listen.port,
        threads=settings.limits.caller_threads,
        max_body_bytes=settings.limits.max_body_bytes,
        max_header_bytes=MAX_HEADER_BYTES,
        connection_limit=settings.limits.caller_connections,
        channel_timeout_s=CHANNEL_TIMEOUT_S,
        backlog=LISTEN_BACKLOG,
        lookahead=LOOKAHEAD_REQUESTS,
    )
    return WsgiServer(CallerApplication(service, hang_ups), options, name="caller-http")


def operator_server(settings: DaemonSettings, service: OperatorService) -> WsgiServer:
    """Return the HTTP server for operators and backend server announcements."""
    options = WsgiOptions(
        host=settings.operator_listen.host,
        port=settings.operator_listen.port,
        threads=THREADS,
        max_body_bytes=MAX_BODY_BYTES,
        connection_limit=MAX_CONNECTIONS,
    )
    return WsgiServer(OperatorApplication(service), options, name="operator-http")
