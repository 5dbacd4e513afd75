"""Handles calls that other daemons forward to this one."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any

from damaskbay.core.call import CallResult
from damaskbay.core.outcome import Reason, not_run, unknown
from damaskbay.daemon.dispatch import OutgoingCall
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
        clock: Callable[[], float],
    ) -> None:
        self._target = target
        self._once = once
        self._executor = executor
        self._max_calls = max_calls
        self._pool = pool
        self._clock = clock
        self._lock = threading.Lock()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of calls from peers that are in flight."""
        return self._in_flight

    def register(self, link: PeerLink) -> None:
        """Register the handler of call messages; required before the link starts."""
        link.register(CallMessage, self._handle)

    def _handle(self, sender: PeerIdentity, call: Any, responder: Responder) -> None:
        cancellation = Cancellation()
        responder.on_cancel(cancellation.cancel)
        if not self._try_reserve_slot():
            refuse = unknown if call.owned else not_run
            refusal = refuse(Reason.OVERLOADED, detail="too many calls from peers")
            responder.reply(
                to_result_message(CallResult(refusal, 0, call.retry_tokens))
            )
            return

        def done(result: CallResult) -> None:
            self._release_slot()
            responder.reply(to_result_message(result))

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
        context = context_of(call, now=self._clock())
        target_call = TargetCall(context, request_of(call), cancellation)
        self._target.submit(target_call, done)

    def _run_owned(
        self,
        call: CallMessage,
        cancellation: Cancellation,
        done: Callable[[CallResult], None],
    ) -> None:
        context = context_of(call, now=self._clock())
        try:
            result = self._once.run_owned(
                OutgoingCall(context, request_of(call), cancellation, leaf=True)
            )
        except Exception:
            _LOGGER.exception("peer calls: call with an owned request id failed.")
            result = CallResult(unknown(Reason.INTERNAL_ERROR))
        done(result)

    def _try_reserve_slot(self) -> bool:
        with self._lock:
            if self._in_flight >= self._max_calls:
                return False
            self._in_flight += 1
            return True

    def _release_slot(self) -> None:
        with self._lock:
            self._in_flight -= 1
