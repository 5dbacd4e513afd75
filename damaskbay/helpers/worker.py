"""A thread for work that would block the event loop."""

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from types import TracebackType
from typing import Any, Self, TypeVar

from damaskbay.helpers.signals import hold_signals

T = TypeVar("T")

_LOGGER = logging.getLogger(__name__)


class WorkerThread:
    """
    Runs functions one after the other beside an event loop; a context manager.

    The thread starts with the first function and handles no signals. A function for
    which there is no thread runs on the event loop. On exit, functions that have not
    begun are dropped, and nothing waits for the one that runs.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._executor = self._make_executor()
        self._closed = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._closed = True
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def run(self, function: Callable[..., T], *arguments: Any) -> T:
        """Return what a function returns; raise what it raises."""
        try:
            future = self._executor.submit(function, *arguments)
        except (MemoryError, RuntimeError) as error:
            if self._closed:
                raise
            extra = {"why": repr(error), "worker": self._name}
            _LOGGER.warning("daemon: thread can't be started.", extra=extra)
            # It can start no thread any more, or has one that does what is queued.
            self._executor.shutdown(wait=False)
            self._executor = self._make_executor()
            return function(*arguments)
        return await asyncio.wrap_future(future)

    def _make_executor(self) -> ThreadPoolExecutor:
        return ThreadPoolExecutor(
            1, thread_name_prefix=self._name, initializer=hold_signals
        )
