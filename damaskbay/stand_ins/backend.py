"""Stand-in for a backend server: simulates work, calls routes, records requests."""

import http.client
import json
import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Final, Self

from waitress.server import create_server

from damaskbay.const import HEADER_CALL_TOKEN
from damaskbay.ports.peer import PeerAddress

HEADER_WORK_MS: Final = "X-Work-Ms"
HEADER_NESTED: Final = "X-Nested"
HEADER_STATUS: Final = "X-Answer-Status"
HEADER_BYTES: Final = "X-Answer-Bytes"
SEEN_PATH: Final = "/.stand-in/seen"
MAX_REPORTED_BODY_BYTES: Final = 1000
MAX_RECORDED_REQUESTS: Final = 10_000

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True, slots=True)
class BackendOptions:
    """
    Options of the stand-in.

    `work_s` is the default processing time of a request in seconds. Up to `slots`
    requests run concurrently, others wait. `daemon` is the caller address of the
    local daemon, to which nested calls are sent.
    """

    host: str
    port: int
    name: str
    slots: int = 8
    threads: int = 64
    work_s: float = 0.0
    daemon: PeerAddress | None = None


@dataclass(slots=True)
class RecordedRequest:
    """One request as the stand-in received it."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class BackendState:
    """
    Fault settings and records, readable and writable while the stand-in runs.

    `slow_factor` multiplies the processing time; `fail_share` is the fraction of
    requests that get status 500. `seen` holds the first requests, at most
    MAX_RECORDED_REQUESTS; `runs_by_target` counts all.
    """

    slow_factor: float = 1.0
    fail_share: float = 0.0
    seen: list[RecordedRequest] = field(default_factory=list)
    runs_by_target: dict[str, int] = field(default_factory=dict)
    running: int = 0


class BackendStandIn:
    """A backend server over HTTP; a context manager that starts and stops it."""

    def __init__(self, options: BackendOptions, *, seed: int = 0) -> None:
        self.options = options
        self.state = BackendState()
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._slots = threading.BoundedSemaphore(options.slots)
        self._server = create_server(
            self._application,
            host=options.host,
            port=options.port,
            threads=options.threads,
            channel_timeout=120,
        )
        self.port: int = self._server.effective_port
        self._thread = threading.Thread(target=self._server.run, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.close()

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == SEEN_PATH:
            return self._report_requests(start_response)
        self._record_request(environ)
        with self._slots:
            return self._work(environ, start_response)

    def _work(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        work_s = float(_header(environ, HEADER_WORK_MS) or 0) / 1000
        work_s = (work_s or self.options.work_s) * self.state.slow_factor
        with self._lock:
            self.state.running += 1
            fails = self._random.random() < self.state.fail_share
        try:
            if work_s > 0:
                time.sleep(work_s)
            nested = self._call_nested(environ)
        finally:
            with self._lock:
                self.state.running -= 1
        if fails:
            start_response("500 Internal Server Error", [])
            return []
        return self._respond(environ, start_response, nested)

    def _respond(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        nested: list[int],
    ) -> Iterable[bytes]:
        status = int(_header(environ, HEADER_STATUS) or 200)
        if status in (204, 304):
            start_response(f"{status} Fixed", [("X-Repeat", "1"), ("X-Repeat", "2")])
            return []
        body = json.dumps(
            {
                "server": self.options.name,
                "target": environ["REQUEST_URI"],
                "nested": nested,
            }
        ).encode()
        size = int(_header(environ, HEADER_BYTES) or 0)
        if size:
            body = environ["wsgi.input"].read() or bytes(size)
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
            ("X-Repeat", "1"),
            ("X-Repeat", "2"),
        ]
        start_response(f"{status} Fixed", headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]

    def _report_requests(self, start_response: StartResponse) -> Iterable[bytes]:
        with self._lock:
            seen = list(self.state.seen)
        body = json.dumps(
            [
                {
                    "method": item.method,
                    "target": item.target,
                    "headers": item.headers,
                    "body": item.body[:MAX_REPORTED_BODY_BYTES].decode("latin-1"),
                }
                for item in seen
            ]
        ).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def _record_request(self, environ: dict[str, Any]) -> None:
        body = environ["wsgi.input"].read()
        environ["wsgi.input"].seek(0)
        headers = tuple(
            (name[5:].replace("_", "-").lower(), str(value))
            for name, value in environ.items()
            if name.startswith("HTTP_")
        )
        target = environ["REQUEST_URI"]
        seen = RecordedRequest(environ["REQUEST_METHOD"], target, headers, body)
        with self._lock:
            self.state.runs_by_target[target] = (
                self.state.runs_by_target.get(target, 0) + 1
            )
            if len(self.state.seen) < MAX_RECORDED_REQUESTS:
                self.state.seen.append(seen)

    def _call_nested(self, environ: dict[str, Any]) -> list[int]:
        """Call the first path in the header, passing on the rest; return its status."""
        paths = _header(environ, HEADER_NESTED)
        if not paths or self.options.daemon is None:
            return []
        first, *rest = paths.split(",")
        token = _header(environ, HEADER_CALL_TOKEN) or ""
        headers = {HEADER_CALL_TOKEN: token, "Host": environ["HTTP_HOST"]}
        if rest:
            headers[HEADER_NESTED] = ",".join(rest)
        daemon = self.options.daemon
        connection = http.client.HTTPConnection(daemon.host, daemon.port, timeout=30)
        try:
            connection.request("GET", first, headers=headers)
            response = connection.getresponse()
            response.read()
            return [response.status]
        finally:
            connection.close()


def _header(environ: dict[str, Any], name: str) -> str | None:
    value = environ.get("HTTP_" + name.upper().replace("-", "_"))
    return None if value is None else str(value)
