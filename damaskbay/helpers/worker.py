"""A thread for work that would block the event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from types import TracebackType
from typing import Any, Self, TypeVar

from damaskbay.helpers.signals import hold_signals

T = TypeVar("T")


class WorkerThread:
    """
    Runs functions one after the other beside an event loop; a context manager.

    The thread starts with the first function and handles no signals. On exit, functions
    that have not begun are dropped, and nothing waits for the one that runs.
    """

    def __init__(self, name: str) -> None:
        self._executor = ThreadPoolExecutor(
            1, thread_name_prefix=name, initializer=hold_signals
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def run(self, function: Callable[..., T], *arguments: Any) -> T:
        """Return what a function returns; raise what it raises."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function, *arguments)
