"""At-most-once execution of non-idempotent requests, tracked by issued request id."""

import heapq
import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from damaskbay.core.at_most_once_ids import (
    OwnerRef,
    parse_request_id,
    sign_request_id,
)
from damaskbay.core.call import Response
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.ports.peer import PeerAddress

_PROCESS_ID_BITS = 64
_RESPONSE_OVERHEAD_BYTES = 256
_HEADER_OVERHEAD_BYTES = 120


@dataclass(frozen=True, slots=True)
class AtMostOnceOptions:
    """
    Memory limits of a request owner.

    An id is valid for `validity_s` seconds after it was issued. At most `max_ids`
    ids and `max_response_bytes` bytes of responses are stored; the oldest are dropped
    first. One request issues at most `max_issue` ids.
    """

    validity_s: float = 600.0
    max_ids: int = 65_536
    max_response_bytes: int = 16 * 1024 * 1024
    max_issue: int = 1_000


@dataclass(frozen=True, slots=True)
class Run:
    """Permission to run the request now; the caller must call `finish` afterwards."""

    request_id: str


class _State(Enum):
    FREE = "free"
    """The request certainly did not run, so a retry may run it."""

    RUNNING = "running"
    DONE = "done"


@dataclass(slots=True)
class _Record:
    fingerprint: bytes
    state: _State
    result: Response | Refusal | None = None


class RequestOwner:
    """
    Owner of the requests whose ids this process issued.

    Every retry is forwarded to the owner, whichever daemon receives it. Only the
    process that issued an id runs its request, so the decision does not depend on
    the memory or the clock of another node. `now` is in seconds of this process's
    monotonic clock.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        secrets: Sequence[bytes],
        rng: random.Random,
        address: PeerAddress,
        options: AtMostOnceOptions | None = None,
    ) -> None:
        self.options = options or AtMostOnceOptions()
        self._instance = instance
        self._incarnation = incarnation
        self._secrets = tuple(secrets)
        self._address = address
        self._process = rng.getrandbits(_PROCESS_ID_BITS)
        self._last_sequence = 0
        self._highest_forgotten_sequence = 0
        self._records_by_sequence: dict[int, _Record] = {}
        self._age_heap: list[tuple[int, int]] = []
        self._response_bytes_by_sequence: OrderedDict[int, int] = OrderedDict()
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_sequence)

    @property
    def response_bytes(self) -> int:
        """Return the total size of the stored responses in bytes."""
        return self._response_bytes

    def issue(self, count: int, now: float) -> tuple[str, ...]:
        """Return up to `count` new ids; an id uses no memory before its first send."""
        issued_ms = int(now * 1_000)
        allowed = max(0, min(count, self.options.max_issue))
        return tuple(self._issue_one(issued_ms) for _ in range(allowed))

    def begin(
        self, request_id: str, fingerprint: bytes, now: float
    ) -> Run | Response | Refusal:
        """
        Decide whether one attempt of a request runs.

        Returns Run at most once for an id, unless that run ended as `not_run`.
        A retry gets the first response, or a refusal with `already_running` or
        another reason whose outcome is `unknown`.
        """
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return ref
        self._forget_expired(now)
        refusal = self._check_owner_and_age(ref, now)
        if refusal is not None:
            return refusal
        record = self._records_by_sequence.get(ref.sequence)
        if record is None:
            return self._start_first_run(request_id, ref, fingerprint)
        if record.fingerprint != fingerprint:
            return _refuse_other_request()
        if record.state is _State.FREE:
            record.state = _State.RUNNING
            return Run(request_id)
        return _result_for_retry(record)

    def result_for_retry(
        self, request_id: str, fingerprint: bytes, now: float
    ) -> Response | Refusal | None:
        """
        Return the result for a retry without starting a run.

        Returns None if no attempt of the request has run.
        """
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return ref
        refusal = self._check_owner_and_age(ref, now)
        if refusal is not None:
            return refusal
        record = self._records_by_sequence.get(ref.sequence)
        if record is None or record.state is _State.FREE:
            return None
        return (
            _result_for_retry(record)
            if record.fingerprint == fingerprint
            else _refuse_other_request()
        )

    def finish(self, request_id: str, result: Response | Refusal, now: float) -> None:
        """Store the result of a run for its retries."""
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal) or self._check_owner_and_age(ref, now) is not None:
            return
        record = self._records_by_sequence.get(ref.sequence)
        if record is None or record.state is not _State.RUNNING:
            return
        if isinstance(result, Refusal) and result.not_run:
            record.state = _State.FREE
            return
        record.state = _State.DONE
        if isinstance(result, Refusal):
            record.result = result
        else:
            self._store_response(ref.sequence, record, result)

    def _issue_one(self, issued_ms: int) -> str:
        self._last_sequence += 1
        ref = OwnerRef(
            self._instance,
            self._incarnation,
            self._process,
            self._last_sequence,
            issued_ms,
            self._address,
        )
        return sign_request_id(self._secrets[0], ref)

    def _check_owner_and_age(self, ref: OwnerRef, now: float) -> Refusal | None:
        """Refuse an id that another process issued or that is too old."""
        process = (ref.instance, ref.incarnation, ref.process)
        if process != (self._instance, self._incarnation, self._process):
            return unknown(
                Reason.REQUEST_OWNER_GONE, detail="the id's issuer has restarted"
            )
        if ref.sequence <= self._highest_forgotten_sequence or self._is_expired(
            ref.issued_ms, now
        ):
            return unknown(
                Reason.REQUEST_ID_EXPIRED, detail="the request id is too old"
            )
        return None

    def _is_expired(self, issued_ms: int, now: float) -> bool:
        return issued_ms + self.options.validity_s * 1_000 < now * 1_000

    def _start_first_run(
        self, request_id: str, ref: OwnerRef, fingerprint: bytes
    ) -> Run:
        self._records_by_sequence[ref.sequence] = _Record(fingerprint, _State.RUNNING)
        heapq.heappush(self._age_heap, (ref.sequence, ref.issued_ms))
        while len(self._age_heap) > self.options.max_ids:
            self._forget_oldest()
        return Run(request_id)

    def _forget_expired(self, now: float) -> None:
        while self._age_heap and self._is_expired(self._age_heap[0][1], now):
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        """
        Drop the stored id that was issued first.

        From now on, this id and all ids issued before it are refused, since it is no
        longer known which of them were used.
        """
        sequence, _ = heapq.heappop(self._age_heap)
        self._highest_forgotten_sequence = max(
            self._highest_forgotten_sequence, sequence
        )
        del self._records_by_sequence[sequence]
        self._drop_response(sequence)

    def _store_response(
        self, sequence: int, record: _Record, response: Response
    ) -> None:
        size = _stored_bytes(response)
        if size > self.options.max_response_bytes:
            return
        record.result = response
        self._response_bytes_by_sequence[sequence] = size
        self._response_bytes += size
        while self._response_bytes > self.options.max_response_bytes:
            oldest = next(iter(self._response_bytes_by_sequence))
            self._records_by_sequence[oldest].result = None
            self._drop_response(oldest)

    def _drop_response(self, sequence: int) -> None:
        self._response_bytes -= self._response_bytes_by_sequence.pop(sequence, 0)


def _refuse_other_request() -> Refusal:
    return not_run(
        Reason.BAD_REQUEST, detail="the request id belongs to another request"
    )


def _result_for_retry(record: _Record) -> Response | Refusal:
    """Return the result for a retry of a request that is running or has run."""
    if record.state is _State.RUNNING:
        return unknown(Reason.ALREADY_RUNNING, detail="the request is running")
    if record.result is None:
        return unknown(
            Reason.REQUEST_ID_EXPIRED, detail="the response is no longer stored"
        )
    return record.result


def _stored_bytes(response: Response) -> int:
    headers = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in response.headers
    )
    return len(response.body) + headers + _RESPONSE_OVERHEAD_BYTES
