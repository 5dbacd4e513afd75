"""Event loop for sockets: one thread, a selector and a wake-up socket."""

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

EventHandler = Callable[[int, float], None]
"""Handler of selector events, called with the event mask and `now`."""


class _StopCommand:
    """Command to stop the loop."""


class SocketLoop(ABC):
    """
    Event loop on its own thread; a context manager.

    Other threads send it commands with `post`. `now` is in seconds of `clock`.
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
        self._selector.register(self._wake_read, selectors.EVENT_READ, self._on_wake_up)
        self._running = self._executor.submit(self._run)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._commands.append(_StopCommand())
        self._wake()
        self._executor.shutdown()
        while self._commands:
            self._run_guarded(self.abandon, self._commands.popleft())
        self._selector.close()
        self._wake_read.close()
        self._wake_write.close()

    def post(self, command: Any) -> bool:
        """Queue a command for the loop; return False if the loop has stopped."""
        if self._stopping:
            return False
        self._commands.append(command)
        if self._sleeping:
            self._sleeping = False
            self._wake()
        return True

    def post_deferred(self, command: Any, due: float) -> None:
        """Queue a command for the loop's next round, which starts by `due`."""
        self._commands.append(command)
        if due < self._sleeping_until:
            self._wake()

    @property
    def command_queue_full(self) -> bool:
        """Return whether the command queue is full and new work must be refused."""
        return len(self._commands) >= self._max_commands

    @abstractmethod
    def handle(self, command: Any, now: float) -> None:
        """Handle one command."""

    @abstractmethod
    def abandon(self, command: Any) -> None:
        """Process a command that was left in the queue when the loop stopped."""

    @abstractmethod
    def finish_round(self, now: float) -> None:
        """Finish a round: write what its commands and events queued."""

    @abstractmethod
    def tick(self, now: float, late_s: float) -> None:
        """Run periodic work; `late_s` is the delay of the loop itself."""

    @abstractmethod
    def next_deadline(self) -> float:
        """Return the time of the next deadline, infinity if there is none."""

    @abstractmethod
    def on_stopped(self) -> None:
        """Clean up on the loop's thread after the last round."""

    def _run(self) -> None:
        next_tick = self.clock() + self._tick_s
        while not self._stopping:
            now = self._round(min(next_tick, self.next_deadline()))
            if now >= next_tick or now >= self.next_deadline():
                self._run_guarded(self.tick, now, max(0.0, now - next_tick))
                self._run_guarded(self.finish_round, now)
                next_tick = now + self._tick_s
        self._run_guarded(self.on_stopped)

    def _round(self, until: float) -> float:
        """
        Wait, then handle the commands, then the events; return the time.

        Commands go first, so that a request whose command was queued before its
        frame was written is tracked before the reply to that frame is read.
        """
        self._sleeping_until = until
        self._sleeping = True
        wait_s = 0.0 if self._commands else max(0.0, until - self.clock())
        events = self._selector.select(wait_s)
        self._sleeping = False
        now = self.clock()
        if self._commands:
            self._handle_queued_commands(now)
        for key, mask in events:
            self._run_guarded(key.data, mask, now)
        if self._commands:
            self._handle_queued_commands(now)
        self._run_guarded(self.finish_round, now)
        return now

    def handle_new_commands(self, now: float) -> None:
        """Handle the commands that were queued since the round began."""
        if self._commands:
            self._handle_queued_commands(now)

    def _handle_queued_commands(self, now: float) -> None:
        for _ in range(len(self._commands)):
            command = self._commands.popleft()
            if isinstance(command, _StopCommand):
                self._stopping = True
            else:
                self._run_guarded(self.handle, command, now)

    def _on_wake_up(self, _mask: int, _now: float) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_read.recv(_WAKE_READ_BYTES)

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_write.send(b"\0")

    def _run_guarded(self, function: Callable[..., None], *arguments: Any) -> None:
        try:
            function(*arguments)
        except Exception:
            _LOGGER.exception("peer stream: %s: error in the event loop", self.name)
