"""Cancellation of calls whose callers disconnect."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from damaskbay.adapters.caller_http.const import DISCONNECT_CHECK_INTERVAL_S
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.task import Task


@dataclass(frozen=True, slots=True, eq=False)
class _WatchedCall:
    is_disconnected: Callable[[], bool]
    cancellation: Cancellation


class HangUpWatcher(Task):
    """Task that polls connections and cancels the calls of disconnected callers."""

    def __init__(self) -> None:
        super().__init__("hang-up", tick_s=DISCONNECT_CHECK_INTERVAL_S)
        self._calls: set[_WatchedCall] = set()

    @contextmanager
    def watch(
        self, is_disconnected: Callable[[], bool], cancellation: Cancellation
    ) -> Iterator[None]:
        """Cancel the call if the caller disconnects before the block ends."""
        call = _WatchedCall(is_disconnected, cancellation)
        self._calls.add(call)
        try:
            yield
        finally:
            self._calls.discard(call)

    def handle(self, message: object, now: float) -> None:
        """Ignore all messages; `watch` registers the calls."""

    def tick(self, now: float) -> None:
        """Cancel the calls whose callers have disconnected."""
        for call in tuple(self._calls):
            if call.is_disconnected():
                call.cancellation.cancel()
