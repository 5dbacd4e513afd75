"""Sends calls to backend servers of their pool, with retries."""

import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import CancelledError, Future
from dataclasses import dataclass, replace
from typing import Any

from damaskbay.core.call import CallContext, CallResult, Request, Response
from damaskbay.core.http_status import FIRST_SERVER_ERROR
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run, unknown
from damaskbay.core.retry.budget import RetryBudget, RetryBudgetOptions
from damaskbay.core.retry.decide import decide_retry
from damaskbay.core.retry.tokens import split
from damaskbay.core.routing import FAILURES_BY_REASON, FailureKind, RouteOutcome, Router
from damaskbay.daemon.messages import (
    AnswerMessage,
    RefusalMessage,
    result_of,
    to_call_message,
)
from damaskbay.daemon.target import Target, TargetCall
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.ports.fleet import Membership, ServerView
from damaskbay.ports.peer import PeerAddress, PeerFailure, PeerLink, PeerProblem

_PEER_REPLY_GRACE_S = 0.05


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """One call to send to its pool; `leaf` calls make no nested calls."""

    context: CallContext
    request: Request
    cancellation: Cancellation
    leaf: bool = False


class PeerCaller:
    """Sends calls to other daemons and converts their replies to call results."""

    def __init__(self, link: PeerLink, clock: Callable[[], float]) -> None:
        self._link = link
        self._clock = clock

    def call(
        self,
        address: PeerAddress,
        context: CallContext,
        request: Request,
        cancellation: Cancellation,
        *,
        owned: bool = False,
    ) -> CallResult:
        """
        Send a call and block until a reply, a stream failure or the deadline.

        With `owned` the peer owns the request id and dispatches the call.
        """
        now = self._clock()
        message = to_call_message(context, request, now=now, owned=owned)
        timeout_s = max(0.0, context.deadline - now)
        future = self._link.request(address, message, timeout_s=timeout_s)

        def cancel() -> None:
            future.cancel()

        cancellation.on_cancel(cancel)
        try:
            reply = _wait_for_reply(future, timeout_s + _PEER_REPLY_GRACE_S)
        finally:
            cancellation.remove_callback(cancel)
        if isinstance(reply, (AnswerMessage, RefusalMessage)):
            return result_of(reply)
        return _result_of_failure(reply, context)


class Dispatcher:
    """Routes a call to a server, records the outcome and retries within limits."""

    def __init__(
        self,
        *,
        instance: str,
        membership: Membership,
        router: Router,
        target: Target,
        peers: PeerCaller,
        clock: Callable[[], float],
        rng: random.Random,
        other_domains: Callable[[str], bool],
        weight_of: Callable[[str], float],
    ) -> None:
        self._instance = instance
        self._weight_of = weight_of
        self._other_domains = other_domains
        self._membership = membership
        self._router = router
        self._target = target
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._retry_budgets_by_pool: dict[str, RetryBudget] = {}

    def dispatch(self, outgoing: OutgoingCall) -> CallResult:
        """Send a call until a response, a final refusal or the deadline."""
        attempts = _CallAttempts(outgoing.context.retry_tokens)
        while True:
            result = self._send_once(outgoing, attempts)
            attempts.record(result)
            delay_s = self._delay_before_next(outgoing, attempts, result)
            if delay_s is None or outgoing.cancellation.cancelled:
                return attempts.combined_result(result)
            time.sleep(delay_s)

    def _send_once(
        self, outgoing: OutgoingCall, attempts: "_CallAttempts"
    ) -> CallResult:
        context = outgoing.context
        now = self._clock()
        if now >= context.deadline:
            return _refused_unsent(not_run(Reason.DEADLINE_PASSED))
        servers = self._membership.servers(context.pool)
        with self._lock:
            chosen = self._choose_server(servers, context, attempts, now)
        if isinstance(chosen, Refusal):
            return _refused_unsent(chosen)
        moved = attempts.allot_tokens(nested=not outgoing.leaf)
        context = replace(context, retry_tokens=moved)
        return self._send_to_server(chosen, context, outgoing)

    def _choose_server(
        self,
        servers: tuple[ServerView, ...],
        context: CallContext,
        attempts: "_CallAttempts",
        now: float,
    ) -> ServerView | Refusal:
        remote_allowed = self._other_domains(context.pool)
        if attempts.count == 0:
            early_refusal = self._router.early_refusal(
                servers,
                context,
                now,
                weight=self._weight_of(context.workspace),
                other_domains=remote_allowed,
            )
            if early_refusal is not None:
                return early_refusal
        chosen = self._router.choose(
            servers,
            context,
            excluded=frozenset(attempts.excluded),
            now=now,
            other_domains=remote_allowed,
            local_room=self._target.has_room(),
        )
        if isinstance(chosen, ServerView):
            self._router.record_start(chosen.instance, now)
        return chosen

    def _send_to_server(
        self, server: ServerView, context: CallContext, outgoing: OutgoingCall
    ) -> CallResult:
        started_at = self._clock()
        request = outgoing.request
        cancellation = outgoing.cancellation
        if server.instance == self._instance:
            result = self._target.run(TargetCall(context, request, cancellation))
        else:
            result = self._peers.call(server.address, context, request, cancellation)
            result = replace(result, served_by=server.instance)
        now = self._clock()
        outcome = _route_outcome(result, now - started_at)
        with self._lock:
            self._router.record_end(server.instance, outcome, now)
            if outcome.failure is None:
                self._retry_budget(context.pool, now).succeeded()
        if _is_peer_failure(result):
            self._membership.suspect(server.instance, server.incarnation)
        return result

    def _delay_before_next(
        self, outgoing: OutgoingCall, attempts: "_CallAttempts", result: CallResult
    ) -> float | None:
        now = self._clock()
        with self._lock:
            retry = decide_retry(
                result,
                outgoing.context,
                self._retry_budget(outgoing.context.pool, now),
                attempts.tokens,
                attempts.count,
                now,
                self._rng,
            )
        if retry is None:
            return None
        attempts.tokens -= 1
        attempts.excluded.add(retry.excluded)
        return retry.delay_s

    def _retry_budget(self, pool: str, now: float) -> RetryBudget:
        budget = self._retry_budgets_by_pool.get(pool)
        if budget is None:
            budget = RetryBudget(RetryBudgetOptions(), now)
            self._retry_budgets_by_pool[pool] = budget
        return budget


class _CallAttempts:
    """
    Attempts, retry tokens and excluded servers of one call.

    `count` is the number of recorded results, `total_sends` the sum of the attempts
    that they report.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.count = 0
        self.total_sends = 0
        self.excluded: set[str] = set()
        self._may_have_run = False

    def allot_tokens(self, *, nested: bool) -> int:
        """Subtract and return the retry tokens that are sent with the next attempt."""
        token_split = split(self.tokens, nested=nested)
        self.tokens = token_split.kept
        return token_split.moved

    def record(self, result: CallResult) -> None:
        """Record the result of an attempt and add the retry tokens it returns."""
        self.count += 1
        self.total_sends += result.attempts
        self.tokens += result.retry_tokens_left
        if isinstance(result.result, Refusal) and not result.result.not_run:
            self._may_have_run = True

    def combined_result(self, last: CallResult) -> CallResult:
        """
        Return the last result with the attempts and tokens of the whole call.

        A `not_run` refusal becomes `unknown` if an earlier attempt may have run.
        """
        outcome = last.result
        if isinstance(outcome, Refusal) and outcome.not_run and self._may_have_run:
            outcome = replace(outcome, outcome=Outcome.UNKNOWN)
        return replace(
            last,
            result=outcome,
            attempts=self.total_sends,
            retry_tokens_left=self.tokens,
        )


def explain_shutdown(
    result: CallResult, replaced: Reason = Reason.CANCELLED
) -> CallResult:
    """Give the daemon's end as the reason of a call that it cancelled or limited."""
    refusal = result.result
    if not isinstance(refusal, Refusal) or refusal.reason is not replaced:
        return result
    return replace(result, result=replace(refusal, reason=Reason.SHUTTING_DOWN))


def _wait_for_reply(future: "Future[Any]", timeout_s: float) -> Any:
    try:
        return future.result(timeout_s)
    except CancelledError:
        return PeerFailure(PeerProblem.CANCELLED)
    except TimeoutError:
        future.cancel()
        return PeerFailure(PeerProblem.TIMEOUT)


def _result_of_failure(failure: PeerFailure, context: CallContext) -> CallResult:
    """Convert a peer failure to a refusal; an unsent call keeps its retry tokens."""
    unsent = failure.problem in (PeerProblem.NOT_SENT, PeerProblem.REJECTED)
    if unsent:
        refusal = not_run(Reason.PEER_UNREACHABLE, detail=failure.detail)
        return CallResult(refusal, 0, context.retry_tokens)
    reason = {
        PeerProblem.TIMEOUT: Reason.DEADLINE_PASSED,
        PeerProblem.CANCELLED: Reason.CANCELLED,
    }.get(failure.problem, Reason.PEER_LOST)
    return CallResult(unknown(reason, detail=failure.detail), 1, 0)


def _refused_unsent(refusal: Refusal) -> CallResult:
    return CallResult(refusal, attempts=0)


def _is_peer_failure(result: CallResult) -> bool:
    outcome = result.result
    return isinstance(outcome, Refusal) and outcome.reason in (
        Reason.PEER_UNREACHABLE,
        Reason.PEER_LOST,
    )


def _route_outcome(result: CallResult, latency_s: float) -> RouteOutcome:
    outcome = result.result
    failure = None
    if isinstance(outcome, Response):
        if outcome.status >= FIRST_SERVER_ERROR:
            failure = FailureKind.FAILED
    else:
        failure = FAILURES_BY_REASON.get(outcome.reason, FailureKind.REFUSED)
    return RouteOutcome(latency_s, result.admission_level, failure)
