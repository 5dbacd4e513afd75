"""Client that calls services through any available daemon."""

import json
import random
import ssl
import threading
import time
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Self

from damaskbay.client.addresses import DaemonSelector
from damaskbay.client.attempts import Attempts, refusal_from_headers
from damaskbay.client.connections import ConnectionPool, DaemonRequest
from damaskbay.client.const import MAX_REFUSAL_BYTES, REQUEST_IDS_TARGET
from damaskbay.client.options import ClientOptions, DaemonAddress
from damaskbay.client.request_ids import RequestIdCache, parse_issued_ids
from damaskbay.const import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_KEY,
    HEADER_OUTCOME,
    HEADER_REASON,
    HEADER_REQUEST_ID,
)
from damaskbay.core.call import Headers, Response
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.clock import monotonic_s

_DAEMON_FAILURE_REASONS = frozenset(
    {Reason.PEER_UNREACHABLE, Reason.PEER_LOST, Reason.ANSWER_INCOMPLETE}
)


class Client:
    """
    Client that calls services through daemons over HTTP; a context manager.

    Thread-safe. Failures are returned, not raised: a result is a Response, or a
    Refusal whose outcome shows whether the request may have run.
    """

    def __init__(
        self,
        addresses: Sequence[DaemonAddress],
        key: str | None,
        options: ClientOptions | None = None,
        *,
        tls: ssl.SSLContext | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = monotonic_s,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._options = options or ClientOptions()
        self._key = key
        self._rng = rng or random.Random()
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._daemons = DaemonSelector(addresses, self._options, self._rng)
        self._request_ids = RequestIdCache()
        self._connection_pool = ConnectionPool(self._options, tls, clock)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._connection_pool.close()

    def call(
        self,
        method: str,
        target: str,
        *,
        host: str,
        headers: Headers = (),
        body: bytes = b"",
        deadline_s: float,
        request_id: str | None = None,
        idempotent: bool | None = None,
    ) -> Response | Refusal:
        """
        Call a service and return its complete response, or a refusal.

        `target` is path and query, `host` the name of the service. `idempotent`
        False means that the request must not run twice. True allows a retry after
        an `unknown` outcome, and so does a request id, since daemons run a
        request id only once. None uses the setting of the route.
        """
        deadline = self._clock() + deadline_s
        retry_unknown = request_id is not None or idempotent is True
        attempts = Attempts(self._options, deadline, retry_unknown)
        request_headers = self._request_headers(host, request_id, idempotent)
        preferred = self._issuer_of(request_id)
        failed_daemons: set[DaemonAddress] = set()
        while True:
            address = self._choose_daemon(preferred, frozenset(failed_daemons))
            request = DaemonRequest(
                method, target, (*request_headers, *headers), body, deadline
            )
            result = self._send(address, request)
            attempts.record(result)
            if _is_daemon_failure(result):
                failed_daemons.add(address)
            delay_s = attempts.retry_delay_s(result, self._clock(), self._rng)
            if delay_s is None:
                return attempts.result(result)
            self._sleep(delay_s)

    def new_request_id(self, *, deadline_s: float) -> str | Refusal:
        """Return an id for one request; fetch a batch if none is left."""
        now = self._clock()
        with self._lock:
            request_id = self._request_ids.pop(now)
        if request_id is not None:
            return request_id
        return self._fetch_request_ids(now + deadline_s)

    def _fetch_request_ids(self, deadline: float) -> str | Refusal:
        target = f"{REQUEST_IDS_TARGET}?count={self._options.request_id_batch}"
        attempts = Attempts(self._options, deadline, retry_unknown=True)
        failed_daemons: set[DaemonAddress] = set()
        while True:
            now = self._clock()
            address = self._choose_daemon(None, frozenset(failed_daemons))
            request_headers = self._request_headers(address.host, None, None)
            request = DaemonRequest("POST", target, request_headers, b"", deadline)
            result = self._send(address, request)
            attempts.record(result)
            if isinstance(result, Response):
                return self._store_issued_ids(result, address, now)
            if _is_daemon_failure(result):
                failed_daemons.add(address)
            delay_s = attempts.retry_delay_s(result, self._clock(), self._rng)
            if delay_s is None:
                return result
            self._sleep(delay_s)

    def _store_issued_ids(
        self, response: Response, issuer: DaemonAddress, requested_at: float
    ) -> str | Refusal:
        issued = parse_issued_ids(response)
        if isinstance(issued, Refusal):
            return issued
        first, *rest = issued.request_ids
        with self._lock:
            self._request_ids.add((first, *rest), issued.valid_s, issuer, requested_at)
            return self._request_ids.pop(requested_at) or first

    def _request_headers(
        self, host: str, request_id: str | None, idempotent: bool | None
    ) -> Headers:
        request_headers = [("Host", host)]
        if self._key is not None:
            request_headers.append((HEADER_KEY, self._key))
        if request_id is not None:
            request_headers.append((HEADER_REQUEST_ID, request_id))
        if idempotent is not None:
            request_headers.append(
                (HEADER_IDEMPOTENT, "true" if idempotent else "false")
            )
        return tuple(request_headers)

    def _send(
        self, address: DaemonAddress, request: DaemonRequest
    ) -> Response | Refusal:
        remaining_ms = max(1, int((request.deadline - self._clock()) * 1_000))
        headers = (*request.headers, (HEADER_DEADLINE, str(remaining_ms)))
        request_with_deadline = DaemonRequest(
            request.method, request.target, headers, request.body, request.deadline
        )
        result = self._connection_pool.send(address, request_with_deadline)
        with self._lock:
            if _is_daemon_failure(result):
                self._daemons.record_failure(address, self._clock())
            else:
                self._daemons.record_success(address)
        return _extract_refusal(result)

    def _choose_daemon(
        self, preferred: DaemonAddress | None, excluded: frozenset[DaemonAddress]
    ) -> DaemonAddress:
        with self._lock:
            return self._daemons.select(
                self._clock(), preferred=preferred, excluded=excluded
            )

    def _issuer_of(self, request_id: str | None) -> DaemonAddress | None:
        if request_id is None:
            return None
        with self._lock:
            return self._request_ids.issuer_of(request_id)


def _is_daemon_failure(result: Response | Refusal) -> bool:
    return isinstance(result, Refusal) and result.reason in _DAEMON_FAILURE_REASONS


def _extract_refusal(result: Response | Refusal) -> Response | Refusal:
    """Return the refusal that is encoded in a response, or else the response."""
    if isinstance(result, Refusal):
        return result
    headers = {name.lower(): value for name, value in result.headers}
    outcome = headers.get(HEADER_OUTCOME.lower())
    if outcome is None:
        return result
    reason = headers.get(HEADER_REASON.lower(), "")
    retry_after = headers.get("retry-after", "")
    return refusal_from_headers(
        outcome, reason, retry_after, _refusal_detail(result.body)
    )


def _refusal_detail(body: bytes) -> str:
    """Return the detail in the body of a refusal, empty if there is none."""
    try:
        parsed = json.loads(body[:MAX_REFUSAL_BYTES])
    except ValueError:
        return ""
    detail = parsed.get("detail") if isinstance(parsed, dict) else None
    return detail if isinstance(detail, str) else ""
