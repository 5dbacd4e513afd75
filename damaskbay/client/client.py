"""The client: calls through whichever daemon works."""

import json
import random
import ssl
import threading
import time
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Self

from damaskbay.client.addresses import Addresses
from damaskbay.client.attempts import Attempts, refusal_of
from damaskbay.client.connections import Connections, Exchange
from damaskbay.client.const import MAX_REFUSAL_BYTES, REQUEST_IDS_TARGET
from damaskbay.client.options import ClientOptions, DaemonAddress
from damaskbay.client.request_ids import RequestIdStock, parse_issued
from damaskbay.const import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENT,
    HEADER_KEY,
    HEADER_OUTCOME,
    HEADER_REASON,
    HEADER_REQUEST_ID,
)
from damaskbay.core.call import Answer, Headers
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.helpers.clock import monotonic_s

_LOST = frozenset({Reason.PEER_UNREACHABLE, Reason.PEER_LOST, Reason.ANSWER_INCOMPLETE})


class Client:
    """
    Calls through daemons over HTTP; entered and left as a context manager.

    Safe from any thread. Results are values: an Answer, or a Refusal whose
    outcome tells whether the request can have run.
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
        self._addresses = Addresses(addresses, self._options, self._rng)
        self._stock = RequestIdStock()
        self._connections = Connections(self._options, tls, clock)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._connections.close()

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
    ) -> Answer | Refusal:
        """
        Call a service and return its whole answer, or a refusal.

        `target` is path and query, `host` the service's name. `idempotent` False
        marks a request that must not run twice; True allows this client to send
        it again after an `unknown` outcome, and so does a request id, which the
        daemons let run only once. None leaves it to the route.
        """
        deadline = self._clock() + deadline_s
        repeatable = request_id is not None or idempotent is True
        attempts = Attempts(self._options, deadline, repeatable)
        marks = self._marks(host, request_id, idempotent)
        preferred = self._issuer(request_id)
        tried: set[DaemonAddress] = set()
        while True:
            address = self._choose(preferred, frozenset(tried))
            exchange = Exchange(method, target, (*marks, *headers), body, deadline)
            result = self._send(address, exchange)
            attempts.ended(result)
            if _lost(result):
                tried.add(address)
            pause_s = attempts.delay_s(result, self._clock(), self._rng)
            if pause_s is None:
                return attempts.result(result)
            self._sleep(pause_s)

    def new_request_id(self, *, deadline_s: float) -> str | Refusal:
        """Return an id for one request, fetching a batch where none is left."""
        now = self._clock()
        with self._lock:
            request_id = self._stock.take(now)
        if request_id is not None:
            return request_id
        return self._fetch_request_ids(now + deadline_s)

    def _fetch_request_ids(self, deadline: float) -> str | Refusal:
        target = f"{REQUEST_IDS_TARGET}?count={self._options.request_id_batch}"
        attempts = Attempts(self._options, deadline, repeatable=True)
        tried: set[DaemonAddress] = set()
        while True:
            now = self._clock()
            address = self._choose(None, frozenset(tried))
            marks = self._marks(address.host, None, None)
            exchange = Exchange("POST", target, marks, b"", deadline)
            result = self._send(address, exchange)
            attempts.ended(result)
            if isinstance(result, Answer):
                return self._stocked(result, address, now)
            if _lost(result):
                tried.add(address)
            pause_s = attempts.delay_s(result, self._clock(), self._rng)
            if pause_s is None:
                return result
            self._sleep(pause_s)

    def _stocked(
        self, answer: Answer, issuer: DaemonAddress, asked_at: float
    ) -> str | Refusal:
        issued = parse_issued(answer)
        if isinstance(issued, Refusal):
            return issued
        first, *rest = issued.request_ids
        with self._lock:
            self._stock.add((first, *rest), issued.valid_s, issuer, asked_at)
            return self._stock.take(asked_at) or first

    def _marks(
        self, host: str, request_id: str | None, idempotent: bool | None
    ) -> Headers:
        marks = [("Host", host)]
        if self._key is not None:
            marks.append((HEADER_KEY, self._key))
        if request_id is not None:
            marks.append((HEADER_REQUEST_ID, request_id))
        if idempotent is not None:
            marks.append((HEADER_IDEMPOTENT, "true" if idempotent else "false"))
        return tuple(marks)

    def _send(self, address: DaemonAddress, exchange: Exchange) -> Answer | Refusal:
        remaining_ms = max(1, int((exchange.deadline - self._clock()) * 1_000))
        headers = (*exchange.headers, (HEADER_DEADLINE, str(remaining_ms)))
        marked = Exchange(
            exchange.method, exchange.target, headers, exchange.body, exchange.deadline
        )
        result = self._connections.exchange(address, marked)
        with self._lock:
            if _lost(result):
                self._addresses.failed(address, self._clock())
            else:
                self._addresses.succeeded(address)
        return _unwrap(result)

    def _choose(
        self, preferred: DaemonAddress | None, excluded: frozenset[DaemonAddress]
    ) -> DaemonAddress:
        with self._lock:
            return self._addresses.choose(
                self._clock(), preferred=preferred, excluded=excluded
            )

    def _issuer(self, request_id: str | None) -> DaemonAddress | None:
        if request_id is None:
            return None
        with self._lock:
            return self._stock.issuer(request_id)


def _lost(result: Answer | Refusal) -> bool:
    return isinstance(result, Refusal) and result.reason in _LOST


def _unwrap(result: Answer | Refusal) -> Answer | Refusal:
    """Return the refusal that an answer carries, or the answer."""
    if isinstance(result, Refusal):
        return result
    headers = {name.lower(): value for name, value in result.headers}
    outcome = headers.get(HEADER_OUTCOME.lower())
    if outcome is None:
        return result
    reason = headers.get(HEADER_REASON.lower(), "")
    retry_after = headers.get("retry-after", "")
    return refusal_of(outcome, reason, retry_after, _detail(result.body))


def _detail(body: bytes) -> str:
    """Return the detail in a refusal's body, nothing where it has none."""
    try:
        parsed = json.loads(body[:MAX_REFUSAL_BYTES])
    except ValueError:
        return ""
    detail = parsed.get("detail") if isinstance(parsed, dict) else None
    return detail if isinstance(detail, str) else ""
