"""The call policy of damaskbay in virtual time, with simulated backend servers."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from bench.overload_fleet import HOP_DELAY_S, Fleet
from bench.overload_load import LOST_RESPONSE_SHARE, Request
from bench.virtual_time import FakeServer, Job
from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    CallSample,
    Decision,
    PendingCall,
    StartDecision,
)
from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.call_tree import CallTree
from damaskbay.core.outcome import Reason, Refusal, unknown
from damaskbay.core.retry import RetryBudget, RetryBudgetOptions, decide_retry, split
from damaskbay.core.routing import FailureKind, RouteOutcome, Router, RouterOptions
from damaskbay.ports.fleet import ServerView

TICK_S = 0.05
STATUS_OK = 200
STATUS_NESTED_FAILED = 502

Done = Callable[[CallResult], None]


class Daemon:
    """Routing, admission and retries of one daemon and its simulated server."""

    def __init__(self, fleet: Fleet, view: ServerView, server: FakeServer) -> None:
        rng = fleet.rng
        options = AdmissionOptions(server.slots, limit=fleet.policy.limit)
        self.fleet = fleet
        self.view = view
        self.server = server
        self.router = Router(RouterOptions(view.failure_domain), Random(rng.random()))
        self.controller = AdmissionController(options, Random(rng.random()), 0.0)
        self.tree = CallTree()
        self.budget_by_pool = {
            pool.name: RetryBudget(RetryBudgetOptions(), 0.0)
            for pool in fleet.topology.pools
        }
        self._attempts_by_ticket: dict[int, Attempt] = {}
        self._last_ticket = 0
        fleet.events.after(TICK_S, self.tick)

    def admit(self, attempt: "Attempt") -> None:
        """Offer an attempt to admission, unless it was cancelled in flight."""
        if attempt.ended:
            return
        self._last_ticket += 1
        attempt.ticket = self._last_ticket
        self._attempts_by_ticket[attempt.ticket] = attempt
        context = attempt.context
        item = PendingCall(attempt.ticket, context, cost=context.depth)
        self.apply(self.controller.offer(item, self.fleet.events.now))

    def apply(self, decisions: tuple[Decision, ...]) -> None:
        """Run or refuse attempts as admission decided."""
        for decision in decisions:
            attempt = self._attempts_by_ticket[decision.ticket]
            if isinstance(decision, StartDecision):
                attempt.run()
            else:
                del self._attempts_by_ticket[decision.ticket]
                attempt.reply(decision.refusal, attempt.context.retry_tokens)

    def finish(self, attempt: "Attempt", sample: CallSample) -> None:
        """Free the slot of an attempt and report its sample to admission."""
        del self._attempts_by_ticket[attempt.ticket]
        now = self.fleet.events.now
        self.apply(self.controller.finish(attempt.ticket, sample, now))

    def withdraw(self, attempt: "Attempt") -> None:
        """Remove a waiting attempt from admission."""
        if self._attempts_by_ticket.pop(attempt.ticket, None) is not None:
            now = self.fleet.events.now
            self.apply(self.controller.withdraw(attempt.ticket, now))

    def tick(self) -> None:
        """Expire waiting attempts, and schedule the next tick."""
        self.apply(self.controller.expire(self.fleet.events.now))
        self.fleet.events.after(TICK_S, self.tick)


class Call:
    """A call at the sending daemon: server choice, attempts and retries."""

    def __init__(
        self, daemon: Daemon, request: Request, context: CallContext, done: Done
    ) -> None:
        self.daemon = daemon
        self.request = request
        self.context = context
        self.tokens = context.retry_tokens
        self.sends = 0
        self.ended = False
        self._done = done
        self._attempt: Attempt | None = None
        self._sent_at = 0.0

    def begin(self) -> None:
        """Refuse the call early or send its first attempt."""
        now = self.daemon.fleet.events.now
        servers = self.daemon.fleet.views_by_pool[self.context.pool]
        refusal = self.daemon.router.early_refusal(servers, self.context, now)
        if refusal is not None:
            self._end(CallResult(refusal, 0, self.tokens))
            return
        self._send(frozenset())

    def cancel(self) -> None:
        """Cancel the call and its nested calls."""
        if self.ended:
            return
        self.ended = True
        attempt = self._attempt
        if attempt is None:
            return
        now = self.daemon.fleet.events.now
        outcome = RouteOutcome(now - self._sent_at, None, FailureKind.CANCELLED)
        self.daemon.router.record_end(attempt.target.view.instance, outcome, now)
        self.daemon.fleet.events.after(attempt.hop_delay_s, attempt.cancel)

    def _send(self, excluded: frozenset[str]) -> None:
        fleet = self.daemon.fleet
        now = fleet.events.now
        view = self.daemon.router.choose(
            fleet.views_by_pool[self.context.pool],
            self.context,
            excluded=excluded,
            now=now,
        )
        if isinstance(view, Refusal):
            self._end(CallResult(view, 0, self.tokens))
            return
        token_split = split(
            self.tokens, nested=fleet.next_pool(self.context.pool) is not None
        )
        self.tokens = token_split.kept
        self.sends += 1
        self.request.attempts += 1
        self._sent_at = now
        self.daemon.router.record_start(view.instance, now)
        target = fleet.daemons_by_instance[view.instance]
        hop_delay_s = 0.0 if target is self.daemon else HOP_DELAY_S
        context = replace(self.context, retry_tokens=token_split.moved)
        self._attempt = Attempt(self, target, context, hop_delay_s)
        fleet.events.after(hop_delay_s, target.admit, self._attempt)

    def on_result(self, attempt: "Attempt", result: CallResult) -> None:
        """Handle the result of an attempt."""
        if self.ended:
            return
        self._attempt = None
        now = self.daemon.fleet.events.now
        instance = attempt.target.view.instance
        failure = _failure(result.result)
        outcome = RouteOutcome(now - self._sent_at, result.admission_level, failure)
        self.daemon.router.record_end(instance, outcome, now)
        self.tokens += result.retry_tokens_left
        budget = self.daemon.budget_by_pool[self.context.pool]
        if isinstance(result.result, Response):
            budget.succeeded()
        retry = decide_retry(
            replace(result, served_by=instance),
            self.context,
            budget,
            self.tokens,
            self.sends,
            now,
            self.daemon.fleet.rng,
        )
        if retry is None:
            self._end(replace(result, retry_tokens_left=self.tokens))
            return
        self.tokens -= 1
        excluded = frozenset({retry.excluded})
        self.daemon.fleet.events.after(retry.delay_s, self._retry, excluded)

    def _retry(self, excluded: frozenset[str]) -> None:
        if not self.ended:
            self._send(excluded)

    def _end(self, result: CallResult) -> None:
        self.ended = True
        self._done(result)


class Attempt:
    """One attempt of a call, at the target daemon."""

    def __init__(
        self, call: Call, target: Daemon, context: CallContext, hop_delay_s: float
    ) -> None:
        self.call = call
        self.target = target
        self.context = context
        self.hop_delay_s = hop_delay_s
        self.ticket = 0
        self.ended = False
        self._job: Job | None = None
        self._token = ""
        self._nested: Call | None = None
        self._nested_started_at = 0.0
        self._nested_s = 0.0

    def run(self) -> None:
        """Start the work at the backend server."""
        if self.context.depth == 0:
            self.call.request.runs += 1
        else:
            self.call.request.deep_runs += 1
        self._token = f"{self.target.view.instance}-{self.ticket}"
        self.target.tree.open(self.context, self._token)
        self._job = self.target.server.begin()
        self.target.server.work(self._job, self._on_work_done)

    def cancel(self) -> None:
        """Cancel the attempt and its nested call."""
        if self.ended:
            return
        self.ended = True
        if self._job is None:
            self.target.withdraw(self)
            return
        if self._nested is not None:
            self._nested.cancel()
        self._free_slot(cancelled=True)

    def _on_work_done(self) -> None:
        fleet = self.target.fleet
        pool = fleet.next_pool(self.context.pool)
        if pool is None:
            self._finish(Response(STATUS_OK))
            return
        now = fleet.events.now
        route = fleet.route(pool, idempotent=self.context.idempotent)
        context = self.target.tree.child_context(self._token, route, now)
        if isinstance(context, Refusal):
            self._finish(Response(STATUS_NESTED_FAILED))
            return
        self.target.tree.started(self._token, 1, context)
        self._nested_started_at = now
        self._nested = Call(
            self.target, self.call.request, context, self._on_nested_result
        )
        self._nested.begin()

    def _on_nested_result(self, result: CallResult) -> None:
        fleet = self.target.fleet
        self._nested_s = fleet.events.now - self._nested_started_at
        self.target.tree.finished(self._token, 1, result.retry_tokens_left)
        succeeded = (
            isinstance(result.result, Response) and result.result.status == STATUS_OK
        )
        self._finish(Response(STATUS_OK if succeeded else STATUS_NESTED_FAILED))

    def _finish(self, answer: Response) -> None:
        tokens = self._free_slot(cancelled=False)
        if self.target.fleet.rng.random() < LOST_RESPONSE_SHARE:
            self.call.request.lost = True
            self.reply(unknown(Reason.PEER_LOST), 0)
            return
        self.reply(answer, tokens)

    def _free_slot(self, *, cancelled: bool) -> int:
        """Free the slot and return the unused retry tokens."""
        assert self._job is not None
        self.ended = True
        held_s = self.target.server.end(self._job)
        self.call.request.held_s += held_s
        closed = self.target.tree.close(self._token)
        sample = CallSample(held_s, cancelled=cancelled, nested_s=self._nested_s)
        self.target.finish(self, sample)
        return closed.retry_tokens_left

    def reply(self, result: Response | Refusal, tokens: int) -> None:
        """Send back a response or a refusal, with the admission level."""
        self.ended = True
        events = self.target.fleet.events
        level = self.target.controller.level(events.now)
        lost = isinstance(result, Refusal) and result.reason is Reason.PEER_LOST
        answer = CallResult(
            result,
            retry_tokens_left=tokens,
            admission_level=None if lost else level,
        )
        events.after(self.hop_delay_s, self.call.on_result, self, answer)


class OurSystem:
    """System of daemons and simulated servers of one topology."""

    def __init__(self, fleet: Fleet, servers: list[FakeServer]) -> None:
        self._fleet = fleet
        for server in servers:
            view = fleet.view(server)
            fleet.daemons_by_instance[server.instance] = Daemon(fleet, view, server)

    def submit(self, request: Request, ended: Callable[[Request, bool], None]) -> None:
        """Send a request to a random daemon of the first pool."""
        fleet = self._fleet
        view = fleet.rng.choice(fleet.views_by_pool[fleet.topology.pools[0].name])
        context = fleet.root_context(request)

        def done(result: CallResult) -> None:
            answer = result.result
            succeeded = isinstance(answer, Response) and answer.status == STATUS_OK
            if succeeded:
                request.answered_at = fleet.events.now
            not_run = isinstance(answer, Refusal) and answer.not_run
            ended(request, request.idempotent or not_run)

        call = Call(fleet.daemons_by_instance[view.instance], request, context, done)
        left_s = request.deadline - fleet.events.now
        fleet.events.after(left_s, self._cancel_at_deadline, call, request, ended)
        call.begin()

    def _cancel_at_deadline(
        self, call: Call, request: Request, ended: Callable[[Request, bool], None]
    ) -> None:
        if not call.ended:
            call.cancel()
            ended(request, False)


def _failure(result: Response | Refusal) -> FailureKind | None:
    """Return the kind of failure of a result; None for a response."""
    if isinstance(result, Response):
        return None
    if result.reason is Reason.PEER_LOST:
        return FailureKind.LOST
    return FailureKind.REFUSED
