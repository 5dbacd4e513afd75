"""Handles calls that other daemons forward to this one."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import replace
from typing import Any

from damaskbay.core.call import CallContext, CallResult
from damaskbay.core.lifetime import Lifetime
from damaskbay.core.outcome import Reason, not_run, unknown
from damaskbay.daemon.dispatch import OutgoingCall, explain_interruption
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
        refusal = None
        if self._lifetime.outlasts(0.0, self._clock()):
            refusal = refuse(Reason.SHUTTING_DOWN)
        elif not self._try_reserve_slot(cancellation):
            refusal = refuse(Reason.OVERLOADED, detail="too many calls from peers")
        if refusal is not None:
            responder.reply(
                to_result_message(CallResult(refusal, 0, call.retry_tokens))
            )
            return

        def done(result: CallResult) -> None:
            if self._interrupted:
                result = explain_interruption(result)
            try:
                responder.reply(to_result_message(result))
            finally:
                self._release_slot(cancellation)

        if call.owned:
            self._executor.submit(self._run_owned, call, cancellation, done)
            return
        self._submit_to_target(call, cancellation, done)

    def _submit_to_target(
        self,
        call: CallMessage,
        cancellation: Cancellation,
        done: Callable[[CallResult], None],
    ) -> None:
        if call.pool != self._pool:
            refusal = not_run(Reason.NO_BACKEND_SERVER, detail="another pool")
            done(CallResult(refusal, 0, call.retry_tokens))
            return
        context = self._context(call)
        target_call = TargetCall(context, request_of(call), cancellation)
        self._target.submit(target_call, done)

    def _run_owned(
        self,
        call: CallMessage,
        cancellation: Cancellation,
        done: Callable[[CallResult], None],
    ) -> None:
        context = self._context(call)
        try:
            result = self._once.run_owned(
                OutgoingCall(context, request_of(call), cancellation, leaf=True)
            )
        except Exception:
            _LOGGER.exception("peer calls: call with an owned request id failed.")
            result = CallResult(unknown(Reason.INTERNAL_ERROR))
        done(result)

    def _context(self, call: CallMessage) -> CallContext:
        """Return the context of a call that ends before this daemon does."""
        context = context_of(call, now=self._clock())
        return replace(context, deadline=self._lifetime.limit(context.deadline))

    def _try_reserve_slot(self, cancellation: Cancellation) -> bool:
        with self._lock:
            if len(self._running) >= self._max_calls:
                return False
            self._running.add(cancellation)
            return True

    def _release_slot(self, cancellation: Cancellation) -> None:
        with self._lock:
            self._running.discard(cancellation)
