"""Messages that carry calls and their results between daemons."""

import msgspec

from damaskbay.core.call import (
    CallContext,
    CallResult,
    Headers,
    PoolReport,
    Request,
    Response,
)
from damaskbay.core.http_status import is_final_status
from damaskbay.core.outcome import Outcome, Reason, Refusal, unknown
from damaskbay.core.trees.const import MAX_POOLS
from damaskbay.helpers.messages import message


@message("call")
class CallMessage(msgspec.Struct, frozen=True):
    """
    A call that one daemon sends to another.

    `remaining_s` is the time to the deadline in seconds. With `owned` the receiver
    owns the request id: it dispatches the call to a server of the pool instead of
    running it on its own backend server. `is_retry` marks a retry, `is_nested_in_retry`
    a call nested below a retry.
    """

    call_id: str
    workspace: str
    priority_rank: int
    remaining_s: float
    route: str
    pool: str
    idempotent: bool
    depth: int
    retry_tokens: int
    request_id: str | None
    config_version: int
    key_digest: str | None
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    owned: bool = False
    objective_s: float | None = None
    is_retry: bool = False
    is_nested_in_retry: bool = False


@message("call.tree")
class TreeCallMessage(CallMessage, frozen=True):
    """
    A call from a daemon that reads the reports on pools in its result.

    It is sent only to peers that announce TREES_VERSION or higher.
    """


@message("call.answer")
class AnswerMessage(msgspec.Struct, frozen=True):
    """The complete response to a forwarded call."""

    status: int
    headers: Headers
    body: bytes
    attempts: int
    retry_tokens_left: int
    admission_level: int | None
    served_by: str
    backend_s: float | None
    load: float | None = None
    nested_failed: bool = False


@message("call.refusal")
class RefusalMessage(msgspec.Struct, frozen=True):
    """The refusal of a forwarded call."""

    reason: Reason
    outcome: Outcome
    retry_after_s: float | None
    detail: str
    attempts: int
    retry_tokens_left: int
    admission_level: int | None
    served_by: str
    load: float | None = None


@message("call.tree_answer")
class TreeAnswerMessage(AnswerMessage, frozen=True):
    """The response to a TreeCallMessage, with reports on the pools that it needs."""

    pools: tuple[PoolReport, ...] = ()
    has_nested: bool = True


@message("call.tree_refusal")
class TreeRefusalMessage(RefusalMessage, frozen=True):
    """The refusal of a TreeCallMessage, with reports on the pools that it needs."""

    pools: tuple[PoolReport, ...] = ()


def to_call_message(
    context: CallContext,
    request: Request,
    *,
    now: float,
    owned: bool = False,
    kind: type[CallMessage] = CallMessage,
) -> CallMessage:
    """Return the message of a call; the deadline is converted to remaining time."""
    return kind(
        call_id=context.call_id,
        workspace=context.workspace,
        priority_rank=context.priority_rank,
        remaining_s=max(0.0, context.deadline - now),
        route=context.route,
        pool=context.pool,
        idempotent=context.idempotent,
        depth=context.depth,
        retry_tokens=context.retry_tokens,
        request_id=context.request_id,
        config_version=context.config_version,
        key_digest=context.key_digest,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=request.headers,
        body=request.body,
        owned=owned,
        objective_s=context.objective_s,
        is_retry=context.is_retry,
        is_nested_in_retry=context.is_nested_in_retry,
    )


def context_of(call: CallMessage, *, now: float) -> CallContext:
    """Return the context of a received call; the deadline uses the local clock."""
    return CallContext(
        call_id=call.call_id,
        workspace=call.workspace,
        priority_rank=call.priority_rank,
        deadline=now + call.remaining_s,
        route=call.route,
        pool=call.pool,
        idempotent=call.idempotent,
        depth=call.depth,
        retry_tokens=call.retry_tokens,
        request_id=call.request_id,
        config_version=call.config_version,
        key_digest=call.key_digest,
        objective_s=call.objective_s,
        is_retry=call.is_retry,
        is_nested_in_retry=call.is_nested_in_retry,
    )


def request_of(call: CallMessage) -> Request:
    """Return the request of a received call."""
    return Request(call.method, call.host, call.target, call.headers, call.body)


def to_result_message(
    result: CallResult, call: CallMessage | None = None
) -> AnswerMessage | RefusalMessage:
    """Return the reply message of a call result, of a kind that the caller knows."""
    outcome = result.result
    pools = result.pools or ()
    with_pools = isinstance(call, TreeCallMessage)
    if isinstance(outcome, Response):
        answer = (
            outcome.status,
            outcome.headers,
            outcome.body,
            result.attempts,
            result.retry_tokens_left,
            result.admission_level,
            result.served_by,
            result.backend_s,
            result.load,
            result.nested_failed,
        )
        if with_pools:
            return TreeAnswerMessage(*answer, pools, result.has_nested)
        return AnswerMessage(*answer)
    refusal = (
        outcome.reason,
        outcome.outcome,
        outcome.retry_after_s,
        outcome.detail,
        result.attempts,
        result.retry_tokens_left,
        result.admission_level,
        result.served_by,
        result.load,
    )
    if with_pools:
        return TreeRefusalMessage(*refusal, pools)
    return RefusalMessage(*refusal)


def result_of(reply: AnswerMessage | RefusalMessage) -> CallResult:
    """Return the call result of a reply message."""
    outcome: Response | Refusal
    backend_s: float | None = None
    nested_failed = False
    pools: tuple[PoolReport, ...] | None = None
    has_nested = not isinstance(reply, TreeAnswerMessage) or reply.has_nested
    if isinstance(reply, (TreeAnswerMessage, TreeRefusalMessage)):
        pools = reply.pools[:MAX_POOLS]
    if isinstance(reply, AnswerMessage) and not is_final_status(reply.status):
        outcome = unknown(Reason.ANSWER_INCOMPLETE, detail=f"status {reply.status}")
    elif isinstance(reply, AnswerMessage):
        outcome = Response(reply.status, reply.headers, reply.body)
        backend_s = reply.backend_s
        nested_failed = reply.nested_failed
    else:
        outcome = Refusal(
            reply.reason, reply.outcome, reply.retry_after_s, reply.detail
        )
    return CallResult(
        outcome,
        reply.attempts,
        reply.retry_tokens_left,
        reply.admission_level,
        reply.served_by,
        backend_s,
        reply.load,
        nested_failed,
        pools,
        has_nested,
    )
