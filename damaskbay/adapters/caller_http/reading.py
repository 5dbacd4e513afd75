"""Parsing of calls from WSGI environments."""

from typing import Any

from damaskbay.adapters.caller_http.const import (
    FALSE_VALUES,
    MAX_DEADLINE_MS,
    TRUE_VALUES,
)
from damaskbay.adapters.caller_http.exceptions import BadHeaderError
from damaskbay.const import (
    HEADER_CALL_TOKEN,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_KEY,
    HEADER_REQUEST_ID,
)
from damaskbay.core.call import Headers, Request
from damaskbay.helpers.http_headers import without_hop_by_hop
from damaskbay.ports.caller import IncomingCall


def read_call(environ: dict[str, Any]) -> IncomingCall:
    """Return the call; raise BadHeaderError if a Damaskbay header is invalid."""
    request = Request(
        method=environ["REQUEST_METHOD"],
        host=environ.get("HTTP_HOST", ""),
        target=_path_and_query(environ["REQUEST_URI"]),
        headers=without_hop_by_hop(_headers(environ)),
        body=environ["wsgi.input"].read(),
    )
    return IncomingCall(
        request=request,
        key=_header_value(environ, HEADER_KEY),
        call_token=_header_value(environ, HEADER_CALL_TOKEN),
        deadline_s=_parse_deadline_s(_header_value(environ, HEADER_DEADLINE)),
        request_id=_header_value(environ, HEADER_REQUEST_ID),
        idempotent=_parse_bool(_header_value(environ, HEADER_IDEMPOTENT)),
    )


def _path_and_query(uri: str) -> str:
    """Return path and query of a request target in origin or absolute form."""
    if uri.startswith("/"):
        return uri
    _, separator, rest = uri.partition("://")
    if not separator:
        return "/" + uri.lstrip("/")
    _, slash, path = rest.partition("/")
    return slash + path or "/"


def _headers(environ: dict[str, Any]) -> Headers:
    headers = [
        (_header_name(name[5:]), str(value))
        for name, value in environ.items()
        if name.startswith("HTTP_") and name != "HTTP_HOST"
    ]
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        value = environ.get(name)
        if value:
            headers.append((_header_name(name), str(value)))
    return tuple(headers)


def _header_name(name: str) -> str:
    """Return the header name for a WSGI variable without its `HTTP_` prefix."""
    return name.replace("_", "-").title()


def _header_value(environ: dict[str, Any], name: str) -> str | None:
    value = environ.get("HTTP_" + name.upper().replace("-", "_"))
    return str(value).strip() if value is not None else None


def _parse_deadline_s(value: str | None) -> float | None:
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and len(value) <= 10):
        raise BadHeaderError(HEADER_DEADLINE, "whole milliseconds")
    return min(int(value), MAX_DEADLINE_MS) / 1000


def _parse_bool(value: str | None) -> bool | None:
    if value is None:
        return None
    word = value.lower()
    if word in TRUE_VALUES:
        return True
    if word in FALSE_VALUES:
        return False
    raise BadHeaderError(HEADER_IDEMPOTENT, "true or false")
