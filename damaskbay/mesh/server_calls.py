"""Sends calls to the local backend server and reads what becomes of them."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from damaskbay.adapters.http1.client import (
    NOT_SENT_PROBLEMS,
    HttpClient,
    HttpFailure,
    HttpProblem,
)
from damaskbay.core.call import CallContext, Headers, Request, Response
from damaskbay.core.fatal_calls import FatalCalls
from damaskbay.core.http_status import is_success
from damaskbay.core.outcome import Outcome, Reason, Refusal, not_run, unknown
from damaskbay.core.retry.repeats import ServerRetryBudget
from damaskbay.helpers.http_headers import HeaderFilter
from damaskbay.mesh.const import (
    NOT_READY_RETRY_S,
    SERVER_REPLY_GRACE_S,
    UNREACHABLE_BACKOFF_S,
)
from damaskbay.mesh.dialect import HeaderNames
from damaskbay.mesh.gate import Gate
from damaskbay.mesh.local_server import LocalServer, ServerStart
from damaskbay.mesh.server_ends import ServerEnds
from damaskbay.mesh.server_notices import ServerNotices

_LOGGER = logging.getLogger(__name__)

FIRST_REDIRECT = 300


@dataclass(frozen=True, slots=True)
class ServerCallsParts:
    """
    Dependencies of ServerCalls.

    `on_capacity_change` is called when the server names another limit, `on_failure`
    when a request gets no response.
    """

    local: LocalServer
    gate: Gate
    client: HttpClient
    dialect: HeaderNames
    repeats: ServerRetryBudget
    fatal_calls: FatalCalls
    server_ends: ServerEnds
    on_capacity_change: Callable[[], None]
    on_failure: Callable[[HttpProblem], None]
    clock: Callable[[], float]


class ServerCalls:
    """
    Sends admitted calls to the local server.

    `unreachable_until` is the monotonic time until which the server gets no calls,
    since it refused a connection.
    """

    def __init__(self, parts: ServerCallsParts) -> None:
        self._parts = parts
        self.unreachable_until = 0.0
        self._not_run_header = parts.dialect.not_run.lower()
        self._stamp_header = parts.dialect.stamp.lower()
        self._notices = ServerNotices(
            parts.dialect, parts.local, parts.gate, parts.on_capacity_change
        )
        self._sieve = HeaderFilter(
            dropped=frozenset({parts.dialect.request_id.lower(), "content-length"}),
            read=frozenset({self._not_run_header, self._stamp_header})
            | self._notices.headers,
        )

    def refusal_at_send(self, context: CallContext, now: float) -> Refusal | None:
        """Return a refusal if the server may not be sent an admitted call any more."""
        if now >= context.deadline:
            return not_run(Reason.DEADLINE_PASSED)
        if not self._parts.local.may_send(now):
            return not_run(
                Reason.BACKEND_SERVER_DRAINING, retry_after_s=NOT_READY_RETRY_S
            )
        if not self._parts.gate.cold_limit.allows_write(now):
            return not_run(
                Reason.OVERLOADED,
                retry_after_s=NOT_READY_RETRY_S,
                detail="server is cold",
            )
        return None

    async def send(
        self, context: CallContext, request: Request, on_send: Callable[[], None]
    ) -> Response | Refusal:
        """
        Send once; repeat only if a reused connection turned out to be closed.

        The server may have received the request before it closed, so that the repeat
        needs the retry budget and a server that still takes calls. `on_send` is called
        before each write of the request.
        """
        start = self._parts.local.start
        outcome = await self._send_once(context, request, context.idempotent, on_send)
        if (
            isinstance(outcome, HttpFailure)
            and outcome.problem is HttpProblem.STALE
            and context.idempotent
            and self._may_repeat(context)
        ):
            return await self._send_again(context, request, outcome, start, on_send)
        return self._to_result(context, request, outcome, start)

    async def _send_again(
        self,
        context: CallContext,
        request: Request,
        first: HttpFailure,
        start: ServerStart,
        on_send: Callable[[], None],
    ) -> Response | Refusal:
        """
        Repeat a send on a new connection.

        The first send may have run, whatever becomes of the repeat.
        """
        parts = self._parts
        parts.server_ends.record_lost(request)
        parts.gate.record_extra_start(parts.clock())
        outcome = await self._send_once(context, request, False, on_send)
        if isinstance(outcome, HttpFailure) and outcome.problem in NOT_SENT_PROBLEMS:
            parts.repeats.give_back()
            return self._to_result(context, request, first, start)
        result = self._to_result(context, request, outcome, start)
        if isinstance(result, Refusal) and result.not_run:
            return replace(result, outcome=Outcome.UNKNOWN, retry_after_s=None)
        return result

    def _to_result(
        self,
        context: CallContext,
        request: Request,
        outcome: Response | HttpFailure,
        start: ServerStart,
    ) -> Response | Refusal:
        """Return what the outcome of the last send means for the call."""
        if isinstance(outcome, HttpFailure):
            if outcome.problem is HttpProblem.TIMED_OUT:
                return unknown(Reason.DEADLINE_PASSED)
            if outcome.problem is HttpProblem.EXPIRED:
                return self._refusal_of_expired(context)
            if outcome.problem in (HttpProblem.LOST, HttpProblem.STALE):
                self._parts.server_ends.record_lost(request)
            return self._handle_failure(context, outcome)
        result = self._classify_response(context, outcome, start)
        if is_success(result):
            self._parts.fatal_calls.record_served(request, self._parts.clock())
        return result

    def _may_repeat(self, context: CallContext) -> bool:
        """Return whether the server may get a call again; spend a retry for it."""
        parts = self._parts
        now = parts.clock()
        if self.refusal_at_send(context, now) is not None:
            return False
        return parts.repeats.spend(context.priority_rank, now)

    def _refusal_of_expired(self, context: CallContext) -> Refusal:
        """Return why a call was not sent once there was a connection."""
        refusal = self.refusal_at_send(context, self._parts.clock())
        if refusal is not None:
            return refusal
        # The server has been started again in the meantime.
        return not_run(
            Reason.BACKEND_SERVER_DRAINING,
            retry_after_s=NOT_READY_RETRY_S,
            detail="server has been started again",
        )

    async def _send_once(
        self,
        context: CallContext,
        request: Request,
        reuse_connection: bool,
        on_send: Callable[[], None],
    ) -> Response | HttpFailure:
        parts = self._parts
        id_headers: Headers = ()
        if context.request_id is not None:
            id_headers = ((parts.dialect.request_id, context.request_id),)

        def forward() -> Request | None:
            """
            Return the request with the time that is left once it can be sent.

            Connecting takes a while, after which it may be too late to send.
            """
            now = parts.clock()
            if self.refusal_at_send(context, now) is not None:
                return None
            left_ms = math.floor((context.deadline - now) * 1000.0)
            headers: Headers = (
                *request.headers,
                *id_headers,
                (parts.dialect.deadline_ms, str(max(1, left_ms))),
                (parts.dialect.expected_server, parts.local.server),
            )
            on_send()
            parts.gate.cold_limit.record_write(now)
            return Request(
                request.method, request.host, request.target, headers, request.body
            )

        left_s = context.deadline - parts.clock()
        outcome = await parts.client.send(
            forward,
            echo=context.request_id,
            fresh=not reuse_connection,
            timeout_s=max(0.0, left_s) + SERVER_REPLY_GRACE_S,
        )
        if isinstance(outcome, HttpFailure):
            parts.on_failure(outcome.problem)
        return outcome

    def _handle_failure(self, context: CallContext, failure: HttpFailure) -> Refusal:
        detail = f"{failure.problem.value}: {failure.detail}"
        _LOGGER.warning(
            "target: server gave no answer.",
            extra={
                "request_id": context.request_id,
                "route": context.route,
                "why": failure.problem.value,
                "detail": failure.detail,
                "server": self._parts.local.server,
            },
        )
        if failure.problem is HttpProblem.NOT_SENT:
            self.unreachable_until = self._parts.clock() + UNREACHABLE_BACKOFF_S
        if failure.problem in NOT_SENT_PROBLEMS:
            return not_run(
                Reason.BACKEND_SERVER_FAILED,
                retry_after_s=NOT_READY_RETRY_S,
                detail=detail,
            )
        if failure.problem is HttpProblem.GARBLED:
            return unknown(Reason.ANSWER_INCOMPLETE, detail=detail)
        return unknown(Reason.BACKEND_SERVER_FAILED, detail=detail)

    def _classify_response(
        self, context: CallContext, response: Response, start: ServerStart
    ) -> Response | Refusal:
        """Return the response without internal headers, or a refusal made from it."""
        dialect = self._parts.dialect
        headers, values = self._sieve.split(response.headers)
        self._notices.record_response(values, start, self._parts.clock())
        # A server stamps what it has run, whatever the status says.
        if self._not_run_header in values or (
            response.status in dialect.not_run_statuses
            and self._stamp_header not in values
        ):
            _LOGGER.info(
                "target: server refused.",
                extra={
                    "request_id": context.request_id,
                    "route": context.route,
                    "why": "not run",
                    "status": response.status,
                    "server": self._parts.local.server,
                    "running": self._parts.gate.running,
                },
            )
            return not_run(
                Reason.OVERLOADED,
                retry_after_s=NOT_READY_RETRY_S,
                detail=f"server refused with status {response.status}",
            )
        if response.status < FIRST_REDIRECT and self._stamp_header not in values:
            return unknown(
                Reason.ANSWER_INCOMPLETE, detail="server stamp header is missing"
            )
        return Response(response.status, headers, response.body)
