"""Base class of tasks: a thread that owns its state and handles messages."""

import logging
import queue
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType
from typing import Any, Self

from damaskbay.helpers.clock import monotonic_s

_LOGGER = logging.getLogger(__name__)

DEFAULT_INBOX_MESSAGES = 10_000
DEFAULT_TICK_S = 0.1


class _Stop:
    """Sentinel in the inbox that ends the loop."""


class Task(ABC):
    """
    Message loop on a separate thread; a context manager.

    Only `handle` and `tick` may access the task's state. Their `now` is in seconds
    of `clock`. If one raises an exception, it is logged and the loop continues.
    """

    def __init__(
        self,
        name: str,
        *,
        tick_s: float = DEFAULT_TICK_S,
        inbox_messages: int = DEFAULT_INBOX_MESSAGES,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self.name = name
        self.clock = clock
        self._tick_s = tick_s
        self._inbox: queue.Queue[Any] = queue.Queue(inbox_messages)
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._run_future: Future[None] | None = None

    def __enter__(self) -> Self:
        self._run_future = self._executor.submit(self._run)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._inbox.put(_Stop())
        self._executor.shutdown()

    def post(self, message: Any) -> bool:
        """Queue a message; return False if the inbox is full. Thread-safe."""
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            return False
        return True

    @abstractmethod
    def handle(self, message: Any, now: float) -> None:
        """Handle one message."""

    def tick(self, now: float) -> None:  # noqa: B027
        """Do periodic work; called about every `tick_s`."""

    def _run(self) -> None:
        next_tick = self.clock()
        while True:
            wait_s = max(0.0, next_tick - self.clock())
            try:
                item = self._inbox.get(timeout=wait_s)
            except queue.Empty:
                item = None
            if isinstance(item, _Stop):
                return
            now = self.clock()
            if item is not None:
                self._call_and_log_errors(self.handle, item, now)
            if now >= next_tick:
                self._call_and_log_errors(self.tick, now)
                next_tick = now + self._tick_s

    def _call_and_log_errors(self, step: Callable[..., None], *arguments: Any) -> None:
        try:
            step(*arguments)
        except Exception:
            _LOGGER.exception("task: %s: step failed", self.name)
