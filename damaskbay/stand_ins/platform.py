"""HTTP server of the platform stand-in, with endpoints for faults and counters."""

import logging
import threading
from base64 import b64encode
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from types import TracebackType
from typing import Any, Self
from urllib.parse import parse_qs

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from waitress import create_server, wasyncore

from damaskbay.adapters.platform_http import const
from damaskbay.adapters.platform_http.models import EntryModel, ListModel
from damaskbay.const import MAX_PLATFORM_VALUE_BYTES
from damaskbay.ports.platform import Conflict, Entry, PlatformFailure, PlatformProblem
from damaskbay.stand_ins.memory_platform import MemoryPlatform
from damaskbay.stand_ins.platform_faults import Counters, Faults

_LOGGER = logging.getLogger(__name__)

PATH_FAULTS = "/v1/faults"
PATH_COUNTERS = "/v1/counters"
DEFAULT_THREADS = 64
MAX_CONNECTIONS = 2000
_POLL_INTERVAL_S = 0.5
_REQUEST_TIMEOUT_S = 60.0
_MISSING_BYTES = 100
_FAULTS = TypeAdapter(Faults)
_COUNTERS = TypeAdapter(Counters)
_STATUS_BY_PROBLEM = {
    PlatformProblem.UNAVAILABLE: const.STATUS_UNAVAILABLE,
    PlatformProblem.BUSY: const.STATUS_BUSY,
    PlatformProblem.VALUE_TOO_LARGE: const.STATUS_TOO_LARGE,
}


class _Query(BaseModel):
    """The query parameters of all endpoints; each endpoint uses some of them."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    key: str = Field(default="", max_length=512)
    prefix: str = Field(default="", max_length=512)
    expected_revision: int = Field(default=0, ge=0)
    after_revision: int = Field(default=0, ge=0)
    lease_s: float | None = Field(default=None, gt=0, le=86_400)
    timeout_s: float = Field(default=0, ge=0, le=_REQUEST_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class _Request:
    platform: MemoryPlatform
    query: _Query
    body: bytes


@dataclass(frozen=True, slots=True)
class _Response:
    """An HTTP response; if truncated, it ends before its Content-Length."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    truncated: bool = False


class PlatformServer:
    """
    Serves a MemoryPlatform on an IP number; a context manager.

    Port 0 selects a free port, shown by `port`. A waiting watch occupies one of
    the `threads`.
    """

    def __init__(
        self,
        platform: MemoryPlatform | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = DEFAULT_THREADS,
    ) -> None:
        self.platform = platform or MemoryPlatform()
        self.host = host
        self._sockets: dict[int, Any] = {}
        self._server = create_server(
            _application(self.platform),
            map=self._sockets,
            host=host,
            port=port,
            threads=threads,
            connection_limit=MAX_CONNECTIONS,
            ident="platform",
            max_request_body_size=2 * MAX_PLATFORM_VALUE_BYTES,
            clear_untrusted_proxy_headers=True,
        )
        self.port: int = self._server.effective_port
        self._stop = threading.Event()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="platform")
        self._running: Future[None] | None = None

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
        self._server.pull_trigger()
        self._executor.shutdown()

    def _run(self) -> None:
        try:
            while not self._stop.is_set():
                wasyncore.loop(
                    timeout=_POLL_INTERVAL_S, use_poll=True, map=self._sockets, count=1
                )
        finally:
            self._server.task_dispatcher.shutdown(timeout=_POLL_INTERVAL_S)
            wasyncore.close_all(self._sockets, ignore_all=True)


def _application(
    platform: MemoryPlatform,
) -> Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]:
    """Return the WSGI application that serves the platform's HTTP interface."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = _handle(platform, environ)
        length = len(response.body) + (_MISSING_BYTES if response.truncated else 0)
        headers = [*response.headers.items(), ("Content-Length", str(length))]
        phrase = HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", headers)
        return [response.body]

    return application


def _handle(platform: MemoryPlatform, environ: dict[str, Any]) -> _Response:
    endpoint = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
    handler = _HANDLERS_BY_ENDPOINT.get(endpoint)
    if handler is None:
        return _Response(HTTPStatus.NOT_FOUND, body=b"no such path")
    parameters = parse_qs(environ["QUERY_STRING"], keep_blank_values=True)
    try:
        query = _Query.model_validate(
            {name: item[-1] for name, item in parameters.items()}
        )
        client = platform.client(environ.get("HTTP_PLATFORM_CLIENT", ""))
        return handler(_Request(client, query, environ["wsgi.input"].read()))
    except ValidationError as error:
        return _Response(HTTPStatus.BAD_REQUEST, body=str(error).encode())


def _get(request: _Request) -> _Response:
    return _to_response(
        request.platform.get(request.query.key, timeout_s=_REQUEST_TIMEOUT_S)
    )


def _list(request: _Request) -> _Response:
    result = request.platform.list(request.query.prefix, timeout_s=_REQUEST_TIMEOUT_S)
    if isinstance(result, PlatformFailure):
        return _to_response(result)
    entries = tuple(
        EntryModel(key=item.key, value=b64encode(item.value), revision=item.revision)
        for item in result
    )
    return _Response(
        const.STATUS_OK, body=ListModel(entries=entries).model_dump_json().encode()
    )


def _put(request: _Request) -> _Response:
    result = request.platform.compare_and_swap(
        request.query.key,
        request.body,
        expected_revision=request.query.expected_revision,
        lease_s=request.query.lease_s,
        timeout_s=_REQUEST_TIMEOUT_S,
    )
    response = _to_response(result)
    return (
        _Response(response.status, response.headers)
        if response.status == 200
        else response
    )


def _delete(request: _Request) -> _Response:
    return _to_response(
        request.platform.delete(
            request.query.key,
            expected_revision=request.query.expected_revision,
            timeout_s=_REQUEST_TIMEOUT_S,
        )
    )


def _watch(request: _Request) -> _Response:
    return _to_response(
        request.platform.watch(
            request.query.key,
            after_revision=request.query.after_revision,
            timeout_s=request.query.timeout_s,
        )
    )


def _show_faults(request: _Request) -> _Response:
    return _Response(const.STATUS_OK, body=_FAULTS.dump_json(request.platform.faults))


def _set_faults(request: _Request) -> _Response:
    """Set the faults in the JSON body; reset all others."""
    faults = _FAULTS.validate_json(request.body)
    request.platform.inject(**asdict(faults))
    _LOGGER.info("platform: faults set: %s.", faults)
    return _show_faults(request)


def _show_counters(request: _Request) -> _Response:
    return _Response(
        const.STATUS_OK, body=_COUNTERS.dump_json(request.platform.counters)
    )


_HANDLERS_BY_ENDPOINT: dict[tuple[str, str], Callable[[_Request], _Response]] = {
    ("GET", const.PATH_ENTRY): _get,
    ("GET", const.PATH_LIST): _list,
    ("GET", const.PATH_WATCH): _watch,
    ("PUT", const.PATH_ENTRY): _put,
    ("DELETE", const.PATH_ENTRY): _delete,
    ("GET", PATH_FAULTS): _show_faults,
    ("PUT", PATH_FAULTS): _set_faults,
    ("GET", PATH_COUNTERS): _show_counters,
}


def _to_response(result: Entry | Conflict | PlatformFailure | None) -> _Response:
    if result is None:
        return _Response(const.STATUS_NOTHING, {const.HEADER_ABSENT: "1"})
    if isinstance(result, Entry):
        headers = {const.HEADER_REVISION: str(result.revision)}
        return _Response(const.STATUS_OK, headers, result.value)
    if isinstance(result, Conflict):
        if result.current is None:
            return _Response(const.STATUS_CONFLICT)
        current = _to_response(result.current)
        return _Response(const.STATUS_CONFLICT, current.headers, current.body)
    status = _STATUS_BY_PROBLEM.get(result.problem)
    if status is None:
        return _Response(const.STATUS_OK, truncated=True)
    headers = {const.HEADER_NO_EFFECT: "1"}
    return _Response(status, headers, result.detail.encode())
