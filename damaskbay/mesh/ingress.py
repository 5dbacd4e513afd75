"""Serves callers: route, key, freshness, rate, early refusal, the answer."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from damaskbay.adapters.http1.server import Arrival
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import Access, ConfigSet, Route, WeightedRoute, Workspace
from damaskbay.core.call import Answer, CallContext, CallResult, Headers, Request
from damaskbay.core.http_status import FIRST_SERVER_ERROR, status_of
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.pressure import EdgePressure
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.quota.token_pool import is_pooled
from damaskbay.helpers.http_headers import HeaderSieve
from damaskbay.helpers.keys import digest_of
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import (
    NOT_READY_RETRY_S,
    REVOKE_MARGIN_S,
    UNPROVEN_RETRY_S,
)
from damaskbay.mesh.dialect import Dialect
from damaskbay.mesh.dispatch import Dispatcher
from damaskbay.mesh.running import RunningCall, RunningCalls
from damaskbay.mesh.tokens import PooledTokens
from damaskbay.mesh.weights import WeightedChoice

_LOGGER = logging.getLogger(__name__)

SAMPLED_ANSWERS = 50
"""One whole answer in so many gets a log line; each failure asks for one."""
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class IngressOptions:
    """
    What serving goes by; times in seconds.

    A keyed request is served only while the configuration was proven the newest
    within `proof_valid_s`. `caller_name` is what servers are told of the origin.
    """

    caller_name: str
    proof_valid_s: float


@dataclass(frozen=True, slots=True)
class IngressParts:
    """What an ingress works with."""

    configuration: Configuration
    dispatcher: Dispatcher
    shares: DemandShares
    tokens: PooledTokens
    pressure: EdgePressure
    running: RunningCalls
    telemetry: BoundTelemetry
    dialect: Dialect
    rng: Random
    clock: Callable[[], float]


class Ingress:
    """Serves the requests of one machine's callers and of its own server."""

    def __init__(self, options: IngressOptions, parts: IngressParts) -> None:
        self._options = options
        self._parts = parts
        self._weights = WeightedChoice(parts.rng)
        self._answers = 0
        dialect = parts.dialect
        self._request_id = dialect.request_id.lower()
        self._key = dialect.key.lower()
        self._deadline_ms = dialect.deadline_ms.lower()
        self._sieve = HeaderSieve(
            dropped=dialect.set_by_us
            | {"host", "content-length", "expect", self._request_id},
            read=frozenset({self._request_id, self._key, self._deadline_ms}),
        )
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
        passed_on, values = self._sieve.sift(request.headers)
        request_id = values.get(self._request_id)
        config, routes = parts.configuration.config, parts.configuration.routes
        if config is None or routes is None:
            refusal = not_run(Reason.NO_CONFIGURATION, retry_after_s=NOT_READY_RETRY_S)
            return self._turned_away(refusal, request_id, None, "")
        route = routes.match(request.host, request.target)
        if route is None:
            return self._turned_away(not_run(Reason.NO_ROUTE), request_id, None, "")
        workspace = self._workspace(config, route, values.get(self._key))
        if isinstance(workspace, Refusal):
            return self._turned_away(workspace, request_id, route, "")
        if workspace is not None:
            over = await self._over_rate(workspace, arrival.arrived_at)
            if over is not None:
                return self._turned_away(over, request_id, route, workspace.name)
        caller = None if workspace else parts.running.caller_of(request_id)
        limit_s = _limit_s(route, values.get(self._deadline_ms))
        deadline = arrival.arrived_at + limit_s
        context = self._context(config, route, workspace, deadline, request_id, caller)
        early = self._early_refusal(context, workspace)
        if early is not None:
            return self._turned_away(early, request_id, route, context.workspace)
        forwarded = self._forwarded(request, passed_on, workspace)
        result = await parts.dispatcher.dispatch(context, route, forwarded)
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
        self, config: ConfigSet, route: Route, secret: str | None
    ) -> Workspace | Refusal | None:
        """Return whose request it is, None on a route that is open to all."""
        if route.access is Access.OPEN:
            return None
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
        return config.workspaces_by_name[key.workspace]

    async def _over_rate(self, workspace: Workspace, now: float) -> Refusal | None:
        """Spend one token of the workspace's rate, or refuse."""
        if is_pooled(workspace):
            return await self._parts.tokens.spend(workspace)
        return self._parts.shares.spend(workspace, now)

    def _turned_away(
        self,
        refusal: Refusal,
        request_id: str | None,
        route: Route | None,
        workspace: str,
    ) -> Answer:
        """Count and answer a request that was sent to no server."""
        self._parts.telemetry.turned_away(workspace, refusal)
        return self._refusal_answer(refusal, request_id, route)

    def _context(
        self,
        config: ConfigSet,
        route: Route,
        workspace: Workspace | None,
        deadline: float,
        request_id: str | None,
        caller: RunningCall | None,
    ) -> CallContext:
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
            deadline=deadline,
            route=route.name,
            pool=self._weights.pool(route),
            idempotent=route.idempotent,
            depth=depth,
            under_resent=under_resent,
            request_id=request_id,
            config_version=config.version,
            objective_s=route.objective_s if isinstance(route, WeightedRoute) else None,
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

    def _forwarded(
        self, request: Request, headers: Headers, workspace: Workspace | None
    ) -> Request:
        """Return the request as servers may see it: without the key."""
        dialect = self._parts.dialect
        own: Headers = ((dialect.caller, self._options.caller_name),)
        if workspace is not None:
            own = (*own, (dialect.workspace, workspace.name))
        return Request(
            request.method, request.host, request.target, (*headers, *own), request.body
        )

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


def _limit_s(route: Route, said_ms: str | None) -> float:
    """Return how long a request may take: the route's limit or the caller's."""
    if said_ms is None or not said_ms.isdigit():
        return route.deadline_s
    return min(route.deadline_s, int(said_ms) / 1000.0)
