"""The platform stand-in over HTTP, with an operator endpoint for its faults."""

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
_LOOP_S = 0.5
_CALL_TIMEOUT_S = 60.0
_MISSING_BYTES = 100
_FAULTS = TypeAdapter(Faults)
_COUNTERS = TypeAdapter(Counters)
_STATUS_BY_PROBLEM = {
    PlatformProblem.UNAVAILABLE: const.STATUS_UNAVAILABLE,
    PlatformProblem.BUSY: const.STATUS_BUSY,
    PlatformProblem.VALUE_TOO_LARGE: const.STATUS_TOO_LARGE,
}


class _Query(BaseModel):
    """The query of any call; each path needs some of the fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    key: str = Field(default="", max_length=512)
    prefix: str = Field(default="", max_length=512)
    expected_revision: int = Field(default=0, ge=0)
    after_revision: int = Field(default=0, ge=0)
    lease_s: float | None = Field(default=None, gt=0, le=86_400)
    timeout_s: float = Field(default=0, ge=0, le=_CALL_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class _Call:
    platform: MemoryPlatform
    query: _Query
    body: bytes


@dataclass(frozen=True, slots=True)
class _Reply:
    """What to answer; a `cut_short` answer ends before its promised length."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    cut_short: bool = False


class PlatformServer:
    """
    Serves a MemoryPlatform on an IP number; entered and left as a context manager.

    Port 0 takes a free one: see `port`. A waiting watch holds one of `threads`.
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
                    timeout=_LOOP_S, use_poll=True, map=self._sockets, count=1
                )
        finally:
            self._server.task_dispatcher.shutdown(timeout=_LOOP_S)
            wasyncore.close_all(self._sockets, ignore_all=True)


def _application(
    platform: MemoryPlatform,
) -> Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]:
    """Return the WSGI application of the interface."""

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        reply = _answer(platform, environ)
        length = len(reply.body) + (_MISSING_BYTES if reply.cut_short else 0)
        headers = [*reply.headers.items(), ("Content-Length", str(length))]
        phrase = HTTPStatus(reply.status).phrase
        start_response(f"{reply.status} {phrase}", headers)
        return [reply.body]

    return application


def _answer(platform: MemoryPlatform, environ: dict[str, Any]) -> _Reply:
    place = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
    handler = _HANDLERS_BY_PLACE.get(place)
    if handler is None:
        return _Reply(HTTPStatus.NOT_FOUND, body=b"no such path")
    named = parse_qs(environ["QUERY_STRING"], keep_blank_values=True)
    try:
        query = _Query.model_validate({name: item[-1] for name, item in named.items()})
        client = platform.client(environ.get("HTTP_PLATFORM_CLIENT", ""))
        return handler(_Call(client, query, environ["wsgi.input"].read()))
    except ValidationError as error:
        return _Reply(HTTPStatus.BAD_REQUEST, body=str(error).encode())


def _get(call: _Call) -> _Reply:
    return _reply(call.platform.get(call.query.key, timeout_s=_CALL_TIMEOUT_S))


def _list(call: _Call) -> _Reply:
    result = call.platform.list(call.query.prefix, timeout_s=_CALL_TIMEOUT_S)
    if isinstance(result, PlatformFailure):
        return _reply(result)
    entries = tuple(
        EntryModel(key=item.key, value=b64encode(item.value), revision=item.revision)
        for item in result
    )
    return _Reply(
        const.STATUS_OK, body=ListModel(entries=entries).model_dump_json().encode()
    )


def _put(call: _Call) -> _Reply:
    result = call.platform.compare_and_swap(
        call.query.key,
        call.body,
        expected_revision=call.query.expected_revision,
        lease_s=call.query.lease_s,
        timeout_s=_CALL_TIMEOUT_S,
    )
    reply = _reply(result)
    return _Reply(reply.status, reply.headers) if reply.status == 200 else reply


def _delete(call: _Call) -> _Reply:
    return _reply(
        call.platform.delete(
            call.query.key,
            expected_revision=call.query.expected_revision,
            timeout_s=_CALL_TIMEOUT_S,
        )
    )


def _watch(call: _Call) -> _Reply:
    return _reply(
        call.platform.watch(
            call.query.key,
            after_revision=call.query.after_revision,
            timeout_s=call.query.timeout_s,
        )
    )


def _show_faults(call: _Call) -> _Reply:
    return _Reply(const.STATUS_OK, body=_FAULTS.dump_json(call.platform.faults))


def _set_faults(call: _Call) -> _Reply:
    """Put the faults in place that the JSON body names; the others end."""
    faults = _FAULTS.validate_json(call.body)
    call.platform.inject(**asdict(faults))
    _LOGGER.info("platform: faults set: %s.", faults)
    return _show_faults(call)


def _show_counters(call: _Call) -> _Reply:
    return _Reply(const.STATUS_OK, body=_COUNTERS.dump_json(call.platform.counters))


_HANDLERS_BY_PLACE: dict[tuple[str, str], Callable[[_Call], _Reply]] = {
    ("GET", const.PATH_ENTRY): _get,
    ("GET", const.PATH_LIST): _list,
    ("GET", const.PATH_WATCH): _watch,
    ("PUT", const.PATH_ENTRY): _put,
    ("DELETE", const.PATH_ENTRY): _delete,
    ("GET", PATH_FAULTS): _show_faults,
    ("PUT", PATH_FAULTS): _set_faults,
    ("GET", PATH_COUNTERS): _show_counters,
}


def _reply(result: Entry | Conflict | PlatformFailure | None) -> _Reply:
    if result is None:
        return _Reply(const.STATUS_NOTHING, {const.HEADER_ABSENT: "1"})
    if isinstance(result, Entry):
        headers = {const.HEADER_REVISION: str(result.revision)}
        return _Reply(const.STATUS_OK, headers, result.value)
    if isinstance(result, Conflict):
        if result.current is None:
            return _Reply(const.STATUS_CONFLICT)
        current = _reply(result.current)
        return _Reply(const.STATUS_CONFLICT, current.headers, current.body)
    status = _STATUS_BY_PROBLEM.get(result.problem)
    if status is None:
        return _Reply(const.STATUS_OK, cut_short=True)
    headers = {const.HEADER_NO_EFFECT: "1"}
    return _Reply(status, headers, result.detail.encode())
