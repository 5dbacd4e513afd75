"""
Decisions by the clock that wait until the event loop has read what has arrived.

After a long pass of the loop, or a pause of the process, timers that are due run before
the sockets are polled again.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

PASSES: Final = 3
"""
Passes of the loop that include a poll and the callbacks of what it has read.

The loop polls after the callbacks of the first pass. What was read may take the second
and the third one to get to the task that waits for it.
"""

NEW_CONNECTION_PASSES: Final = 8
"""Passes in which the loop connects an accepted socket, and then reads from it."""


def call_after_reading(callback: Callable[..., object], *args: Any) -> None:
    """Call back in this loop once it has read what has arrived by now."""
    _call_after_passes(asyncio.get_running_loop(), PASSES, callback, args)


def call_later_after_reading(
    delay_s: float, callback: Callable[..., object], *args: Any
) -> asyncio.TimerHandle:
    """
    Call back after `delay_s` seconds, once what had arrived then was read.

    The last argument of the callback is how late the timer fired, in seconds. The
    handle can't be cancelled any more then, so the callback checks if it is needed.
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + delay_s
    return loop.call_later(delay_s, _on_timer, loop, due_at, callback, args)


async def read_arrived() -> None:
    """Return once the running loop has read what has arrived by now."""
    for _ in range(PASSES):
        await asyncio.sleep(0)


async def read_new_connections(is_unread: Callable[[], bool] = lambda: True) -> None:
    """
    Return once the loop has read what came on sockets that were accepted by now.

    It takes no pass of the loop while `is_unread` says that nothing waits.
    """
    for _ in range(NEW_CONNECTION_PASSES):
        if not is_unread():
            return
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def timeout_after_reading(delay_s: float) -> AsyncIterator[None]:
    """
    Cancel the block after `delay_s` seconds, once what had arrived then was read.

    Raise TimeoutError in this case, as asyncio.timeout() does.
    """
    loop = asyncio.get_running_loop()
    is_inside = True

    def expire() -> None:
        if is_inside:
            timeout.reschedule(loop.time())

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(max(0.0, delay_s), call_after_reading, expire)
        try:
            yield
        finally:
            is_inside = False
            timer.cancel()


def _on_timer(
    loop: asyncio.AbstractEventLoop,
    due_at: float,
    callback: Callable[..., object],
    args: tuple[Any, ...],
) -> None:
    call_after_reading(callback, *args, loop.time() - due_at)


def _call_after_passes(
    loop: asyncio.AbstractEventLoop,
    passes: int,
    callback: Callable[..., object],
    args: tuple[Any, ...],
) -> None:
    if passes:
        loop.call_soon(_call_after_passes, loop, passes - 1, callback, args)
    else:
        callback(*args)
