"""A call as it travels: request, answer and the context of its call tree."""

from dataclasses import dataclass

from damaskbay.core.outcome import Refusal

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Request:
    """
    One HTTP request, whole.

    `target` is path and query as sent. `headers` keep their order and repeats,
    without hop-by-hop headers and without anything that could carry a key.
    """

    method: str
    host: str
    target: str
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP answer, whole. A body that was cut short never becomes an Answer."""

    status: int
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CallContext:
    """
    What a call inherits from the root of its call tree.

    `deadline` is in seconds of the local monotonic clock; on the wire only the
    remaining time travels. `priority_rank` 0 is the most important. `depth` is
    0 for the root. `retry_tokens` were moved to this call and are spent here or
    handed back, never copied. `objective_s` is the latency objective.
    `resent` marks a send after the first, `under_resent` a call that the run of a
    resent one made: both are repeats to the server that gets them.
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
    resent: bool = False
    under_resent: bool = False


@dataclass(frozen=True, slots=True)
class CallResult:
    """
    How one call ended, with what flows back to the caller's side.

    `admission_level` is the target's current level (see core.admission);
    `backend_s` is what the backend server took, in seconds;
    `attempts` counts sends in the whole subtree; `retry_tokens_left` are handed
    back to the parent. `load` is what runs and waits at the target per slot.
    `nested_failed` tells that the server failed after a nested call had failed.
    """

    result: Answer | Refusal
    attempts: int = 1
    retry_tokens_left: int = 0
    admission_level: int | None = None
    served_by: str = ""
    backend_s: float | None = None
    load: float | None = None
    nested_failed: bool = False
