"""Detects that an event loop was blocked, and whether by its own work."""

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.run_delay import RunDelay

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
"""Seconds between checks; a block appears up to this much shorter than it was."""

BLOCKED_S = 0.1
"""Lateness of a check, seconds, from which the loop counts as blocked."""

RECENT_S = 60.0
"""Length of the windows in which the longest block is kept, seconds."""


class BlockCause(Enum):
    """What most of a block was spent on."""

    BUSY = "busy"
    """The thread of the loop ran."""

    OTHER_THREAD = "other_thread"
    """Other threads of the process ran, and held the interpreter's lock."""

    NO_PROCESSOR = "no_processor"
    """The thread of the loop was ready to run and waited for a processor."""

    NOT_RUNNING = "not_running"
    """
    The process was stopped, or waited in a system call.

    Where the kernel doesn't count the wait for a processor, that wait, too.
    """

    SUSPENDED = "suspended"
    """The machine was suspended."""


@dataclass(frozen=True, slots=True)
class LoopSample:
    """
    Clocks at one moment, in seconds.

    `now` counts the time in which the machine is suspended, `awake_s` does not.
    `thread_s` is the processor time of the loop's thread, `process_s` of all threads.
    `waited_s` is the time for which the thread waited for a processor, None if unknown.
    """

    now: float
    awake_s: float
    thread_s: float
    process_s: float
    waited_s: float | None = None


@dataclass(frozen=True, slots=True)
class LoopBlock:
    """A block, and what the processor did since the check before it, in seconds."""

    cause: BlockCause
    blocked_s: float
    thread_s: float
    other_threads_s: float
    suspended_s: float
    waited_s: float


def take_sample(run_delay: RunDelay | None = None) -> LoopSample:
    """Return the present sample of the calling thread, which made `run_delay`."""
    return LoopSample(
        monotonic_s(),
        time.monotonic(),
        time.thread_time(),
        time.process_time(),
        run_delay.read_s() if run_delay is not None else None,
    )


class LoopMonitor:
    """Compares when its checks run with when they were due."""

    def __init__(self, sample: LoopSample) -> None:
        self.blocks = 0
        self.busy_blocks = 0
        self.no_processor_blocks = 0
        self._callbacks: list[Callable[[float, float], None]] = []
        self._last = sample
        self._window_started_at = sample.now
        self._longest_s = 0.0
        self._previous_longest_s = 0.0

    def subscribe(self, callback: Callable[[float, float], None]) -> None:
        """Call back after each check with its lateness and its time, in seconds."""
        self._callbacks.append(callback)

    def check(self, sample: LoopSample) -> LoopBlock | None:
        """Record a check that was due CHECK_INTERVAL_S after the one before."""
        last, self._last = self._last, sample
        late_s = sample.now - last.now - CHECK_INTERVAL_S
        self._start_window(sample.now)
        self._longest_s = max(self._longest_s, late_s)
        for callback in self._callbacks:
            callback(late_s, sample.now)
        if late_s < BLOCKED_S:
            return None
        block = _explain(late_s, last, sample)
        self.blocks += 1
        self.busy_blocks += block.cause is BlockCause.BUSY
        self.no_processor_blocks += block.cause is BlockCause.NO_PROCESSOR
        return block

    def longest_s(self, now: float) -> float:
        """Return the longest lateness of the last one to two windows, in seconds."""
        self._start_window(now)
        return max(self._longest_s, self._previous_longest_s)

    async def run(self) -> None:
        """Check, and log the blocks, until cancelled."""
        with RunDelay() as run_delay:
            self._last = take_sample(run_delay)
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                block = self.check(take_sample(run_delay))
                if block is not None:
                    _log(block)

    def _start_window(self, now: float) -> None:
        age_s = now - self._window_started_at
        if age_s < RECENT_S:
            return
        self._previous_longest_s = self._longest_s if age_s < 2 * RECENT_S else 0.0
        self._longest_s = 0.0
        self._window_started_at = now


def _explain(late_s: float, last: LoopSample, sample: LoopSample) -> LoopBlock:
    awake_s = sample.awake_s - last.awake_s
    suspended_s = max(0.0, sample.now - last.now - awake_s)
    thread_s = sample.thread_s - last.thread_s
    other_threads_s = max(0.0, sample.process_s - last.process_s - thread_s)
    waited_s = 0.0
    if sample.waited_s is not None and last.waited_s is not None:
        waited_s = sample.waited_s - last.waited_s
    seconds_by_cause = {
        BlockCause.BUSY: thread_s,
        BlockCause.OTHER_THREAD: other_threads_s,
        BlockCause.SUSPENDED: suspended_s,
        BlockCause.NO_PROCESSOR: waited_s,
    }
    seconds_by_cause[BlockCause.NOT_RUNNING] = late_s - sum(seconds_by_cause.values())
    cause = max(seconds_by_cause, key=lambda item: seconds_by_cause[item])
    return LoopBlock(cause, late_s, thread_s, other_threads_s, suspended_s, waited_s)


def _log(block: LoopBlock) -> None:
    _LOGGER.warning(
        "daemon: event loop was blocked.",
        extra={
            "why": block.cause.value,
            "blocked_s": round(block.blocked_s, 3),
            "thread_s": round(block.thread_s, 3),
            "other_threads_s": round(block.other_threads_s, 3),
            "suspended_s": round(block.suspended_s, 3),
            "waited_s": round(block.waited_s, 3),
        },
    )
