"""Handles calls that other daemons forward to this one."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from typing import Any

from damaskbay.core.call import CallContext, CallResult
from damaskbay.core.durations import DurationEstimates, StartedCall
from damaskbay.core.http_status import is_success
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.daemon.dispatch import OutgoingCall, explain_shutdown
from damaskbay.daemon.messages import (
    CallMessage,
    context_of,
    request_of,
    to_result_message,
)
from damaskbay.daemon.once import AtMostOnceService
from damaskbay.daemon.target import Target, TargetCall
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.ports.peer import PeerIdentity, PeerLink, Responder

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _BegunCall:
    """A call, and how long it was expected to take at its start, in seconds."""

    started: StartedCall
    expected_s: float


class PeerCalls:
    """
    Runs calls from authenticated peers without blocking the stream's thread.

    Calls beyond `max_calls` in flight are refused immediately.
    """

    def __init__(
        self,
        *,
        target: Target,
        once: AtMostOnceService,
        executor: Executor,
        max_calls: int,
        pool: str,
        lifetime: Lifetime,
        clock: Callable[[], float],
    ) -> None:
        self._target = target
        self._once = once
        self._executor = executor
        self._max_calls = max_calls
        self._pool = pool
        self._lifetime = lifetime
        self._clock = clock
        self._lock = threading.Lock()
        self._running: set[Cancellation] = set()
        self._durations = DurationEstimates()
        self._interrupted = False

    @property
    def in_flight(self) -> int:
        """Return the number of calls from peers that are in flight."""
        return len(self._running)

    def interrupt(self) -> None:
        """End the running calls; their senders get a refusal."""
        self._interrupted = True
        with self._lock:
            running = tuple(self._running)
        for cancellation in running:
            cancellation.cancel()

    def register(self, link: PeerLink) -> None:
        """Register the handler of call messages; required before the link starts."""
        link.register(CallMessage, self._handle)

    def _handle(self, sender: PeerIdentity, call: Any, responder: Responder) -> None:
        cancellation = Cancellation()
        responder.on_cancel(cancellation.cancel)
        refuse = unknown if call.owned else not_run
        begun: _BegunCall | Refusal
        if self._lifetime.outlasts(0.0, self._clock()):
            begun = refuse(Reason.SHUTTING_DOWN)
        else:
            begun = self._begin(call, cancellation) or refuse(
                Reason.OVERLOADED, detail="too many calls from peers"
            )
        if isinstance(begun, Refusal):
            responder.reply(to_result_message(CallResult(begun, 0, call.retry_tokens)))
            return
        started = begun.started
        outlives = self._lifetime.outlasts(call.remaining_s, started.started_at)

        def done(result: CallResult) -> None:
            if self._interrupted:
                result = explain_shutdown(result)
            if outlives:
                result = explain_shutdown(result, Reason.DEADLINE_PASSED)
            try:
                responder.reply(to_result_message(result))
            finally:
                self._end(started, cancellation, result)

        context = self._context(call)
        outlasting = self._refuse_outlasting(call, begun)
        if call.owned:
            self._executor.submit(
                self._run_owned, call, context, cancellation, outlasting, done
            )
        elif outlasting is not None:
            done(CallResult(outlasting, 0, call.retry_tokens))
        else:
            self._submit_to_target(call, context, cancellation, done)

    def _refuse_outlasting(
        self, call: CallMessage, begun: _BegunCall
    ) -> Refusal | None:
        """
        Return a refusal if a call won't end before this daemon does.

        Nested calls are taken as long as possible, as otherwise the call that made
        them fails.
        """
        expected_s = min(call.remaining_s, begun.expected_s)
        started_at = begun.started.started_at
        if call.depth > 0 or not self._lifetime.outlasts(expected_s, started_at):
            return None
        return not_run(Reason.SHUTTING_DOWN)

    def _submit_to_target(
        self,
        call: CallMessage,
        context: CallContext,
        cancellation: Cancellation,
        done: Callable[[CallResult], None],
    ) -> None:
        if call.pool != self._pool:
            refusal = not_run(Reason.NO_BACKEND_SERVER, detail="another pool")
            done(CallResult(refusal, 0, call.retry_tokens))
            return
        target_call = TargetCall(context, request_of(call), cancellation)
        self._target.submit(target_call, done)

    def _run_owned(
        self,
        call: CallMessage,
        context: CallContext,
        cancellation: Cancellation,
        outlasting: Refusal | None,
        done: Callable[[CallResult], None],
    ) -> None:
        request = request_of(call)
        try:
            if outlasting is not None:
                result = self._once.refuse(context, request, outlasting)
                result = replace(result, retry_tokens_left=call.retry_tokens)
            else:
                outgoing = OutgoingCall(context, request, cancellation, leaf=True)
                result = self._once.run_owned(outgoing)
        except Exception:
            _LOGGER.exception("peer calls: call with an owned request id failed.")
            result = CallResult(unknown(Reason.INTERNAL_ERROR))
        done(result)

    def _context(self, call: CallMessage) -> CallContext:
        """Return the context of a call that ends before this daemon does."""
        context = context_of(call, now=self._clock())
        return replace(context, deadline=self._lifetime.limit(context.deadline))

    def _begin(
        self, call: CallMessage, cancellation: Cancellation
    ) -> _BegunCall | None:
        """Reserve a slot and begin to measure a call; None if all slots are taken."""
        with self._lock:
            if len(self._running) >= self._max_calls:
                return None
            self._running.add(cancellation)
            self._lifetime.peer_calls = len(self._running)
            now = self._clock()
            expected_s = self._durations.expected_s(call.route, now) or 0.0
            self._lifetime.expect_end(now + min(call.remaining_s, expected_s))
            started = self._durations.start(call.route, now)
        return _BegunCall(started, expected_s)

    def _end(
        self, started: StartedCall, cancellation: Cancellation, result: CallResult
    ) -> None:
        """Release the slot of a call and record its duration."""
        with self._lock:
            self._running.discard(cancellation)
            self._lifetime.peer_calls = len(self._running)
            completed = is_success(result.result)
            self._durations.end(started, self._clock(), completed=completed)
