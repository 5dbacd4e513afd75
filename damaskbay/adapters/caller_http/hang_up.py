"""Notice callers that hang up while their call runs, and cancel it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from damaskbay.adapters.caller_http.const import HANG_UP_TICK_S
from damaskbay.helpers.cancellation import Cancellation
from damaskbay.helpers.task import Task


@dataclass(frozen=True, slots=True, eq=False)
class _Watched:
    is_gone: Callable[[], bool]
    cancellation: Cancellation


class HangUpWatcher(Task):
    """Asks each running call's connection at every tick."""

    def __init__(self) -> None:
        super().__init__("hang-up", tick_s=HANG_UP_TICK_S)
        self._watched: set[_Watched] = set()

    @contextmanager
    def watch(
        self, is_gone: Callable[[], bool], cancellation: Cancellation
    ) -> Iterator[None]:
        """Cancel when the caller is gone before the block ends."""
        watched = _Watched(is_gone, cancellation)
        self._watched.add(watched)
        try:
            yield
        finally:
            self._watched.discard(watched)

    def handle(self, message: object, now: float) -> None:
        """No messages: calls come and go by `watch`."""

    def tick(self, now: float) -> None:
        """Cancel the calls whose callers are gone."""
        for watched in tuple(self._watched):
            if watched.is_gone():
                watched.cancellation.cancel()
