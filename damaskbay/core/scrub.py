"""Removal of callers' keys from requests before they go to a backend server."""

from damaskbay.const import (
    HEADER_CALL_TOKEN,
    HEADER_DEADLINE,
    HEADER_KEY,
    HEADER_REQUEST_ID,
)
from damaskbay.core.call import Headers, Request
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.helpers.keys import body_contains_key, contains_key

_LAYER_HEADERS = frozenset(
    name.lower()
    for name in (HEADER_KEY, HEADER_CALL_TOKEN, HEADER_DEADLINE, HEADER_REQUEST_ID)
)


def scrub(request: Request, presented: str | None) -> Request | Refusal:
    """
    Return the request without headers and query items that contain a key.

    `presented` is the key that the caller sent. A key in the path or the body
    can't be removed without changing the request, so such a request is refused.
    """
    path, separator, query = request.target.partition("?")
    if contains_key(path, presented):
        return not_run(Reason.BAD_REQUEST, detail="the path contains a key")
    if body_contains_key(request.body, presented):
        return not_run(Reason.BAD_REQUEST, detail="the body contains a key")
    target = path
    if separator:
        target = _join_target(path, _scrub_query(query, presented))
    headers = _scrub_headers(request.headers, presented)
    return Request(request.method, request.host, target, headers, request.body)


def _scrub_query(query: str, presented: str | None) -> str:
    items = query.split("&")
    return "&".join(item for item in items if not contains_key(item, presented))


def _scrub_headers(headers: Headers, presented: str | None) -> Headers:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _LAYER_HEADERS
        and not contains_key(value, presented)
        and not contains_key(name, presented)
    )


def _join_target(path: str, query: str) -> str:
    return f"{path}?{query}" if query else path
