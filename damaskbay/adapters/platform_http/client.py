"""Client of the platform's key-value service."""

from collections.abc import Callable, Mapping
from http.client import HTTPException
from types import TracebackType
from typing import Self
from urllib.parse import urlencode

from pydantic import ValidationError

from damaskbay.adapters.platform_http import const
from damaskbay.adapters.platform_http.connections import (
    Connections,
    RawAnswer,
    RawCall,
)
from damaskbay.adapters.platform_http.exceptions import BadAnswerError, NotSentError
from damaskbay.adapters.platform_http.models import ListModel
from damaskbay.const import MAX_PLATFORM_VALUE_BYTES
from damaskbay.helpers.clock import monotonic_s
from damaskbay.ports.platform import Conflict, Entry, PlatformFailure, PlatformProblem

Query = Mapping[str, str | int | float]


class HttpPlatform:
    """
    Implements ports.platform.Platform over HTTP; safe from any thread.

    `host` is an IP number. `name` tells the service which client calls.
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
        self._connections = Connections(host, port, clock)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._connections.close()

    def get(self, key: str, *, timeout_s: float) -> Entry | PlatformFailure | None:
        """Return the entry, or None where there is none."""
        answer = self._call(
            "GET", const.PATH_ENTRY, {const.QUERY_KEY: key}, timeout_s=timeout_s
        )
        return _entry_of(key, answer, PlatformProblem.UNAVAILABLE)

    def list(
        self, prefix: str, *, timeout_s: float
    ) -> tuple[Entry, ...] | PlatformFailure:
        """Return all entries whose key starts with the prefix, in key order."""
        answer = self._call(
            "GET", const.PATH_LIST, {const.QUERY_PREFIX: prefix}, timeout_s=timeout_s
        )
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status != const.STATUS_OK:
            return _failure_of(answer, PlatformProblem.UNAVAILABLE)
        try:
            model = ListModel.model_validate_json(answer.body)
        except ValidationError as error:
            detail = f"bad list: {error.error_count()} faults"
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
        """Write if the entry's revision is the expected one; 0 means absent."""
        if len(value) > MAX_PLATFORM_VALUE_BYTES:
            detail = f"{len(value)} bytes exceed {MAX_PLATFORM_VALUE_BYTES}"
            return PlatformFailure(PlatformProblem.VALUE_TOO_LARGE, detail)
        query: dict[str, str | int | float] = {
            const.QUERY_KEY: key,
            const.QUERY_EXPECTED: expected_revision,
        }
        if lease_s is not None:
            query[const.QUERY_LEASE] = lease_s
        answer = self._call("PUT", const.PATH_ENTRY, query, value, timeout_s=timeout_s)
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status != const.STATUS_OK:
            return _conflict_of(key, answer)
        revision = _revision_of(answer)
        if revision is None:
            return _lost("the answer names no revision")
        return Entry(key, value, revision)

    def delete(
        self, key: str, *, expected_revision: int, timeout_s: float
    ) -> Entry | Conflict | PlatformFailure | None:
        """Delete if the entry's revision is the expected one."""
        query: Query = {const.QUERY_KEY: key, const.QUERY_EXPECTED: expected_revision}
        answer = self._call("DELETE", const.PATH_ENTRY, query, timeout_s=timeout_s)
        if isinstance(answer, RawAnswer) and answer.status == const.STATUS_CONFLICT:
            return _conflict_of(key, answer)
        return _entry_of(key, answer, PlatformProblem.ANSWER_LOST)

    def watch(
        self, key: str, *, after_revision: int, timeout_s: float
    ) -> Entry | PlatformFailure | None:
        """Wait until the entry's revision exceeds the given one; None: time is up."""
        wait_s = max(timeout_s - const.WATCH_MARGIN_S, timeout_s / 2)
        query: Query = {
            const.QUERY_KEY: key,
            const.QUERY_AFTER: after_revision,
            const.QUERY_TIMEOUT: wait_s,
        }
        answer = self._call("GET", const.PATH_WATCH, query, timeout_s=timeout_s)
        entry = _entry_of(key, answer, PlatformProblem.UNAVAILABLE)
        if isinstance(entry, Entry) and entry.revision <= after_revision:
            detail = f"the watch answered the old revision {entry.revision}"
            return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)
        return entry

    def _call(
        self,
        method: str,
        path: str,
        query: Query,
        body: bytes | None = None,
        *,
        timeout_s: float,
    ) -> RawAnswer | PlatformFailure:
        call = RawCall(method, f"{path}?{urlencode(query)}", self._headers, body)
        deadline = self._clock() + timeout_s
        try:
            return self._connections.call(call, deadline)
        except NotSentError as error:
            return PlatformFailure(PlatformProblem.UNAVAILABLE, str(error))
        except (OSError, HTTPException, ValueError, BadAnswerError) as error:
            detail = f"{type(error).__name__}: {error}"
            if method == "GET":
                return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)
            return _lost(detail)


def _entry_of(
    key: str, answer: RawAnswer | PlatformFailure, problem: PlatformProblem
) -> Entry | PlatformFailure | None:
    """Return the entry; `problem` is what an unknown answer means for this call."""
    if isinstance(answer, PlatformFailure):
        return answer
    if _is_absent(answer):
        return None
    if answer.status != const.STATUS_OK:
        return _failure_of(answer, problem)
    revision = _revision_of(answer)
    if revision is None:
        return PlatformFailure(problem, "the answer names no revision")
    return Entry(key, answer.body, revision)


def _is_absent(answer: RawAnswer) -> bool:
    marked = const.HEADER_ABSENT.lower() in answer.headers
    return marked and answer.status == const.STATUS_NOTHING


def _conflict_of(key: str, answer: RawAnswer) -> Conflict | PlatformFailure:
    if answer.status != const.STATUS_CONFLICT:
        return _failure_of(answer, PlatformProblem.ANSWER_LOST)
    if const.HEADER_REVISION.lower() not in answer.headers:
        return Conflict(None)
    revision = _revision_of(answer)
    if revision is None:
        return _lost("the conflict names no revision")
    return Conflict(Entry(key, answer.body, revision))


def _failure_of(answer: RawAnswer, problem: PlatformProblem) -> PlatformFailure:
    detail = f"status {answer.status}"
    if answer.status == const.STATUS_BUSY:
        return PlatformFailure(PlatformProblem.BUSY, detail)
    if answer.status == const.STATUS_TOO_LARGE:
        return PlatformFailure(PlatformProblem.VALUE_TOO_LARGE, detail)
    if const.HEADER_NO_EFFECT.lower() in answer.headers:
        return PlatformFailure(PlatformProblem.UNAVAILABLE, detail)
    return PlatformFailure(problem, detail)


def _revision_of(answer: RawAnswer) -> int | None:
    text = answer.headers.get(const.HEADER_REVISION.lower(), "")
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        return None
    return int(text) or None


def _lost(detail: str) -> PlatformFailure:
    return PlatformFailure(PlatformProblem.ANSWER_LOST, detail)
