"""WSGI application for calls from callers and nested calls from backend servers."""

import http
import json
import logging
import math
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from damaskbay.adapters.caller_http.const import (
    INTERNAL_PATH_PREFIX,
    MAX_REQUEST_IDS,
    REQUEST_IDS_PATH,
)
from damaskbay.adapters.caller_http.exceptions import BadHeaderError
from damaskbay.adapters.caller_http.hang_up import HangUpWatcher
from damaskbay.adapters.caller_http.reading import read_call
from damaskbay.const import HEADER_CALL_ID, HEADER_OUTCOME, HEADER_REASON
from damaskbay.core.call import Headers, Response
from damaskbay.core.http_status import status_of
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.http_headers import without_headers, without_hop_by_hop
from damaskbay.ports.caller import CallerService, ServedCall

_LOGGER = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]

_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_REFUSAL_HEADERS = frozenset(
    name.lower() for name in (HEADER_OUTCOME, HEADER_REASON, HEADER_CALL_ID)
)


class CallerApplication:
    """Passes calls to the service and writes its response or refusal."""

    def __init__(
        self, service: CallerService, disconnect_watcher: HangUpWatcher
    ) -> None:
        self._service = service
        self._disconnect_watcher = disconnect_watcher

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request (PEP 3333)."""
        try:
            if environ["PATH_INFO"].startswith(INTERNAL_PATH_PREFIX):
                return self._serve_internal_path(environ, start_response)
            return self._serve_call(environ, start_response)
        except BadHeaderError as error:
            refusal = not_run(Reason.BAD_REQUEST, detail=str(error))
            return _write_refusal(refusal, "", environ, start_response)
        except Exception:
            _LOGGER.exception("edge: call failed.")
            refusal = unknown(Reason.INTERNAL_ERROR)
            return _write_refusal(refusal, "", environ, start_response)

    def _serve_call(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        call = read_call(environ)
        cancellation = Cancellation()
        with self._disconnect_watcher.watch(
            environ["waitress.client_disconnected"], cancellation
        ):
            served = self._service.serve(call, cancellation)
        return _write_result(served, environ, start_response)

    def _serve_internal_path(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] != REQUEST_IDS_PATH:
            refusal = not_run(Reason.NO_ROUTE)
            return _write_refusal(refusal, "", environ, start_response)
        if environ["REQUEST_METHOD"] != "POST":
            refusal = not_run(Reason.BAD_REQUEST, detail="use POST")
            return _write_refusal(refusal, "", environ, start_response)
        count = parse_qs(environ.get("QUERY_STRING", "")).get("count", ["1"])[0]
        if not (count.isascii() and count.isdigit() and 0 < len(count) < 6):
            refusal = not_run(
                Reason.BAD_REQUEST,
                detail="count must be a whole number of at most 5 digits",
            )
            return _write_refusal(refusal, "", environ, start_response)
        issued = self._service.issue_request_ids(
            max(1, min(int(count), MAX_REQUEST_IDS))
        )
        if isinstance(issued, Refusal):
            return _write_refusal(issued, "", environ, start_response)
        document = {
            "request_ids": list(issued.request_ids),
            "valid_s": issued.valid_s,
        }
        return _write_json(200, document, (), environ, start_response)


def _write_result(
    served: ServedCall, environ: Environ, start_response: StartResponse
) -> Iterable[bytes]:
    result = served.result.result
    if isinstance(result, Refusal):
        return _write_refusal(result, served.call_id, environ, start_response)
    return _write_response(result, served.call_id, environ, start_response)


def _write_response(
    response: Response, call_id: str, environ: Environ, start_response: StartResponse
) -> Iterable[bytes]:
    headers = list(
        without_headers(without_hop_by_hop(response.headers), _REFUSAL_HEADERS)
    )
    headers.append((HEADER_CALL_ID, call_id))
    no_body = (
        response.status in _STATUSES_WITHOUT_BODY or environ["REQUEST_METHOD"] == "HEAD"
    )
    names = {name.lower() for name, _ in headers}
    if "content-length" not in names and not no_body:
        headers.append(("Content-Length", str(len(response.body))))
    start_response(_status_line(response.status), headers)
    return [] if no_body else [response.body]


def _write_refusal(
    refusal: Refusal, call_id: str, environ: Environ, start_response: StartResponse
) -> Iterable[bytes]:
    headers = [
        (HEADER_OUTCOME, refusal.outcome.value),
        (HEADER_REASON, refusal.reason.value),
    ]
    if call_id:
        headers.append((HEADER_CALL_ID, call_id))
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after_s)))))
    document = {
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "retry_after_s": refusal.retry_after_s,
    }
    return _write_json(
        status_of(refusal), document, tuple(headers), environ, start_response
    )


def _write_json(
    status: int,
    document: dict[str, Any],
    extra_headers: Headers,
    environ: Environ,
    start_response: StartResponse,
) -> Iterable[bytes]:
    body = json.dumps(document).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *extra_headers,
    ]
    start_response(_status_line(status), headers)
    return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]


def _status_line(status: int) -> str:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"
