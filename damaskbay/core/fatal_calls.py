"""Requests under which backend servers ended: they are not sent to further ones."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from damaskbay.core.call import Request
from damaskbay.core.outcome import Reason, Refusal, not_run

MAX_ENDS: Final = 3
"""Ends of servers under a request from which it is not sent any more."""

SERVED_LATELY_S: Final = 10.0
"""Seconds for which a request that was served is not the cause of an end."""

MAX_SERVED: Final = 1024
"""Served requests that are remembered; those that are sent often stay among them."""

REMEMBERED_S: Final = 60.0
"""Seconds after the last end under a request until it may be sent again."""

MAX_REQUESTS: Final = 4096
"""Requests that are remembered; bounds memory."""

DIGEST_BYTES: Final = 8
HASHED_BODY_BYTES: Final = 64 * 1024


@dataclass(slots=True)
class _Ends:
    """Number of the ends under one request, and the time of the last one, seconds."""

    count: int
    last_at: float


class FatalCalls:
    """
    Remembers under which requests servers have ended without an answer.

    Requests are the same if their method, host, target and body are. One that was
    served lately is not the cause: servers end for other reasons while it runs.
    """

    def __init__(self) -> None:
        self._ends_by_digest: dict[bytes, _Ends] = {}
        self._served_at_by_digest: OrderedDict[bytes, float] = OrderedDict()

    def record_end(self, digests: Iterable[bytes], now: float) -> tuple[bytes, ...]:
        """
        Record that a server has ended while it ran these requests.

        Return those that may be the cause.
        """
        suspects = tuple(item for item in digests if not self._is_served(item, now))
        for digest in suspects:
            ends = self._ends_by_digest.get(digest)
            if ends is None or now - ends.last_at > REMEMBERED_S:
                if len(self._ends_by_digest) >= MAX_REQUESTS:
                    self._ends_by_digest.clear()
                self._ends_by_digest[digest] = _Ends(1, now)
            else:
                ends.count += 1
                ends.last_at = now
        return suspects

    def record_served(self, request: Request, now: float) -> None:
        """Record that a server has served a request."""
        digest = digest_of_request(request)
        self._ends_by_digest.pop(digest, None)
        served_at_by_digest = self._served_at_by_digest
        served_at_by_digest[digest] = now
        served_at_by_digest.move_to_end(digest)
        if len(served_at_by_digest) > MAX_SERVED:
            served_at_by_digest.popitem(last=False)

    def blocked_s(self, request: Request, now: float) -> float:
        """Return the seconds for which a request must not be sent, 0 if it may be."""
        if not self._ends_by_digest:
            return 0.0
        ends = self._ends_by_digest.get(digest_of_request(request))
        if ends is None or ends.count < MAX_ENDS:
            return 0.0
        return max(0.0, ends.last_at + REMEMBERED_S - now)

    def _is_served(self, digest: bytes, now: float) -> bool:
        served_at = self._served_at_by_digest.get(digest)
        return served_at is not None and now - served_at <= SERVED_LATELY_S


def digest_of_request(request: Request) -> bytes:
    """Return a digest of what makes two requests the same."""
    head = f"{request.method}\0{request.host}\0{request.target}\0{len(request.body)}\0"
    digest = hashlib.blake2b(head.encode(), digest_size=DIGEST_BYTES)
    digest.update(memoryview(request.body)[:HASHED_BODY_BYTES])
    return digest.digest()


def refusal_of_fatal_call(
    fatal_calls: FatalCalls, request: Request, now: float
) -> Refusal | None:
    """
    Return a refusal of a request under which several servers have ended.

    It is not tried at another server, and says nothing against the one that refuses it.
    """
    blocked_s = fatal_calls.blocked_s(request, now)
    if not blocked_s:
        return None
    return not_run(
        Reason.NO_BACKEND_SERVER,
        retry_after_s=blocked_s,
        detail="several servers have ended under this request",
    )
