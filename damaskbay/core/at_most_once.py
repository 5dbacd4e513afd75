"""Runs requests that are not idempotent at most once, by the ids it issued."""

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
from damaskbay.core.call import Answer
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.ports.peer import PeerAddress

_PROCESS_BITS = 64
_ANSWER_OVERHEAD_BYTES = 256
_HEADER_OVERHEAD_BYTES = 120


@dataclass(frozen=True, slots=True)
class AtMostOnceOptions:
    """
    Limits of what an owner remembers.

    An id may be used for `validity_s` after its issue. Answers are kept up to
    `max_answer_bytes` in all, ids up to `max_ids`; both drop the oldest first.
    """

    validity_s: float = 600.0
    max_ids: int = 65_536
    max_answer_bytes: int = 16 * 1024 * 1024
    max_issue: int = 1_000


@dataclass(frozen=True, slots=True)
class Run:
    """The request is to run now; `finish` must follow."""

    request_id: str


class _State(Enum):
    FREE = "free"
    """It surely did not run: a repeat may."""

    RUNNING = "running"
    DONE = "done"


@dataclass(slots=True)
class _Record:
    fingerprint: bytes
    state: _State
    result: Answer | Refusal | None = None


class RequestOwner:
    """
    Owns the requests whose ids this process issued.

    Every repeat, whichever daemon gets it, is brought to the owner. An id is
    run only by the process that issued it, so that no other node's memory or
    clock takes part in the decision. `now` is in seconds of the own monotonic
    clock.
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
        self._process = rng.getrandbits(_PROCESS_BITS)
        self._last_sequence = 0
        self._floor_sequence = 0
        self._records_by_sequence: dict[int, _Record] = {}
        self._oldest: list[tuple[int, int]] = []
        self._answer_bytes_by_sequence: OrderedDict[int, int] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_sequence)

    @property
    def answer_bytes(self) -> int:
        """Return the bytes of the answers that are kept."""
        return self._answer_bytes

    def issue(self, count: int, now: float) -> tuple[str, ...]:
        """Return up to `count` fresh ids; nothing is kept of them."""
        issued_ms = int(now * 1_000)
        allowed = max(0, min(count, self.options.max_issue))
        return tuple(self._issue_one(issued_ms) for _ in range(allowed))

    def begin(
        self, request_id: str, fingerprint: bytes, now: float
    ) -> Run | Answer | Refusal:
        """
        Decide on a send of a request.

        Returns Run at most once for an id, unless the run ended as `not_run`.
        A repeat gets the first answer, `already_running` or `unknown`.
        """
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return ref
        self._forget_expired(now)
        refusal = self._refuse(ref, now)
        if refusal is not None:
            return refusal
        record = self._records_by_sequence.get(ref.sequence)
        if record is None:
            return self._run_first(request_id, ref, fingerprint)
        if record.fingerprint != fingerprint:
            return _other()
        if record.state is _State.FREE:
            record.state = _State.RUNNING
            return Run(request_id)
        return _repeat(record)

    def recall(
        self, request_id: str, fingerprint: bytes, now: float
    ) -> Answer | Refusal | None:
        """
        Return what a repeat is told, without starting a run.

        None means that no send of the request has run.
        """
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal):
            return ref
        refusal = self._refuse(ref, now)
        if refusal is not None:
            return refusal
        record = self._records_by_sequence.get(ref.sequence)
        if record is None or record.state is _State.FREE:
            return None
        return _repeat(record) if record.fingerprint == fingerprint else _other()

    def finish(self, request_id: str, result: Answer | Refusal, now: float) -> None:
        """Keep the result of a run for its repeats."""
        ref = parse_request_id(self._secrets, request_id)
        if isinstance(ref, Refusal) or self._refuse(ref, now) is not None:
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
            self._keep_answer(ref.sequence, record, result)

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

    def _refuse(self, ref: OwnerRef, now: float) -> Refusal | None:
        """Refuse what this process does not own, or no longer remembers."""
        process = (ref.instance, ref.incarnation, ref.process)
        if process != (self._instance, self._incarnation, self._process):
            return unknown(
                Reason.REQUEST_OWNER_GONE, detail="the id's issuer has restarted"
            )
        if ref.sequence <= self._floor_sequence or self._expired(ref.issued_ms, now):
            return unknown(
                Reason.REQUEST_ID_EXPIRED, detail="the request id is too old"
            )
        return None

    def _expired(self, issued_ms: int, now: float) -> bool:
        return issued_ms + self.options.validity_s * 1_000 < now * 1_000

    def _run_first(self, request_id: str, ref: OwnerRef, fingerprint: bytes) -> Run:
        self._records_by_sequence[ref.sequence] = _Record(fingerprint, _State.RUNNING)
        heapq.heappush(self._oldest, (ref.sequence, ref.issued_ms))
        while len(self._oldest) > self.options.max_ids:
            self._forget_oldest()
        return Run(request_id)

    def _forget_expired(self, now: float) -> None:
        while self._oldest and self._expired(self._oldest[0][1], now):
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        """
        Forget the id that was issued first.

        From here on no id issued before it can run, used or not: whether it was
        used is no longer known.
        """
        sequence, _ = heapq.heappop(self._oldest)
        self._floor_sequence = max(self._floor_sequence, sequence)
        del self._records_by_sequence[sequence]
        self._drop_answer(sequence)

    def _keep_answer(self, sequence: int, record: _Record, answer: Answer) -> None:
        size = _size_of(answer)
        if size > self.options.max_answer_bytes:
            return
        record.result = answer
        self._answer_bytes_by_sequence[sequence] = size
        self._answer_bytes += size
        while self._answer_bytes > self.options.max_answer_bytes:
            oldest = next(iter(self._answer_bytes_by_sequence))
            self._records_by_sequence[oldest].result = None
            self._drop_answer(oldest)

    def _drop_answer(self, sequence: int) -> None:
        self._answer_bytes -= self._answer_bytes_by_sequence.pop(sequence, 0)


def _other() -> Refusal:
    return not_run(
        Reason.BAD_REQUEST, detail="the request id belongs to another request"
    )


def _repeat(record: _Record) -> Answer | Refusal:
    """Return what a repeat of a request that has run, or runs, is told."""
    if record.state is _State.RUNNING:
        return unknown(Reason.ALREADY_RUNNING, detail="the request is running")
    if record.result is None:
        return unknown(Reason.REQUEST_ID_EXPIRED, detail="the answer is no longer kept")
    return record.result


def _size_of(answer: Answer) -> int:
    headers = sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        for name, value in answer.headers
    )
    return len(answer.body) + headers + _ANSWER_OVERHEAD_BYTES
