"""Sends a request to a server, and again where that is allowed."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.config.objects import Route
from damaskbay.core.call import Answer, CallContext, CallResult, Request
from damaskbay.core.http_status import FIRST_SERVER_ERROR
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run, unknown
from damaskbay.core.retry.const import RETRIED_ELSEWHERE
from damaskbay.core.routing import FAILURES_BY_REASON, FailureKind, RouteOutcome, Router
from damaskbay.daemon.messages import (
    AnswerMessage,
    RefusalMessage,
    result_of,
    to_call_message,
)
from damaskbay.mesh.const import (
    ANSWER_GRACE_S,
    MAX_REDIRECTS,
    NOT_READY_RETRY_S,
    RESEND_LEAST_S,
)
from damaskbay.mesh.directory import Directory
from damaskbay.mesh.target import Target
from damaskbay.ports.fleet import ServerView
from damaskbay.ports.peer import PeerFailure, PeerProblem

_LOGGER = logging.getLogger(__name__)


_RETRIED_STATUSES = frozenset({500, 502})
"""Server failures after which another server may do better."""


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """What a dispatcher works with."""

    directory: Directory
    router: Router
    target: Target
    links: PeerLinks
    clock: Callable[[], float]


@dataclass(slots=True)
class _Sends:
    """What a request has cost so far; `answered` is a server's own failure."""

    arrived: int = 0
    redirected: int = 0
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    answered: CallResult | None = None


class Dispatcher:
    """Chooses servers, sends, learns from outcomes, sends again within bounds."""

    def __init__(self, parts: DispatchParts) -> None:
        self._parts = parts

    async def dispatch(
        self, context: CallContext, route: Route, request: Request
    ) -> CallResult:
        """Send until an answer, a refusal that stands, or the deadline."""
        sends = _Sends()
        while True:
            if sends.arrived and not context.resent:
                context = replace(context, resent=True)
            result = await self._attempt(context, request, sends)
            if not self._again(context, route, sends, result):
                return self._final(sends, result)

    async def _attempt(
        self, context: CallContext, request: Request, sends: _Sends
    ) -> CallResult:
        parts = self._parts
        now = parts.clock()
        servers = parts.directory.servers(context.pool)
        choice = parts.router.choose(servers, context, excluded=sends.excluded, now=now)
        if isinstance(choice, Refusal):
            return CallResult(
                replace(choice, retry_after_s=NOT_READY_RETRY_S), attempts=0
            )
        sends.excluded |= {choice.instance}
        parts.router.started(choice.instance, now)
        failure: FailureKind | None = FailureKind.CANCELLED
        load: float | None = None
        maybe_before, sends.may_have_run = sends.may_have_run, True
        try:
            result = await self._send(choice, context, request)
            failure, load = _failure_of(result), result.load
        finally:
            ended = parts.clock()
            outcome = RouteOutcome(ended - now, None, failure, load)
            parts.router.finished(choice.instance, outcome, ended)
        outcome_value = result.result
        if isinstance(outcome_value, Refusal) and outcome_value.not_run:
            sends.may_have_run = maybe_before
        sends.arrived += result.attempts
        return result

    async def _send(
        self, server: ServerView, context: CallContext, request: Request
    ) -> CallResult:
        parts = self._parts
        if server.local:
            return await parts.target.run(context, request)
        now = parts.clock()
        message = to_call_message(context, request, now=now)
        timeout_s = max(0.0, context.deadline + ANSWER_GRACE_S - now)
        reply = await parts.links.request(server.address, message, timeout_s=timeout_s)
        if isinstance(reply, (AnswerMessage, RefusalMessage)):
            return result_of(reply)
        unsent = isinstance(reply, PeerFailure) and reply.problem in (
            PeerProblem.NOT_SENT,
            PeerProblem.REJECTED,
        )
        if unsent:
            refusal = not_run(Reason.PEER_UNREACHABLE, retry_after_s=NOT_READY_RETRY_S)
            return CallResult(refusal, attempts=0, served_by=server.instance)
        timed_out = (
            isinstance(reply, PeerFailure) and reply.problem is PeerProblem.TIMEOUT
        )
        reason = Reason.DEADLINE_PASSED if timed_out else Reason.PEER_LOST
        refusal = unknown(reason, detail=str(reply))
        return CallResult(refusal, served_by=server.instance)

    def _again(
        self, context: CallContext, route: Route, sends: _Sends, result: CallResult
    ) -> bool:
        """Tell whether to send again; the next target's budget has the last word."""
        outcome = result.result
        if isinstance(outcome, Answer):
            return self._worth_another(context, route, sends, result)
        if outcome.reason not in RETRIED_ELSEWHERE:
            return False
        now = self._parts.clock()
        if context.deadline - now < RESEND_LEAST_S:
            return False
        if result.attempts == 0 and not outcome.not_run:
            return False
        if result.attempts == 0:
            sends.redirected += 1
            return sends.redirected < MAX_REDIRECTS
        if not (outcome.not_run or context.idempotent):
            return False
        if sends.arrived > route.retries:
            return False
        self._log_again(context, result, outcome.reason.value)
        return True

    def _log_again(self, context: CallContext, result: CallResult, why: str) -> None:
        _LOGGER.info(
            "ingress: request is sent again.",
            extra={
                "request_id": context.request_id,
                "route": context.route,
                "why": why,
                "failed_at": result.served_by,
                "left_s": round(context.deadline - self._parts.clock(), 3),
            },
        )

    def _worth_another(
        self, context: CallContext, route: Route, sends: _Sends, result: CallResult
    ) -> bool:
        """Tell whether a server's own failure is worth a send to another server."""
        outcome = result.result
        assert isinstance(outcome, Answer)
        again = (
            outcome.status in _RETRIED_STATUSES
            and context.idempotent
            and not result.nested_failed
            and sends.arrived <= route.retries
            and context.deadline - self._parts.clock() >= RESEND_LEAST_S
        )
        if again:
            sends.answered = result
            self._log_again(context, result, f"status {outcome.status}")
        return again

    def _final(self, sends: _Sends, result: CallResult) -> CallResult:
        """Return the result; a refusal after a send that may have run is unknown."""
        outcome = result.result
        if isinstance(outcome, Refusal) and sends.answered is not None:
            return sends.answered
        if isinstance(outcome, Refusal) and outcome.not_run and sends.may_have_run:
            return replace(result, result=replace(outcome, outcome=Outcome.UNKNOWN))
        return result


def _failure_of(result: CallResult) -> FailureKind | None:
    outcome = result.result
    if isinstance(outcome, Answer):
        failed = outcome.status >= FIRST_SERVER_ERROR and not result.nested_failed
        return FailureKind.FAILED if failed else None
    if outcome.not_run and result.attempts == 0:
        reason = outcome.reason
        if reason in (Reason.PEER_UNREACHABLE, Reason.BACKEND_SERVER_FAILED):
            return FailureKind.UNREACHABLE
        return FailureKind.REFUSED
    return FAILURES_BY_REASON.get(outcome.reason, FailureKind.REFUSED)
