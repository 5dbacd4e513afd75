"""Entry point of calls: authentication, routing, rate limits and dispatch."""

import math
import threading
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Protocol

from damaskbay.config.objects import Access, Route
from damaskbay.core.call import CallContext, CallResult
from damaskbay.core.durations import DurationEstimates
from damaskbay.core.edge import EdgeConcurrencyLimit
from damaskbay.core.freshness import refuse_unproven
from damaskbay.core.http_status import is_success
from damaskbay.core.identify import Credentials, RouteMatcher, identify_root
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run
from damaskbay.core.scrub import scrub
from damaskbay.daemon.calls import CallRegistry
from damaskbay.daemon.dispatch import (
    Dispatcher,
    OutgoingCall,
    explain_interruption,
)
from damaskbay.daemon.once import AtMostOnceService
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.ports.caller import IncomingCall, IssuedIds, ServedCall
from damaskbay.ports.fleet import ConfigSource, ConfigState, RateGate
from damaskbay.ports.metrics import CallObserver, EndedCall

NEXT_DAEMON_S = 1.0
"""Time for the next daemon to start after a leaving one has ended, seconds."""


class RouteSource(Protocol):
    """Source of the route table of a configuration set."""

    def matcher(self, state: ConfigState) -> RouteMatcher:
        """Return the route table of a configuration set."""
        ...


@dataclass(frozen=True, slots=True)
class IngressParts:
    """Services that the ingress depends on."""

    config: ConfigSource
    routes: RouteSource
    rates: RateGate
    dispatcher: Dispatcher
    calls: CallRegistry
    once: AtMostOnceService
    observer: CallObserver
    room: EdgeConcurrencyLimit
    lifetime: Lifetime


@dataclass(frozen=True, slots=True)
class _IngressResult:
    """A result with the context, route and configuration version, if determined."""

    result: CallResult
    context: CallContext | None = None
    route: str = ""
    set_version: int = 0


class Ingress:
    """Serves callers and the local backend server (port: CallerService)."""

    def __init__(
        self,
        parts: IngressParts,
        *,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._parts = parts
        self._clock = clock
        self._wall_clock = wall_clock
        self._lock = threading.Lock()
        self._running: set[Cancellation] = set()
        self._durations = DurationEstimates()
        self._draining = False
        self._interrupted = False

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return len(self._running)

    def drain(self) -> None:
        """Refuse new root calls; nested calls of running calls are still served."""
        self._draining = True

    def interrupt(self) -> None:
        """End the running calls; their callers get a refusal."""
        self._interrupted = True
        with self._lock:
            running = tuple(self._running)
        for cancellation in running:
            cancellation.cancel()

    def issue_request_ids(self, count: int) -> IssuedIds | Refusal:
        """Issue request ids for calls that must run at most once, until the end."""
        now, lifetime = self._clock(), self._parts.lifetime
        if lifetime.announced(now):
            return self._refuse_leaving(now, own_calls=0)
        issued = self._parts.once.issue(count)
        left_s = lifetime.limit(math.inf) - now
        return replace(issued, valid_s=min(issued.valid_s, left_s))

    def serve(self, call: IncomingCall, cancellation: Cancellation) -> ServedCall:
        """Serve one call and return its result."""
        started_at = self._clock()
        call_id = uuid.uuid4().hex
        with self._counted_in_flight(cancellation):
            if call.call_token is None:
                served = self._serve_root(call, call_id, cancellation)
            else:
                served = self._serve_nested(call, cancellation)
        took_s = self._clock() - started_at
        result = served.result
        if self._interrupted:
            result = explain_interruption(result)
        if served.context is None and call.request_id is not None:
            result = _with_unknown_outcome(result)
        if served.context is not None:
            call_id = served.context.call_id
        self._parts.observer.call_ended(
            EndedCall(
                call_id,
                result,
                took_s=took_s,
                context=served.context,
                route=served.route,
                set_version=served.set_version,
            )
        )
        return ServedCall(call_id, result)

    @contextmanager
    def _counted_in_flight(self, cancellation: Cancellation) -> Iterator[None]:
        with self._lock:
            self._running.add(cancellation)
        try:
            yield
        finally:
            with self._lock:
                self._running.discard(cancellation)

    def _serve_root(
        self, call: IncomingCall, call_id: str, cancellation: Cancellation
    ) -> _IngressResult:
        now = self._clock()
        if self._draining:
            return _IngressResult(refused_result(self._refuse_leaving(now)))
        state = self._parts.config.state()
        if state is None:
            refusal = not_run(Reason.NO_CONFIGURATION, retry_after_s=1.0)
            return _IngressResult(refused_result(refusal))
        version = state.config.version
        route = self._match_route(state, call)
        if isinstance(route, Refusal):
            return _IngressResult(refused_result(route), set_version=version)
        context = self._root_context(state, route, call, call_id, now)
        if isinstance(context, Refusal):
            return _IngressResult(refused_result(context), None, route.name, version)
        admission_refusal = self._admit_root(state, route, context, now)
        if admission_refusal is not None:
            result = self._refuse(call, context, admission_refusal)
        else:
            result = self._send(call, context, route, cancellation)
        return _IngressResult(result, context, route.name, version)

    def _refuse(
        self, call: IncomingCall, context: CallContext, refusal: Refusal
    ) -> CallResult:
        """Return the refusal of a call; with a request id, it covers all attempts."""
        if context.request_id is None or context.idempotent:
            return refused_result(refusal)
        request = scrub(call.request, call.key)
        if isinstance(request, Refusal):
            return refused_result(request)
        return self._parts.once.refuse(context, request, refusal)

    def _match_route(self, state: ConfigState, call: IncomingCall) -> Route | Refusal:
        request = call.request
        path = request.target.partition("?")[0]
        matcher = self._parts.routes.matcher(state)
        route = matcher.match(request.host, request.method, path)
        return route if route is not None else not_run(Reason.NO_ROUTE)

    def _root_context(
        self,
        state: ConfigState,
        route: Route,
        call: IncomingCall,
        call_id: str,
        now: float,
    ) -> CallContext | Refusal:
        credentials = Credentials(
            call.key, call.deadline_s, call.request_id, call.idempotent
        )
        return identify_root(
            state.config,
            route,
            credentials,
            call_id=call_id,
            now=now,
            wall_now=self._wall_clock(),
        )

    def _admit_root(
        self, state: ConfigState, route: Route, context: CallContext, now: float
    ) -> Refusal | None:
        if context.deadline <= now:
            return not_run(Reason.DEADLINE_PASSED)
        refusal = self._refuse_outlasting(context, now)
        if refusal is not None:
            return refusal
        refusal = refuse_unproven(route, state, now)
        if refusal is not None:
            return refusal
        refusal = self._parts.room.refuse(self.in_flight - 1, context.priority_rank)
        if refusal is not None:
            return refusal
        if route.access is Access.OPEN and not context.workspace and not route.limits:
            return None
        return self._parts.rates.acquire(
            context.workspace, route.limits, deadline=context.deadline, now=now
        )

    def _refuse_outlasting(self, context: CallContext, now: float) -> Refusal | None:
        """
        Return a refusal if the call won't end before this daemon does.

        Once callers know of the stop, its deadline counts: an estimate may be wrong.
        """
        lifetime = self._parts.lifetime
        expected_s = context.deadline - now
        if not lifetime.announced(now):
            with self._lock:
                estimate_s = self._durations.expected_s(context.route, now) or 0.0
            expected_s = min(expected_s, estimate_s)
        if not lifetime.outlasts(expected_s, now):
            return None
        return self._refuse_leaving(now)

    def _refuse_leaving(self, now: float, *, own_calls: int = 1) -> Refusal:
        """
        Return a refusal that says when the next daemon may be here.

        `own_calls` is the number of calls in flight that it ends.
        """
        lifetime = self._parts.lifetime
        has_calls = self.in_flight > own_calls or lifetime.peer_calls > 0
        left_s = lifetime.expected_left_s(now, has_calls=has_calls)
        return not_run(Reason.SHUTTING_DOWN, retry_after_s=left_s + NEXT_DAEMON_S)

    def _send(
        self,
        call: IncomingCall,
        context: CallContext,
        route: Route,
        cancellation: Cancellation,
    ) -> CallResult:
        request = scrub(call.request, call.key)
        if isinstance(request, Refusal):
            return refused_result(request)
        deadline = self._parts.lifetime.limit(context.deadline)
        context = replace(context, deadline=deadline)
        outgoing = OutgoingCall(context, request, cancellation, leaf=not route.calls)
        with self._lock:
            now = self._clock()
            expected_s = self._durations.expected_s(route.name, now) or 0.0
            self._parts.lifetime.expect_end(min(deadline, now + expected_s))
            started = self._durations.start(route.name, now)
        completed = False
        try:
            result = self._dispatch(outgoing)
            completed = is_success(result.result)
        finally:
            with self._lock:
                self._durations.end(started, self._clock(), completed=completed)
        return result

    def _dispatch(self, outgoing: OutgoingCall) -> CallResult:
        context = outgoing.context
        if context.request_id is not None and not context.idempotent:
            return self._parts.once.run(outgoing)
        return self._parts.dispatcher.dispatch(outgoing)

    def _serve_nested(
        self, call: IncomingCall, cancellation: Cancellation
    ) -> _IngressResult:
        token = call.call_token or ""
        state = self._parts.config.state()
        if state is None:
            return _IngressResult(refused_result(not_run(Reason.NO_CONFIGURATION)))
        version = state.config.version
        route = self._match_route(state, call)
        if isinstance(route, Refusal):
            return _IngressResult(refused_result(route), set_version=version)
        nested = self._parts.calls.begin_nested(token, route, cancellation)
        if isinstance(nested, Refusal):
            return _IngressResult(refused_result(nested), None, route.name, version)
        context = _narrow_context(nested.context, call, self._clock())
        result = refused_result(not_run(Reason.INTERNAL_ERROR))
        try:
            result = self._send(call, context, route, cancellation)
        finally:
            self._parts.calls.end_nested(nested, result.retry_tokens_left)
        return _IngressResult(result, context, route.name, version)


def _narrow_context(
    context: CallContext, call: IncomingCall, now: float
) -> CallContext:
    """Apply a nested call's options, which can only narrow its inherited context."""
    deadline = context.deadline
    if call.deadline_s is not None:
        deadline = min(deadline, now + call.deadline_s)
    return replace(
        context,
        deadline=deadline,
        idempotent=context.idempotent and call.idempotent is not False,
        request_id=call.request_id,
    )


def _with_unknown_outcome(result: CallResult) -> CallResult:
    """
    Change a refusal's outcome to `unknown`.

    Earlier attempts with the same request id may have run.
    """
    refusal = result.result
    if not isinstance(refusal, Refusal):
        return result
    return replace(result, result=replace(refusal, outcome=Outcome.UNKNOWN))


def refused_result(refusal: Refusal) -> CallResult:
    """Return the result of a call that is refused before it is sent."""
    return CallResult(refusal, attempts=0)
