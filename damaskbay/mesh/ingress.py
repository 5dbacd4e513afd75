"""Serves callers: routing, API keys, proof age, rate limits, refusals, dispatch."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from damaskbay.adapters.http1.server import ReceivedRequest
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import Access, ConfigSet, Route, WeightedRoute, Workspace
from damaskbay.core.call import CallContext, CallResult, Headers, Request, Response
from damaskbay.core.durations import DurationEstimates
from damaskbay.core.http_status import FIRST_SERVER_ERROR, is_success, status_of
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.memory_account import Holding, MemoryAccount
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.pressure import EdgeLoadShedder
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.quota.token_pool import is_pooled
from damaskbay.core.response_sizes import ResponseSizes
from damaskbay.helpers.http_headers import HeaderFilter
from damaskbay.helpers.keys import digest_of
from damaskbay.helpers.logs import is_suppressed
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import (
    NOT_READY_RETRY_S,
    REVOKE_MARGIN_S,
    UNPROVEN_RETRY_S,
)
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.dispatch import Dispatcher
from damaskbay.mesh.running import RunningCall, RunningCalls
from damaskbay.mesh.tokens import PooledTokens
from damaskbay.mesh.weights import WeightedChoice

_LOGGER = logging.getLogger(__name__)

_REFUSED = "ingress: request refused."

RESPONSES_PER_LOG_LINE = 50
"""One in this many successful responses is logged; every failed one is."""

SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class IngressOptions:
    """
    Options of Ingress; times in seconds.

    A request with an API key is served only if the configuration was proven to be
    the newest within `proof_valid_s`. `caller_name` is the name of the calling
    service that is sent to backend servers.
    """

    caller_name: str
    proof_valid_s: float


@dataclass(frozen=True, slots=True)
class IngressParts:
    """Dependencies of Ingress."""

    configuration: Configuration
    dispatcher: Dispatcher
    shares: DemandShares
    tokens: PooledTokens
    pressure: EdgeLoadShedder
    running: RunningCalls
    telemetry: BoundTelemetry
    memory: MemoryAccount
    dialect: HeaderNames
    lifetime: Lifetime
    rng: Random
    clock: Callable[[], float]


class Ingress:
    """Serves the requests of local callers and of the local backend server."""

    def __init__(self, options: IngressOptions, parts: IngressParts) -> None:
        self._options = options
        self._parts = parts
        self._weights = WeightedChoice(parts.rng)
        self._response_count = 0
        dialect = parts.dialect
        self._request_id = dialect.request_id.lower()
        self._key = dialect.key.lower()
        self._deadline_ms = dialect.deadline_ms.lower()
        self._sieve = HeaderFilter(
            dropped=dialect.reserved_headers
            | {"host", "content-length", "expect", self._request_id},
            read=frozenset({self._request_id, self._key, self._deadline_ms}),
        )
        self._durations = DurationEstimates()
        self._sizes = ResponseSizes()
        self._late_in_flight = 0
        self.in_flight = 0

    def set_proof_valid(self, valid_s: float) -> None:
        """Change the maximum age of the configuration proof, in seconds."""
        self._options = replace(self._options, proof_valid_s=valid_s)

    async def serve(self, arrival: ReceivedRequest) -> Response:
        """Serve one request and return its response."""
        late = self._parts.lifetime.announced(arrival.arrived_at)
        self.in_flight += 1
        self._late_in_flight += late
        try:
            return await self._serve(arrival)
        except asyncio.CancelledError:
            self._log_unanswered(arrival)
            raise
        finally:
            self.in_flight -= 1
            self._late_in_flight -= late

    async def _serve(self, arrival: ReceivedRequest) -> Response:
        parts = self._parts
        request = arrival.request
        forwarded_headers, values = self._sieve.split(request.headers)
        request_id = values.get(self._request_id)
        config, routes = parts.configuration.config, parts.configuration.routes
        if config is None or routes is None:
            refusal = not_run(Reason.NO_CONFIGURATION, retry_after_s=NOT_READY_RETRY_S)
            return self._refuse(refusal, request_id, None, "")
        route = routes.match(request.host, request.target)
        if route is None:
            return self._refuse(not_run(Reason.NO_ROUTE), request_id, None, "")
        workspace = self._workspace(config, route, values.get(self._key))
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request_id, route, "")
        caller = None if workspace else parts.running.caller_of(request_id)
        timeout_s = _timeout_s(route, values.get(self._deadline_ms))
        busy = self._refusal_while_stopping(route, timeout_s, caller)
        busy = busy or self._refusal_without_memory(route, caller)
        if busy is not None:
            name = workspace.name if workspace is not None else ""
            return self._refuse(busy, request_id, route, name)
        if workspace is not None:
            over_limit = await self._spend_token(workspace, arrival.arrived_at)
            if over_limit is not None:
                return self._refuse(over_limit, request_id, route, workspace.name)
            early = self._early_refusal(route, workspace)
            if early is not None:
                return self._refuse(early, request_id, route, workspace.name)
        deadline = parts.lifetime.limit(arrival.arrived_at + timeout_s)
        context = self._context(config, route, workspace, deadline, request_id, caller)
        forwarded = self._forwarded_request(request, forwarded_headers, workspace)
        with Holding(parts.memory) as holding:
            holding.set(self._sizes.expected_bytes(route.name))
            result = await self._dispatch(context, route, forwarded, arrival.arrived_at)
        self._record_result(context, result, parts.clock() - arrival.arrived_at)
        if caller is not None:
            parts.running.record_nested_end(caller, result, parts.clock())
        else:
            parts.pressure.record_level(
                route.name, result.admission_level, parts.clock()
            )
        outcome = result.result
        if isinstance(outcome, Refusal):
            return self._refusal_response(outcome, request_id, route)
        self._sizes.record(route.name, len(outcome.body))
        headers = outcome.headers
        if request_id is not None:
            headers = (*headers, (parts.dialect.request_id, request_id))
        return Response(outcome.status, headers, outcome.body)

    async def _dispatch(
        self, context: CallContext, route: Route, request: Request, arrived_at: float
    ) -> CallResult:
        """Send a call and record how long it takes from its arrival."""
        parts, durations = self._parts, self._durations
        expected_s = durations.expected_s(route.name, parts.clock()) or 0.0
        parts.lifetime.expect_end(min(context.deadline, arrived_at + expected_s))
        call = durations.start(route.name, arrived_at)
        completed = False
        try:
            result = await parts.dispatcher.dispatch(
                context, route, request, expected_s
            )
            completed = is_success(result.result)
        finally:
            durations.end(call, parts.clock(), completed=completed)
        return result

    def _log_unanswered(self, arrival: ReceivedRequest) -> None:
        """Log a request whose caller disconnected or that the daemon's end cuts."""
        lifetime, now = self._parts.lifetime, self._parts.clock()
        _, values = self._sieve.split(arrival.request.headers)
        _LOGGER.info(
            "ingress: request ends without a response.",
            extra={
                "request_id": values.get(self._request_id),
                "why": "daemon ends" if lifetime.ended else "caller left",
                "read_after_stop_s": lifetime.since_stop_s(arrival.arrived_at),
                "took_s": round(now - arrival.arrived_at, 4),
            },
        )

    def _record_result(
        self, context: CallContext, result: CallResult, took_s: float
    ) -> None:
        """Record a dispatched call in metrics; log failures and some successes."""
        self._parts.telemetry.call_ended(context, result, took_s=took_s)
        outcome = result.result
        if not isinstance(outcome, Response):
            return
        failed = outcome.status >= FIRST_SERVER_ERROR
        self._response_count += 1
        if not failed and self._response_count % RESPONSES_PER_LOG_LINE:
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
        """Return the workspace of the API key, a refusal, or None on an open route."""
        if route.access is Access.OPEN:
            return None
        if secret is None:
            return not_run(Reason.KEY_MISSING)
        age_s = self._parts.configuration.proof_age_s(self._parts.clock())
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

    def _refusal_while_stopping(
        self, route: Route, timeout_s: float, caller: RunningCall | None
    ) -> Refusal | None:
        """
        Return a refusal if a stopping daemon takes no such request any more.

        Until callers know of the stop, it takes what is expected to end before the
        daemon does. From then on it takes root calls only while it has to stay for
        earlier ones, and only if their time limit ends before the daemon does: an
        estimate may be wrong, and a refused call can be repeated elsewhere or later.
        Nested calls are taken as long as possible, as otherwise the call that made them
        fails.
        """
        lifetime, now = self._parts.lifetime, self._parts.clock()
        if lifetime.plan is None:
            return None
        left_s = lifetime.plan.work_until - now
        if caller is not None and left_s > 0:
            return None
        stays = self.in_flight > self._late_in_flight or lifetime.peer_calls > 0
        expected_s = timeout_s
        if not lifetime.announced(now):
            estimate_s = self._durations.expected_s(route.name, now) or 0.0
            expected_s = min(timeout_s, estimate_s)
        if stays and not lifetime.outlasts(expected_s, now):
            return None
        # The next daemon at this address starts after the last call of this one.
        has_calls = self.in_flight > 1 or lifetime.peer_calls > 0
        wait_s = lifetime.expected_left_s(now, has_calls=has_calls)
        return not_run(
            Reason.SHUTTING_DOWN,
            retry_after_s=wait_s + NOT_READY_RETRY_S,
            detail=f"may take {expected_s:.3f} s, {left_s:.3f} s are left",
        )

    def _refusal_without_memory(
        self, route: Route, caller: RunningCall | None
    ) -> Refusal | None:
        """Return a refusal if there is no memory for the response of a request."""
        memory = self._parts.memory
        expected_bytes = self._sizes.expected_bytes(route.name)
        if memory.admits(expected_bytes, nested=caller is not None):
            return None
        return not_run(
            Reason.OVERLOADED,
            retry_after_s=NOT_READY_RETRY_S,
            detail=f"{memory.held_bytes} bytes are held",
        )

    async def _spend_token(self, workspace: Workspace, now: float) -> Refusal | None:
        """Spend a token of the workspace's rate limit, or return a refusal."""
        if is_pooled(workspace):
            return await self._parts.tokens.spend(workspace)
        return self._parts.shares.spend(workspace, now)

    def _refuse(
        self,
        refusal: Refusal,
        request_id: str | None,
        route: Route | None,
        workspace: str,
    ) -> Response:
        """Record a request that is refused before dispatch, and return its response."""
        self._parts.telemetry.record_refusal(workspace, refusal)
        return self._refusal_response(refusal, request_id, route)

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
        workspace_name, depth = (workspace.name if workspace is not None else ""), 0
        is_nested_in_retry = False
        if caller is not None:
            rank = caller.context.priority_rank
            workspace_name = caller.context.workspace
            depth = caller.context.depth + 1
            is_nested_in_retry = (
                caller.context.is_retry or caller.context.is_nested_in_retry
            )
        elif workspace is None:
            depth = 1
        return CallContext(
            call_id="",
            workspace=workspace_name,
            priority_rank=rank,
            deadline=deadline,
            route=route.name,
            pool=self._weights.next_pool(route),
            idempotent=route.idempotent,
            depth=depth,
            is_nested_in_retry=is_nested_in_retry,
            request_id=request_id,
            config_version=config.version,
            objective_s=route.objective_s if isinstance(route, WeightedRoute) else None,
        )

    def _early_refusal(self, route: Route, workspace: Workspace) -> Refusal | None:
        """Return a refusal if servers behind the route shed calls of this priority."""
        parts = self._parts
        rank = parts.configuration.ranks.rank(route, workspace)
        return parts.pressure.refusal(
            route.name, rank, workspace.name, workspace.weight, parts.clock()
        )

    def _forwarded_request(
        self, request: Request, headers: Headers, workspace: Workspace | None
    ) -> Request:
        """Return the request for backend servers, without the API key."""
        dialect = self._parts.dialect
        added: Headers = ((dialect.caller, self._options.caller_name),)
        if workspace is not None:
            added = (*added, (dialect.workspace, workspace.name))
        return Request(
            request.method,
            request.host,
            request.target,
            (*headers, *added),
            request.body,
        )

    def _refusal_response(
        self, refusal: Refusal, request_id: str | None, route: Route | None
    ) -> Response:
        status = status_of(refusal)
        if refusal.not_run and status >= FIRST_SERVER_ERROR:
            status = SERVICE_UNAVAILABLE
        elif not refusal.not_run and status == SERVICE_UNAVAILABLE:
            status = 502
        if not is_suppressed(_LOGGER, _REFUSED, refusal.reason.value):
            self._log_refusal(refusal, request_id, route, status)
        headers: Headers = ()
        if refusal.retry_after_s is not None and refusal.not_run:
            value = f"{max(0.001, refusal.retry_after_s):.3f}"
            headers = ((self._parts.dialect.retry_after, value),)
        if request_id is not None:
            headers = (*headers, (self._parts.dialect.request_id, request_id))
        return Response(status, headers, b"")

    def _log_refusal(
        self, refusal: Refusal, request_id: str | None, route: Route | None, status: int
    ) -> None:
        configuration = self._parts.configuration
        _LOGGER.info(
            _REFUSED,
            extra={
                "request_id": request_id,
                "route": route.name if route is not None else None,
                "version": configuration.version,
                "proof_age_s": configuration.proof_age_s(self._parts.clock()),
                "outcome": refusal.outcome.value,
                "why": refusal.reason.value,
                "detail": refusal.detail,
                "status": status,
            },
        )


def _timeout_s(route: Route, requested_ms: str | None) -> float:
    """Return the lower of the route's and the caller's timeout, in seconds."""
    if requested_ms is None or not requested_ms.isdigit():
        return route.deadline_s
    return min(route.deadline_s, int(requested_ms) / 1000.0)
