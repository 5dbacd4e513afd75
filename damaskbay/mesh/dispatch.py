"""Sends a call to a backend server and retries it where that is allowed."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.peer_link.const import TREES_VERSION
from damaskbay.config.objects import Route
from damaskbay.core.call import CallContext, CallResult, Request, Response
from damaskbay.core.http_status import FIRST_SERVER_ERROR
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run, unknown
from damaskbay.core.retry.const import RETRYABLE_REASONS
from damaskbay.core.routing import FAILURES_BY_REASON, FailureKind, RouteOutcome, Router
from damaskbay.daemon.messages import (
    AnswerMessage,
    CallMessage,
    RefusalMessage,
    TreeCallMessage,
    result_of,
    to_call_message,
)
from damaskbay.mesh.const import (
    MAX_REDIRECTS,
    MIN_RETRY_TIME_LEFT_S,
    NOT_READY_RETRY_S,
    REPLY_GRACE_S,
)
from damaskbay.mesh.directory import Directory
from damaskbay.mesh.target import Target
from damaskbay.ports.fleet import ServerView
from damaskbay.ports.peer import PeerFailure, PeerProblem

_LOGGER = logging.getLogger(__name__)


_RETRIED_STATUSES = frozenset({500, 502, 504})
"""
Error responses after which another server may succeed.

A server whose daemon is leaving answers 504 while the call itself has time left.
"""


_CAPACITY_REASONS = frozenset({Reason.QUEUE_FULL, Reason.OVERLOADED})
"""Reasons for which a server that is reachable takes no call now."""

_REASONS_BY_PROBLEM = {
    PeerProblem.TIMEOUT: Reason.DEADLINE_PASSED,
    PeerProblem.INTERRUPTED: Reason.SHUTTING_DOWN,
}
"""Reasons for calls that a peer may have run; for other problems the link was lost."""


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """Dependencies of Dispatcher."""

    directory: Directory
    router: Router
    target: Target
    links: PeerLinks
    lifetime: Lifetime
    clock: Callable[[], float]


@dataclass(slots=True)
class _Progress:
    """
    Progress of a call; `error_response` is the last one that a server sent.

    An attempt is expected to take `expected_s`, in seconds. `full` is the result of the
    full server that takes calls again first.
    """

    expected_s: float
    attempts_made: int = 0
    redirects: int = 0
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    error_response: CallResult | None = None
    full: CallResult | None = None


class Dispatcher:
    """Selects a server for each attempt, records outcomes and retries within limits."""

    def __init__(self, parts: DispatchParts) -> None:
        self._parts = parts

    async def dispatch(
        self, context: CallContext, route: Route, request: Request, expected_s: float
    ) -> CallResult:
        """
        Send a call, with retries; return its final response or refusal.

        An attempt is expected to take `expected_s`, in seconds.
        """
        progress = _Progress(expected_s)
        while True:
            if progress.attempts_made and not context.is_retry:
                context = replace(context, is_retry=True)
            result = await self._attempt(context, route, request, progress)
            _record_full_server(progress, result)
            if not self._should_retry(context, route, progress, result):
                return self._final_result(progress, result)

    async def _attempt(
        self,
        context: CallContext,
        route: Route,
        request: Request,
        progress: _Progress,
    ) -> CallResult:
        parts = self._parts
        now = parts.clock()
        servers = parts.directory.servers(context.pool)
        choice = parts.router.choose(
            servers, context, excluded=progress.excluded, now=now
        )
        if isinstance(choice, Refusal):
            return CallResult(
                replace(choice, retry_after_s=NOT_READY_RETRY_S), attempts=0
            )
        progress.excluded |= {choice.instance}
        started = parts.router.record_start(choice.instance, now, context)
        failure: FailureKind | None = FailureKind.CANCELLED
        load: float | None = None
        service_s: float | None = None
        may_have_run_before, progress.may_have_run = progress.may_have_run, True
        try:
            repeatable = context.idempotent and progress.attempts_made < route.retries
            result = await self._send(choice, context, request, repeatable=repeatable)
            failure, load = _failure_kind(result), result.load
            service_s = _service_s(result)
        except asyncio.CancelledError:
            _LOGGER.info(
                "ingress: attempt is cancelled.",
                extra={"request_id": context.request_id, "at": choice.instance},
            )
            raise
        finally:
            ended = parts.clock()
            outcome = RouteOutcome(ended - now, None, failure, load, service_s)
            parts.router.record_end(choice.instance, outcome, ended, started)
        final = result.result
        if isinstance(final, Refusal) and final.not_run:
            progress.may_have_run = may_have_run_before
        progress.attempts_made += result.attempts
        return result

    async def _send(
        self,
        server: ServerView,
        context: CallContext,
        request: Request,
        *,
        repeatable: bool,
    ) -> CallResult:
        parts = self._parts
        if server.local:
            return await parts.target.run(context, request)
        now = parts.clock()
        kind = CallMessage
        if parts.links.peer_version(server.address) >= TREES_VERSION:
            kind = TreeCallMessage
        message = to_call_message(context, request, now=now, kind=kind)
        timeout_s = max(0.0, context.deadline + REPLY_GRACE_S - now)
        reply = await parts.links.request(
            server.address, message, timeout_s=timeout_s, repeatable=repeatable
        )
        if isinstance(reply, (AnswerMessage, RefusalMessage)):
            return result_of(reply)
        not_sent = isinstance(reply, PeerFailure) and reply.problem in (
            PeerProblem.NOT_SENT,
            PeerProblem.REJECTED,
        )
        if not_sent:
            refusal = not_run(
                Reason.PEER_UNREACHABLE,
                retry_after_s=NOT_READY_RETRY_S,
                detail=str(reply),
            )
            return CallResult(refusal, attempts=0, served_by=server.instance)
        reason = Reason.PEER_LOST
        if isinstance(reply, PeerFailure):
            reason = _REASONS_BY_PROBLEM.get(reply.problem, reason)
        refusal = unknown(reason, detail=str(reply))
        return CallResult(refusal, served_by=server.instance)

    def _should_retry(
        self,
        context: CallContext,
        route: Route,
        progress: _Progress,
        result: CallResult,
    ) -> bool:
        """Return whether to retry; the next target's retry budget may refuse it."""
        outcome = result.result
        if isinstance(outcome, Response):
            return self._should_retry_response(context, route, progress, result)
        if outcome.reason not in RETRYABLE_REASONS:
            return False
        if not self._has_time_to_retry(context, progress):
            return False
        if result.attempts == 0 and not outcome.not_run:
            return False
        if result.attempts == 0:
            # Many daemons may leave at the same time, each of which is tried once.
            if outcome.reason is not Reason.SHUTTING_DOWN:
                progress.redirects += 1
            return progress.redirects < MAX_REDIRECTS
        if not (outcome.not_run or context.idempotent):
            return False
        if progress.attempts_made > route.retries:
            return False
        self._log_retry(context, result, outcome.reason.value)
        return True

    def _has_time_to_retry(self, context: CallContext, progress: _Progress) -> bool:
        """
        Return whether another attempt may end in time.

        A refusal as not run is worth more to a caller than an attempt that a leaving
        daemon gives up. Nested calls go on, as otherwise the call that made them fails.
        """
        parts = self._parts
        lifetime, now = parts.lifetime, parts.clock()
        if lifetime.limit(context.deadline) - now < MIN_RETRY_TIME_LEFT_S:
            return False
        if progress.may_have_run or context.depth > 0:
            return True
        return not lifetime.outlasts(progress.expected_s, now)

    def _log_retry(self, context: CallContext, result: CallResult, why: str) -> None:
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

    def _should_retry_response(
        self,
        context: CallContext,
        route: Route,
        progress: _Progress,
        result: CallResult,
    ) -> bool:
        """Return whether to retry an error response at another server."""
        outcome = result.result
        assert isinstance(outcome, Response)
        retry = (
            outcome.status in _RETRIED_STATUSES
            and context.idempotent
            and not result.nested_failed
            and progress.attempts_made <= route.retries
            and self._has_time_to_retry(context, progress)
        )
        if retry:
            progress.error_response = result
            self._log_retry(context, result, f"status {outcome.status}")
        return retry

    def _final_result(self, progress: _Progress, result: CallResult) -> CallResult:
        """
        Return the final result of a call.

        An earlier error response replaces a refusal, and the refusal of the server that
        takes calls again first replaces those of other full servers. The outcome of a
        refusal is unknown if an attempt may have run.
        """
        outcome = result.result
        if progress.full is not None and _is_out_of_servers(outcome):
            result, outcome = progress.full, progress.full.result
        if isinstance(outcome, Refusal) and progress.error_response is not None:
            return progress.error_response
        if isinstance(outcome, Refusal) and outcome.not_run and progress.may_have_run:
            return replace(result, result=replace(outcome, outcome=Outcome.UNKNOWN))
        return result


def _record_full_server(progress: _Progress, result: CallResult) -> None:
    """Keep the refusal of the full server that takes calls again first."""
    retry_after_s = _retry_after_of_full_server(result)
    if retry_after_s is None:
        return
    known_s = None
    if progress.full is not None:
        known_s = _retry_after_of_full_server(progress.full)
    if known_s is None or retry_after_s < known_s:
        progress.full = result


def _retry_after_of_full_server(result: CallResult) -> float | None:
    """Return when a full server takes calls again, in seconds; else None."""
    outcome = result.result
    if isinstance(outcome, Response) or result.attempts or not outcome.not_run:
        return None
    return outcome.retry_after_s if outcome.reason in _CAPACITY_REASONS else None


def _is_out_of_servers(outcome: Response | Refusal) -> bool:
    """Return whether a call ends because no server takes it."""
    return (
        isinstance(outcome, Refusal)
        and outcome.not_run
        and outcome.reason in _CAPACITY_REASONS | {Reason.NO_BACKEND_SERVER}
    )


def _service_s(result: CallResult) -> float | None:
    """Return how long a server worked on a call that it served without others."""
    outcome = result.result
    if not isinstance(outcome, Response) or outcome.status >= FIRST_SERVER_ERROR:
        return None
    return None if result.has_nested else result.backend_s


def _failure_kind(result: CallResult) -> FailureKind | None:
    outcome = result.result
    if isinstance(outcome, Response):
        failed = outcome.status >= FIRST_SERVER_ERROR and not result.nested_failed
        return FailureKind.FAILED if failed else None
    if outcome.not_run and result.attempts == 0:
        reason = outcome.reason
        if reason in (Reason.PEER_UNREACHABLE, Reason.BACKEND_SERVER_FAILED):
            return FailureKind.UNREACHABLE
        return FailureKind.REFUSED
    return FAILURES_BY_REASON.get(outcome.reason, FailureKind.REFUSED)
