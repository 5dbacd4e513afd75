"""Data classes of a call: request, response, result and call tree context."""

from dataclasses import dataclass
from typing import NamedTuple

from damaskbay.core.outcome import Refusal

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Request:
    """
    One complete HTTP request.

    `target` is the path and query as sent. `headers` keep their order and
    duplicates, but contain no hop-by-hop headers and nothing that could carry a
    key.
    """

    method: str
    host: str
    target: str
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Response:
    """One complete HTTP response; a truncated body never becomes a Response."""

    status: int
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CallContext:
    """
    Context that a call inherits from the root of its call tree.

    `deadline` is in seconds of the local monotonic clock; only the remaining time
    is sent to other processes. `priority_rank` 0 is the most important. `depth` is
    0 for the root. `retry_tokens` were moved to this call and are either spent by
    it or returned, never copied. `objective_s` is the latency objective in seconds.
    `is_retry` marks a retry, `is_nested_in_retry` a call nested below a retry; the
    receiving server treats both as retries.
    """

    call_id: str
    workspace: str
    priority_rank: int
    deadline: float
    route: str
    pool: str
    idempotent: bool
    depth: int = 0
    retry_tokens: int = 0
    request_id: str | None = None
    config_version: int = 0
    key_digest: str | None = None
    objective_s: float | None = None
    is_retry: bool = False
    is_nested_in_retry: bool = False


class PoolReport(NamedTuple):
    """
    What a call and the calls below it needed at a pool, and the room there.

    `slot_s` are the seconds for which the `calls` held a slot. `level` is the admission
    level of the pool's servers, `accepted` the share of sends that they accept; None if
    nothing recent is known.
    """

    pool: str
    calls: float = 0.0
    slot_s: float = 0.0
    level: int | None = None
    accepted: float | None = None


@dataclass(frozen=True, slots=True)
class CallResult:
    """
    Result of one call, with the feedback for the calling side.

    `admission_level` is the target's current level (see core.admission);
    `backend_s` is the processing time of the backend server in seconds; `attempts`
    counts the sends in the whole subtree; `retry_tokens_left` are returned to the
    parent. `load` is the number of running and waiting calls at the target per
    slot. `nested_failed` means that the server failed after a nested call failed.
    `pools` are reports on the pools that the call needs, None from an earlier version.
    Without nested calls `backend_s` shows the server's speed; `has_nested` is set where
    there were some, or it is not known.
    """

    result: Response | Refusal
    attempts: int = 1
    retry_tokens_left: int = 0
    admission_level: int | None = None
    served_by: str = ""
    backend_s: float | None = None
    load: float | None = None
    nested_failed: bool = False
    pools: tuple[PoolReport, ...] | None = None
    has_nested: bool = True
