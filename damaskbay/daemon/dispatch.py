"""Send a call to a backend server of its pool, and again where that is allowed."""

import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import CancelledError, Future
from dataclasses import dataclass, replace
from typing import Any

from damaskbay.core.call import Answer, CallContext, CallResult, Request
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

_PEER_GRACE_S = 0.05


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One call to be sent to its pool; `leaf` calls make no calls of their own."""

    context: CallContext
    request: Request
    cancellation: Cancellation
    leaf: bool = False


class PeerCaller:
    """Sends one call to one other daemon and turns what comes back into a result."""

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
        """Block until a result, a failure of the stream or the deadline."""
        now = self._clock()
        message = to_call_message(context, request, now=now, owned=owned)
        timeout_s = max(0.0, context.deadline - now)
        future = self._link.request(address, message, timeout_s=timeout_s)

        def cancel() -> None:
            future.cancel()

        cancellation.on_cancel(cancel)
        try:
            reply = _wait(future, timeout_s + _PEER_GRACE_S)
        finally:
            cancellation.forget(cancel)
        if isinstance(reply, (AnswerMessage, RefusalMessage)):
            return result_of(reply)
        return _failed(reply, context)


class Dispatcher:
    """Chooses a server, sends, learns from the outcome, retries within bounds."""

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
        self._budgets_by_pool: dict[str, RetryBudget] = {}

    def dispatch(self, outgoing: Outgoing) -> CallResult:
        """Send until an answer, a refusal that stands, or the deadline."""
        attempt = _Attempts(outgoing.context.retry_tokens)
        while True:
            result = self._attempt(outgoing, attempt)
            attempt.take(result)
            delay_s = self._delay_before_next(outgoing, attempt, result)
            if delay_s is None or outgoing.cancellation.cancelled:
                return attempt.total(result)
            time.sleep(delay_s)

    def _attempt(self, outgoing: Outgoing, attempt: "_Attempts") -> CallResult:
        context = outgoing.context
        now = self._clock()
        if now >= context.deadline:
            return _nothing_sent(not_run(Reason.DEADLINE_PASSED))
        servers = self._membership.servers(context.pool)
        with self._lock:
            chosen = self._choose(servers, context, attempt, now)
        if isinstance(chosen, Refusal):
            return _nothing_sent(chosen)
        moved = attempt.hand_out(nested=not outgoing.leaf)
        context = replace(context, retry_tokens=moved)
        return self._send(chosen, context, outgoing)

    def _choose(
        self,
        servers: tuple[ServerView, ...],
        context: CallContext,
        attempt: "_Attempts",
        now: float,
    ) -> ServerView | Refusal:
        elsewhere = self._other_domains(context.pool)
        if attempt.rounds == 0:
            early = self._router.early_refusal(
                servers,
                context,
                now,
                weight=self._weight_of(context.workspace),
                other_domains=elsewhere,
            )
            if early is not None:
                return early
        chosen = self._router.choose(
            servers,
            context,
            excluded=frozenset(attempt.excluded),
            now=now,
            other_domains=elsewhere,
            local_room=self._target.has_room(),
        )
        if isinstance(chosen, ServerView):
            self._router.started(chosen.instance, now)
        return chosen

    def _send(
        self, server: ServerView, context: CallContext, outgoing: Outgoing
    ) -> CallResult:
        began = self._clock()
        request = outgoing.request
        cancellation = outgoing.cancellation
        if server.instance == self._instance:
            result = self._target.run(TargetCall(context, request, cancellation))
        else:
            result = self._peers.call(server.address, context, request, cancellation)
            result = replace(result, served_by=server.instance)
        now = self._clock()
        outcome = _route_outcome(result, now - began)
        with self._lock:
            self._router.finished(server.instance, outcome, now)
            if outcome.failure is None:
                self._budget(context.pool, now).succeeded()
        if _is_peer_failure(result):
            self._membership.suspect(server.instance, server.incarnation)
        return result

    def _delay_before_next(
        self, outgoing: Outgoing, attempt: "_Attempts", result: CallResult
    ) -> float | None:
        now = self._clock()
        with self._lock:
            retry = decide_retry(
                result,
                outgoing.context,
                self._budget(outgoing.context.pool, now),
                attempt.tokens,
                attempt.rounds,
                now,
                self._rng,
            )
        if retry is None:
            return None
        attempt.tokens -= 1
        attempt.excluded.add(retry.excluded)
        return retry.delay_s

    def _budget(self, pool: str, now: float) -> RetryBudget:
        budget = self._budgets_by_pool.get(pool)
        if budget is None:
            budget = RetryBudget(RetryBudgetOptions(), now)
            self._budgets_by_pool[pool] = budget
        return budget


class _Attempts:
    """What one call has spent so far."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.rounds = 0
        self.sends = 0
        self.excluded: set[str] = set()
        self._may_have_run = False

    def hand_out(self, *, nested: bool) -> int:
        """Return the retry tokens that move to the next attempt."""
        parts = split(self.tokens, nested=nested)
        self.tokens = parts.kept
        return parts.moved

    def take(self, result: CallResult) -> None:
        """Take note of one attempt and of the tokens it hands back."""
        self.rounds += 1
        self.sends += result.attempts
        self.tokens += result.retry_tokens_left
        if isinstance(result.result, Refusal) and not result.result.not_run:
            self._may_have_run = True

    def total(self, last: CallResult) -> CallResult:
        """Return the last result, truthful about all attempts before it."""
        outcome = last.result
        if isinstance(outcome, Refusal) and outcome.not_run and self._may_have_run:
            outcome = replace(outcome, outcome=Outcome.UNKNOWN)
        return replace(
            last, result=outcome, attempts=self.sends, retry_tokens_left=self.tokens
        )


def _wait(future: "Future[Any]", timeout_s: float) -> Any:
    try:
        return future.result(timeout_s)
    except CancelledError:
        return PeerFailure(PeerProblem.CANCELLED)
    except TimeoutError:
        future.cancel()
        return PeerFailure(PeerProblem.TIMEOUT)


def _failed(failure: PeerFailure, context: CallContext) -> CallResult:
    """Turn a peer's failure into a refusal; unsent tokens come back."""
    unsent = failure.problem in (PeerProblem.NOT_SENT, PeerProblem.REJECTED)
    if unsent:
        refusal = not_run(Reason.PEER_UNREACHABLE, detail=failure.detail)
        return CallResult(refusal, 0, context.retry_tokens)
    reason = {
        PeerProblem.TIMEOUT: Reason.DEADLINE_PASSED,
        PeerProblem.CANCELLED: Reason.CANCELLED,
    }.get(failure.problem, Reason.PEER_LOST)
    return CallResult(unknown(reason, detail=failure.detail), 1, 0)


def _nothing_sent(refusal: Refusal) -> CallResult:
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
    if isinstance(outcome, Answer):
        if outcome.status >= FIRST_SERVER_ERROR:
            failure = FailureKind.FAILED
    else:
        failure = FAILURES_BY_REASON.get(outcome.reason, FailureKind.REFUSED)
    return RouteOutcome(latency_s, result.admission_level, failure)
