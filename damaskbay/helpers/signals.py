"""Signals that wait while a daemon can't handle them: as it starts, and as it exits."""

import asyncio
import signal
from types import FrameType

from damaskbay.helpers.clock import monotonic_s

HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})
"""By default each of them ends the process."""


def hold_signals() -> None:
    """Let signals to this thread, and to threads that it starts, wait."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def deliver_signals() -> None:
    """Deliver the signals that wait, and further ones, to this thread."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


class StopRequest(asyncio.Event):
    """
    Set by the event loop after a signal; `arrived_at` is when the process first ran.

    The loop handles a signal in a later pass, which on a busy machine may come a good
    part of a grace time later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.arrived_at: float | None = None

    def handle(self, signal_number: int) -> None:
        """Be set by a signal to the running loop, in the main thread."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal_number, self.set)
        # The loop finds the signal by this handler, and by a descriptor.
        of_loop = signal.getsignal(signal_number)

        def on_signal(number: int, frame: FrameType | None) -> None:
            if self.arrived_at is None:
                self.arrived_at = monotonic_s()
            if callable(of_loop):
                of_loop(number, frame)

        signal.signal(signal_number, on_signal)
        signal.siginterrupt(signal_number, False)
