"""A task that owns sockets: one thread, a selector and a wake-up socket."""

import contextlib
import logging
import selectors
import socket
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType
from typing import Any, Self

_LOGGER = logging.getLogger(__name__)

_WAKE_READ_BYTES = 4_096

Ready = Callable[[int, float], None]
"""Called with the selector's events and `now`."""


class _Stop:
    """Ends the loop."""


class SocketLoop(ABC):
    """
    A loop on a thread of its own, entered and left as a context manager.

    Other threads talk to it by `post`. `now` is in seconds of the clock.
    """

    def __init__(
        self,
        name: str,
        *,
        tick_s: float,
        max_commands: int,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.clock = clock
        self._tick_s = tick_s
        self._max_commands = max_commands
        self._commands: deque[Any] = deque()
        self._sleeping = False
        self._sleeping_until = 0.0
        self._stopping = False
        self._selector = selectors.DefaultSelector()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=name)
        self._running: Future[None] | None = None

    def __enter__(self) -> Self:
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, self._woken)
        self._running = self._executor.submit(self._run)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._commands.append(_Stop())
        self._wake()
        self._executor.shutdown()
        while self._commands:
            self._guard(self.abandon, self._commands.popleft())
        self._selector.close()
        self._wake_read.close()
        self._wake_write.close()

    def post(self, command: Any) -> bool:
        """Queue a command for the loop; return False where it has stopped."""
        if self._stopping:
            return False
        self._commands.append(command)
        if self._sleeping:
            self._sleeping = False
            self._wake()
        return True

    def post_quietly(self, command: Any, due: float) -> None:
        """Queue a command that need not be handled before `due` or an event."""
        self._commands.append(command)
        if due < self._sleeping_until:
            self._wake()

    @property
    def full(self) -> bool:
        """Tell whether so many commands wait that new work must be refused."""
        return len(self._commands) >= self._max_commands

    @abstractmethod
    def handle(self, command: Any, now: float) -> None:
        """Handle one command."""

    @abstractmethod
    def abandon(self, command: Any) -> None:
        """Take note of a command that came too late to be handled."""

    @abstractmethod
    def settle(self, now: float) -> None:
        """Finish a round: write what the commands and events queued."""

    @abstractmethod
    def tick(self, now: float, late_s: float) -> None:
        """Do what is due; `late_s` tells how long the loop itself was held up."""

    @abstractmethod
    def next_due(self) -> float:
        """Return the time of the next deadline, infinity where there is none."""

    @abstractmethod
    def stopped(self) -> None:
        """Clean up at the end, on the loop's thread."""

    def _run(self) -> None:
        next_tick = self.clock() + self._tick_s
        while not self._stopping:
            now = self._round(min(next_tick, self.next_due()))
            if now >= next_tick or now >= self.next_due():
                self._guard(self.tick, now, max(0.0, now - next_tick))
                self._guard(self.settle, now)
                next_tick = now + self._tick_s
        self._guard(self.stopped)

    def _round(self, until: float) -> float:
        """
        Wait, then handle the commands, then the events; return the time.

        A command that was queued before its frame was written is handled before
        the answer to that frame.
        """
        self._sleeping_until = until
        self._sleeping = True
        wait_s = 0.0 if self._commands else max(0.0, until - self.clock())
        events = self._selector.select(wait_s)
        self._sleeping = False
        now = self.clock()
        if self._commands:
            self._work(now)
        for key, mask in events:
            self._guard(key.data, mask, now)
        if self._commands:
            self._work(now)
        self._guard(self.settle, now)
        return now

    def catch_up(self, now: float) -> None:
        """Handle the commands that came since the round began."""
        if self._commands:
            self._work(now)

    def _work(self, now: float) -> None:
        for _ in range(len(self._commands)):
            command = self._commands.popleft()
            if isinstance(command, _Stop):
                self._stopping = True
            else:
                self._guard(self.handle, command, now)

    def _woken(self, _mask: int, _now: float) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_read.recv(_WAKE_READ_BYTES)

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_write.send(b"\0")

    def _guard(self, step: Callable[..., None], *arguments: Any) -> None:
        try:
            step(*arguments)
        except Exception:
            _LOGGER.exception("peer stream: %s: step failed", self.name)
