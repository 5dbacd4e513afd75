"""Tasks that never end by themselves."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

_LOGGER = logging.getLogger(__name__)

RESTART_DELAY_S: Final = 1.0
"""Seconds between the failure of a task and its next start."""


async def keep_running(
    run: Callable[[], Coroutine[Any, Any, None]],
    *,
    restart_delay_s: float = RESTART_DELAY_S,
) -> None:
    """Run until cancelled; log an exception and run again after a delay."""
    this_task = asyncio.current_task()
    while True:
        try:
            await run()
        except asyncio.CancelledError:
            if this_task is None or this_task.cancelling():
                raise
            # Something that `run` waited for was cancelled.
            _log_failure(run, restart_delay_s)
        except Exception:
            _log_failure(run, restart_delay_s)
        try:
            await asyncio.sleep(restart_delay_s)
        except MemoryError:
            # There was none for a timer.
            await asyncio.sleep(0)


def _log_failure(
    run: Callable[[], Coroutine[Any, Any, None]], restart_delay_s: float
) -> None:
    # The line of a task that found no memory may find none, either.
    with contextlib.suppress(MemoryError):
        _LOGGER.exception(
            "daemon: a task has failed and starts again.",
            extra={"task": repr(run), "delay_s": restart_delay_s},
        )
