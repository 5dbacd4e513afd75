"""Serves callers: route, key, freshness, rate, choice of a server, sends again."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from damaskbay.adapters.http1.client import header_value
from damaskbay.adapters.http1.server import Arrival
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import Access, ConfigSet, Route, Workspace
from damaskbay.core.call import Answer, CallContext, CallResult, Headers, Request
from damaskbay.core.http_status import status_of
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run, unknown
from damaskbay.core.pressure import EdgePressure
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.retry.const import RETRIED_ELSEWHERE
from damaskbay.core.routing import FailureKind, RouteOutcome, Router
from damaskbay.daemon.messages import (
    AnswerMessage,
    RefusalMessage,
    result_of,
    to_call_message,
)
from damaskbay.helpers.http_headers import without_hop_by_hop
from damaskbay.helpers.keys import digest_of
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import (
    ANSWER_GRACE_S,
    DEADLINE_SLACK_S,
    MAX_REDIRECTS,
    NOT_READY_RETRY_S,
    RESEND_LEAST_S,
    REVOKE_MARGIN_S,
    UNPROVEN_RETRY_S,
)
from damaskbay.mesh.dialect import Dialect
from damaskbay.mesh.directory import Directory
from damaskbay.mesh.running import RunningCall, RunningCalls
from damaskbay.mesh.target import Target
from damaskbay.mesh.weights import WeightedChoice
from damaskbay.ports.fleet import ServerView
from damaskbay.ports.peer import PeerFailure, PeerProblem

_LOGGER = logging.getLogger(__name__)

FIRST_SERVER_ERROR = 500
SAMPLED_ANSWERS = 50
"""One whole answer in so many gets a log line; each failure asks for one."""
SERVICE_UNAVAILABLE = 503

_RETRIED_STATUSES = frozenset({500, 502})
"""Server failures after which another server may do better."""

_FAILURES_BY_REASON = {
    Reason.PEER_UNREACHABLE: FailureKind.UNREACHABLE,
    Reason.PEER_LOST: FailureKind.LOST,
    Reason.BACKEND_SERVER_FAILED: FailureKind.FAILED,
    Reason.ANSWER_INCOMPLETE: FailureKind.FAILED,
    Reason.INTERNAL_ERROR: FailureKind.FAILED,
    Reason.DEADLINE_PASSED: FailureKind.TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class IngressOptions:
    """
    What serving goes by; times in seconds.

    A keyed request is served only while the configuration was proven the newest
    within `proof_valid_s`. `caller_name` is what servers are told of the origin.
    """

    instance: str
    caller_name: str
    proof_valid_s: float


@dataclass(frozen=True, slots=True)
class IngressParts:
    """What an ingress works with."""

    configuration: Configuration
    directory: Directory
    router: Router
    target: Target
    links: PeerLinks
    shares: DemandShares
    pressure: EdgePressure
    running: RunningCalls
    telemetry: BoundTelemetry
    dialect: Dialect
    rng: Random
    clock: Callable[[], float]


@dataclass(slots=True)
class _Sends:
    """What a request has cost so far; `answered` is a server's own failure."""

    arrived: int = 0
    redirected: int = 0
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    answered: CallResult | None = None


class Ingress:
    """Serves the requests of one machine's callers and of its own server."""

    def __init__(self, options: IngressOptions, parts: IngressParts) -> None:
        self._options = options
        self._parts = parts
        self._weights = WeightedChoice(parts.rng)
        self._answers = 0
        dropped = {"host", "content-length", "expect", parts.dialect.request_id.lower()}
        self._dropped = parts.dialect.set_by_us | dropped
        self.under_way = 0

    def set_proof_valid(self, valid_s: float) -> None:
        """Change how old the proof of the configuration may be."""
        self._options = replace(self._options, proof_valid_s=valid_s)

    async def serve(self, arrival: Arrival) -> Answer:
        """Serve one request to its end."""
        self.under_way += 1
        try:
            return await self._serve(arrival)
        finally:
            self.under_way -= 1

    async def _serve(self, arrival: Arrival) -> Answer:
        parts = self._parts
        request = arrival.request
        request_id = header_value(request.headers, parts.dialect.request_id)
        config, routes = parts.configuration.config, parts.configuration.routes
        if config is None or routes is None:
            refusal = not_run(Reason.NO_CONFIGURATION, retry_after_s=NOT_READY_RETRY_S)
            return self._refusal_answer(refusal, request_id, None)
        route = routes.match(request.host, request.target)
        if route is None:
            return self._refusal_answer(not_run(Reason.NO_ROUTE), request_id, None)
        workspace = self._workspace(config, route, request, arrival.arrived_at)
        if isinstance(workspace, Refusal):
            return self._refusal_answer(workspace, request_id, route)
        caller = None if workspace else parts.running.caller_of(request_id)
        context = self._context(config, route, workspace, arrival, request_id, caller)
        early = self._early_refusal(context, workspace)
        if early is not None:
            return self._refusal_answer(early, request_id, route)
        forwarded = self._forwarded(request, workspace)
        result = await self._dispatch(context, route, forwarded)
        self._ended(context, result, parts.clock() - arrival.arrived_at)
        if caller is not None:
            parts.running.nested_ended(caller, result, parts.clock())
        else:
            parts.pressure.heard(route.name, result.admission_level, parts.clock())
        outcome = result.result
        if isinstance(outcome, Refusal):
            return self._refusal_answer(outcome, request_id, route)
        headers = outcome.headers
        if request_id is not None:
            headers = (*headers, (parts.dialect.request_id, request_id))
        return Answer(outcome.status, headers, outcome.body)

    def _ended(self, context: CallContext, result: CallResult, took_s: float) -> None:
        """Count a request that was sent; log a sample of the whole answers."""
        self._parts.telemetry.call_ended(context, result, took_s=took_s)
        outcome = result.result
        if not isinstance(outcome, Answer):
            return
        failed = outcome.status >= FIRST_SERVER_ERROR
        self._answers += 1
        if not failed and self._answers % SAMPLED_ANSWERS:
            return
        _LOGGER.info(
            "ingress: request failed." if failed else "ingress: request answered.",
            extra={
                "request_id": context.request_id,
                "route": context.route,
                "version": context.config_version,
                "status": outcome.status,
                "served_by": result.served_by,
                "rank": context.priority_rank,
                "sends": result.attempts,
                "took_s": round(took_s, 4),
                "server_s": round(result.backend_s or 0.0, 4),
                "nested_failed": result.nested_failed,
            },
        )

    def _workspace(
        self, config: ConfigSet, route: Route, request: Request, now: float
    ) -> Workspace | Refusal | None:
        """Return whose request it is, None on a route that is open to all."""
        if route.access is Access.OPEN:
            return None
        secret = header_value(request.headers, self._parts.dialect.key)
        if secret is None:
            return not_run(Reason.KEY_MISSING)
        age_s = self._parts.configuration.age_s(self._parts.clock())
        if age_s is None or age_s > self._options.proof_valid_s - REVOKE_MARGIN_S:
            detail = f"version {config.version}, proof age {age_s}"
            return not_run(
                Reason.CONFIGURATION_UNPROVEN,
                retry_after_s=UNPROVEN_RETRY_S,
                detail=detail,
            )
        key = config.keys_by_digest.get(digest_of(secret))
        if key is None:
            return not_run(Reason.KEY_UNKNOWN)
        workspace = config.workspaces_by_name[key.workspace]
        return self._parts.shares.spend(workspace, now) or workspace

    def _context(
        self,
        config: ConfigSet,
        route: Route,
        workspace: Workspace | None,
        arrival: Arrival,
        request_id: str | None,
        caller: RunningCall | None,
    ) -> CallContext:
        said = header_value(arrival.request.headers, self._parts.dialect.deadline_ms)
        limit_s = route.deadline_s
        if said is not None and said.isdigit():
            limit_s = min(limit_s, int(said) / 1000.0)
        rank = self._parts.configuration.ranks.rank(route, workspace)
        owner, depth = (workspace.name if workspace is not None else ""), 0
        under_resent = False
        if caller is not None:
            rank = caller.context.priority_rank
            owner = caller.context.workspace
            depth = caller.context.depth + 1
            under_resent = caller.context.resent or caller.context.under_resent
        elif workspace is None:
            depth = 1
        return CallContext(
            call_id="",
            workspace=owner,
            priority_rank=rank,
            deadline=arrival.arrived_at + limit_s,
            route=route.name,
            pool=self._weights.pool(route),
            idempotent=route.idempotent,
            depth=depth,
            under_resent=under_resent,
            request_id=request_id,
            config_version=config.version,
            objective_s=route.objective_s,
        )

    def _early_refusal(
        self, context: CallContext, workspace: Workspace | None
    ) -> Refusal | None:
        """Refuse new work that something behind its route has no room for."""
        if workspace is None:
            return None
        return self._parts.pressure.refusal(
            context.route,
            context.priority_rank,
            workspace.name,
            workspace.weight,
            self._parts.clock(),
        )

    def _forwarded(self, request: Request, workspace: Workspace | None) -> Request:
        """Return the request as servers may see it: without the key."""
        dialect = self._parts.dialect
        headers = without_hop_by_hop(request.headers, self._dropped)
        own: Headers = ((dialect.caller, self._options.caller_name),)
        if workspace is not None:
            own = (*own, (dialect.workspace, workspace.name))
        return Request(
            request.method, request.host, request.target, (*headers, *own), request.body
        )

    async def _dispatch(
        self, context: CallContext, route: Route, request: Request
    ) -> CallResult:
        """Send until an answer, a refusal that stands, or the deadline."""
        sends = _Sends()
        try:
            async with asyncio.timeout(
                context.deadline + ANSWER_GRACE_S - self._parts.clock()
            ):
                while True:
                    if sends.arrived and not context.resent:
                        context = replace(context, resent=True)
                    result = await self._attempt(context, request, sends)
                    if not self._again(context, route, sends, result):
                        return self._final(sends, result)
        except TimeoutError:
            if sends.answered is not None:
                return sends.answered
            if sends.may_have_run:
                return CallResult(unknown(Reason.DEADLINE_PASSED))
            return CallResult(not_run(Reason.DEADLINE_PASSED))

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
        except asyncio.CancelledError:
            if parts.clock() >= context.deadline - DEADLINE_SLACK_S:
                failure = FailureKind.TIMEOUT
            raise
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
        message = to_call_message(context, request, now=parts.clock())
        reply = await parts.links.request(server.address, message)
        if isinstance(reply, (AnswerMessage, RefusalMessage)):
            return result_of(reply)
        unsent = isinstance(reply, PeerFailure) and reply.problem in (
            PeerProblem.NOT_SENT,
            PeerProblem.REJECTED,
        )
        if unsent:
            refusal = not_run(Reason.PEER_UNREACHABLE, retry_after_s=NOT_READY_RETRY_S)
            return CallResult(refusal, attempts=0, served_by=server.instance)
        refusal = unknown(Reason.PEER_LOST, detail=str(reply))
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

    def _refusal_answer(
        self, refusal: Refusal, request_id: str | None, route: Route | None
    ) -> Answer:
        status = status_of(refusal)
        if refusal.not_run and status >= FIRST_SERVER_ERROR:
            status = SERVICE_UNAVAILABLE
        elif not refusal.not_run and status == SERVICE_UNAVAILABLE:
            status = 502
        _LOGGER.info(
            "ingress: request refused.",
            extra={
                "request_id": request_id,
                "route": route.name if route is not None else None,
                "version": self._parts.configuration.version,
                "proof_age_s": self._parts.configuration.age_s(self._parts.clock()),
                "outcome": refusal.outcome.value,
                "why": refusal.reason.value,
                "detail": refusal.detail,
                "status": status,
            },
        )
        headers: Headers = ()
        if refusal.retry_after_s is not None and refusal.not_run:
            value = f"{max(0.001, refusal.retry_after_s):.3f}"
            headers = ((self._parts.dialect.retry_after, value),)
        if request_id is not None:
            headers = (*headers, (self._parts.dialect.request_id, request_id))
        return Answer(status, headers, b"")


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
    return _FAILURES_BY_REASON.get(outcome.reason, FailureKind.REFUSED)
