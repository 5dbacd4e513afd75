"""Serves callers: routing, API keys, proof age, rate limits, refusals, dispatch."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from damaskbay.adapters.http1.server import ReceivedRequest
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import ConfigSet, Route, WeightedRoute, Workspace
from damaskbay.core.call import CallContext, CallResult, Headers, Request, Response
from damaskbay.core.durations import DurationEstimates
from damaskbay.core.http_status import FIRST_SERVER_ERROR, is_success
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.memory_account import Holding, MemoryAccount
from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.quota.shares import DemandShares
from damaskbay.core.quota.token_pool import is_pooled
from damaskbay.core.response_sizes import ResponseSizes
from damaskbay.core.trees.admission import TreeAdmission
from damaskbay.core.trees.reports import TreeReports
from damaskbay.helpers.http_headers import HeaderFilter
from damaskbay.mesh.configuration import Configuration
from damaskbay.mesh.const import NOT_READY_RETRY_S
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.dispatch import Dispatcher
from damaskbay.mesh.identification import Identification
from damaskbay.mesh.processor_gate import ProcessorGate
from damaskbay.mesh.refusals import RefusalResponses, refusal_of_failed_run
from damaskbay.mesh.running import RunningCall, RunningCalls
from damaskbay.mesh.tokens import PooledTokens
from damaskbay.mesh.weights import WeightedChoice

_LOGGER = logging.getLogger(__name__)

RESPONSES_PER_LOG_LINE = 50
"""One in this many successful responses is logged; every failed one is."""


@dataclass(frozen=True, slots=True)
class IngressOptions:
    """
    Options of Ingress; times in seconds.

    `proof_valid_s` is that of Identification. `caller_name` is the name of the calling
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
    trees: TreeReports
    admission: TreeAdmission
    processor: ProcessorGate
    running: RunningCalls
    telemetry: BoundTelemetry
    memory: MemoryAccount
    dialect: HeaderNames
    lifetime: Lifetime
    rng: Random
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class _Incoming:
    """
    A request with what is known of it.

    `headers` are those to forward, `caller` is the running call that made it, None if
    it isn't nested.
    """

    arrival: ReceivedRequest
    request_id: str | None
    headers: Headers
    config: ConfigSet
    route: Route
    workspace: Workspace | None
    caller: RunningCall | None
    timeout_s: float

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty on an open route."""
        return self.workspace.name if self.workspace is not None else ""


class Ingress:
    """Serves the requests of local callers and of the local backend server."""

    def __init__(self, options: IngressOptions, parts: IngressParts) -> None:
        self._options = options
        self._parts = parts
        self._weights = WeightedChoice(parts.rng)
        self._response_count = 0
        dialect = parts.dialect
        self.identification = Identification(parts.configuration, options.proof_valid_s)
        self.refusals = RefusalResponses(
            parts.configuration, parts.telemetry, dialect, parts.clock
        )
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
        self.identification.proof_valid_s = valid_s

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
        parts, refuse = self._parts, self.refusals.before_dispatch
        request = arrival.request
        headers, values = self._sieve.split(request.headers)
        request_id = values.get(self._request_id)
        config, routes = parts.configuration.config, parts.configuration.routes
        if config is None or routes is None:
            refusal = not_run(Reason.NO_CONFIGURATION, retry_after_s=NOT_READY_RETRY_S)
            return refuse(refusal, request_id, None, "")
        route = routes.match(request.host, request.target)
        if route is None:
            return refuse(not_run(Reason.NO_ROUTE), request_id, None, "")
        key = values.get(self._key)
        workspace = self.identification.workspace(config, route, key, parts.clock())
        if isinstance(workspace, Refusal):
            return refuse(workspace, request_id, route, "")
        caller = None if workspace else parts.running.caller_of(request_id)
        timeout_s = timeout_of(route, values.get(self._deadline_ms))
        incoming = _Incoming(
            arrival, request_id, headers, config, route, workspace, caller, timeout_s
        )
        busy = self._refusal_while_stopping(route, timeout_s, caller)
        busy = busy or self._refusal_without_memory(route, caller)
        if busy is None and caller is None:
            busy = await self._wait_for_processor(incoming)
        if busy is not None:
            return refuse(busy, request_id, route, incoming.workspace_name)
        try:
            return await self._serve_begun(incoming)
        finally:
            if caller is None:
                parts.processor.leave()

    async def _wait_for_processor(self, incoming: _Incoming) -> Refusal | None:
        """Wait until a root call may begin; return a refusal if it may not."""
        processor, workspace = self._parts.processor, incoming.workspace
        if processor.guard.start_at_once(self._parts.clock()):
            return None
        weight = workspace.weight if workspace is not None else 1.0
        return await processor.wait(self._context(incoming, pool=""), weight)

    async def _serve_begun(self, incoming: _Incoming) -> Response:
        """Serve a call that may use the processor."""
        parts, refuse = self._parts, self.refusals.before_dispatch
        arrival, workspace = incoming.arrival, incoming.workspace
        route, request_id = incoming.route, incoming.request_id
        if workspace is not None:
            over_limit = await self._spend_token(workspace, arrival.arrived_at)
            if over_limit is not None:
                return refuse(over_limit, request_id, route, workspace.name)
            early = self._early_refusal(route, workspace)
            if early is not None:
                return refuse(early, request_id, route, workspace.name)
        context = self._context(incoming, self._weights.next_pool(route))
        forwarded = self._forwarded_request(incoming)
        try:
            with Holding(parts.memory) as holding:
                holding.set(self._sizes.expected_bytes(route.name))
                result = await self._dispatch(
                    context, route, forwarded, arrival.arrived_at
                )
        finally:
            if incoming.caller is None:
                took_s = parts.clock() - arrival.arrived_at
                parts.processor.guard.record_duration(took_s, incoming.timeout_s)
        self._record_result(context, result, parts.clock() - arrival.arrived_at)
        parts.trees.record_result(context, result, parts.clock())
        replaced = refusal_of_failed_run(result.result, route)
        if replaced is not None:
            result = replace(result, result=replaced)
        if incoming.caller is not None:
            parts.running.record_nested_end(incoming.caller, result, parts.clock())
        outcome = result.result
        if isinstance(outcome, Refusal):
            return self.refusals.response(outcome, request_id, route)
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

    def _context(self, incoming: _Incoming, pool: str) -> CallContext:
        workspace, caller = incoming.workspace, incoming.caller
        route, config = incoming.route, incoming.config
        rank = self._parts.configuration.ranks.rank(route, workspace)
        workspace_name, depth = incoming.workspace_name, 0
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
        deadline = incoming.arrival.arrived_at + incoming.timeout_s
        if caller is not None:
            # Nobody waits for what a nested call returns after its caller's deadline.
            deadline = min(deadline, caller.context.deadline)
        return CallContext(
            call_id="",
            workspace=workspace_name,
            priority_rank=rank,
            deadline=self._parts.lifetime.limit(deadline),
            route=route.name,
            pool=pool,
            idempotent=route.idempotent,
            depth=depth,
            is_nested_in_retry=is_nested_in_retry,
            request_id=incoming.request_id,
            config_version=config.version,
            objective_s=route.objective_s if isinstance(route, WeightedRoute) else None,
        )

    def _early_refusal(self, route: Route, workspace: Workspace) -> Refusal | None:
        """Return a refusal if a pool of the call's tree has no room for it."""
        parts = self._parts
        rank = parts.configuration.ranks.rank(route, workspace)
        found = parts.admission.refusal(
            route.name, rank, workspace.name, workspace.weight, parts.clock()
        )
        if found is None:
            return None
        parts.telemetry.record_tree_refusal(found.pool)
        return found.refusal

    def _forwarded_request(self, incoming: _Incoming) -> Request:
        """Return the request for backend servers, without the API key."""
        dialect, request = self._parts.dialect, incoming.arrival.request
        added: Headers = ((dialect.caller, self._options.caller_name),)
        if incoming.workspace is not None:
            added = (*added, (dialect.workspace, incoming.workspace.name))
        return Request(
            request.method,
            request.host,
            request.target,
            (*incoming.headers, *added),
            request.body,
        )


def timeout_of(route: Route, requested_ms: str | None) -> float:
    """Return the lower of the route's and the caller's timeout, in seconds."""
    if requested_ms is None or not (requested_ms.isascii() and requested_ms.isdigit()):
        return route.deadline_s
    return min(route.deadline_s, float(requested_ms) / 1000.0)
