"""HTTP client of the platform's key-value service."""

from collections.abc import Callable, Mapping
from http.client import HTTPException
from types import TracebackType
from typing import Self
from urllib.parse import urlencode

from pydantic import ValidationError

from damaskbay.adapters.platform_http import const
from damaskbay.adapters.platform_http.connections import (
    ConnectionPool,
    RawRequest,
    RawResponse,
)
from damaskbay.adapters.platform_http.exceptions import BadAnswerError, NotSentError
from damaskbay.adapters.platform_http.models import ListModel
from damaskbay.const import MAX_PLATFORM_VALUE_BYTES
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.platform import Conflict, Entry, PlatformFailure, PlatformProblem

Query = Mapping[str, str | int | float]


class HttpPlatform:
    """
    HTTP implementation of ports.platform.Platform. Thread-safe.

    `host` is an IP address. `name` identifies this client to the service.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        name: str = "",
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self._clock = clock
        self._headers = {const.HEADER_CLIENT: name} if name else {}
        self._pool = ConnectionPool(host, port, clock)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._pool.close()

    def get(self, key: str, *, timeout_s: float) -> Entry | PlatformFailure | None:
        """Return the entry, or None if there is none."""
        response = self._request(
            "GET", const.PATH_ENTRY, {const.QUERY_KEY: key}, timeout_s=timeout_s
        )
        return _parse_entry(key, response, PlatformProblem.UNAVAILABLE)

    def list(
        self, prefix: str, *, timeout_s: float
    ) -> tuple[Entry, ...] | PlatformFailure:
        """Return all entries whose keys start with the prefix, in key order."""
        response = self._request(
            "GET", const.PATH_LIST, {const.QUERY_PREFIX: prefix}, timeout_s=timeout_s
        )
        if isinstance(response, PlatformFailure):
            return response
        if response.status != const.STATUS_OK:
            return _parse_failure(response, PlatformProblem.UNAVAILABLE)
        try:
            model = ListModel.model_validate_json(response.body)
        except ValidationError as error:
            detail = f"invalid list: {error.error_count()} errors"
            return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)
        return tuple(
            Entry(item.key, item.value, item.revision) for item in model.entries
        )

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_s: float | None = None,
        timeout_s: float,
    ) -> Entry | Conflict | PlatformFailure:
        """Write if the entry has the expected revision; 0 means that it is absent."""
        if len(value) > MAX_PLATFORM_VALUE_BYTES:
            detail = f"{len(value)} bytes exceed {MAX_PLATFORM_VALUE_BYTES}"
            return PlatformFailure(PlatformProblem.VALUE_TOO_LARGE, detail)
        query: dict[str, str | int | float] = {
            const.QUERY_KEY: key,
            const.QUERY_EXPECTED: expected_revision,
        }
        if lease_s is not None:
            query[const.QUERY_LEASE] = lease_s
        response = self._request(
            "PUT", const.PATH_ENTRY, query, value, timeout_s=timeout_s
        )
        if isinstance(response, PlatformFailure):
            return response
        if response.status != const.STATUS_OK:
            return _parse_conflict(key, response)
        revision = _parse_revision(response)
        if revision is None:
            return _reply_lost("response has no revision")
        return Entry(key, value, revision)

    def delete(
        self, key: str, *, expected_revision: int, timeout_s: float
    ) -> Entry | Conflict | PlatformFailure | None:
        """Delete and return the entry of the expected revision, or None if absent."""
        query: Query = {const.QUERY_KEY: key, const.QUERY_EXPECTED: expected_revision}
        response = self._request("DELETE", const.PATH_ENTRY, query, timeout_s=timeout_s)
        if (
            isinstance(response, RawResponse)
            and response.status == const.STATUS_CONFLICT
        ):
            return _parse_conflict(key, response)
        return _parse_entry(key, response, PlatformProblem.ANSWER_LOST)

    def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> Entry | PlatformFailure | None:
        """Wait for an entry with a higher revision; return None on timeout."""
        wait_s = max(timeout_s - const.WATCH_MARGIN_S, timeout_s / 2)
        query: Query = {
            const.QUERY_KEY: key,
            const.QUERY_AFTER: after_revision,
            const.QUERY_TIMEOUT: wait_s,
        }
        response = self._request("GET", const.PATH_WATCH, query, timeout_s=timeout_s)
        entry = _parse_entry(key, response, PlatformProblem.UNAVAILABLE)
        if isinstance(entry, Entry) and entry.revision <= after_revision:
            detail = f"watch returned the old revision {entry.revision}"
            return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)
        return entry

    def _request(
        self,
        method: str,
        path: str,
        query: Query,
        body: bytes | None = None,
        *,
        timeout_s: float,
    ) -> RawResponse | PlatformFailure:
        request = RawRequest(method, f"{path}?{urlencode(query)}", self._headers, body)
        deadline = self._clock() + timeout_s
        try:
            return self._pool.send(request, deadline)
        except NotSentError as error:
            return PlatformFailure(PlatformProblem.UNAVAILABLE, str(error))
        except (OSError, HTTPException, ValueError, BadAnswerError) as error:
            detail = f"{type(error).__name__}: {error}"
            if method == "GET":
                return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)
            return _reply_lost(detail)


def _parse_entry(
    key: str, response: RawResponse | PlatformFailure, problem: PlatformProblem
) -> Entry | PlatformFailure | None:
    """
    Return the entry, None if it is absent, or a failure.

    `problem` is used if the response does not identify the problem.
    """
    if isinstance(response, PlatformFailure):
        return response
    if _is_absent(response):
        return None
    if response.status != const.STATUS_OK:
        return _parse_failure(response, problem)
    revision = _parse_revision(response)
    if revision is None:
        return PlatformFailure(problem, "response has no revision")
    return Entry(key, response.body, revision)


def _is_absent(response: RawResponse) -> bool:
    marked = const.HEADER_ABSENT.lower() in response.headers
    return marked and response.status == const.STATUS_NOTHING


def _parse_conflict(key: str, response: RawResponse) -> Conflict | PlatformFailure:
    if response.status != const.STATUS_CONFLICT:
        return _parse_failure(response, PlatformProblem.ANSWER_LOST)
    if const.HEADER_REVISION.lower() not in response.headers:
        return Conflict(None)
    revision = _parse_revision(response)
    if revision is None:
        return _reply_lost("conflict response has no revision")
    return Conflict(Entry(key, response.body, revision))


def _parse_failure(response: RawResponse, problem: PlatformProblem) -> PlatformFailure:
    detail = f"status {response.status}"
    if response.status == const.STATUS_BUSY:
        return PlatformFailure(PlatformProblem.BUSY, detail)
    if response.status == const.STATUS_TOO_LARGE:
        return PlatformFailure(PlatformProblem.VALUE_TOO_LARGE, detail)
    if const.HEADER_NO_EFFECT.lower() in response.headers:
        return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)
    return PlatformFailure(problem, detail)


def _parse_revision(response: RawResponse) -> int | None:
    revision = response.headers.get(const.HEADER_REVISION.lower(), "")
    if not (revision.isascii() and revision.isdigit() and len(revision) <= 18):
        return None
    return int(revision) or None


def _reply_lost(detail: str) -> PlatformFailure:
    return PlatformFailure(PlatformProblem.ANSWER_LOST, detail)
