"""Signals that wait while a daemon can't handle them: as it starts, and as it exits."""

import signal

HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})
"""By default each of them ends the process."""


def hold_signals() -> None:
    """Let signals to this thread, and to threads that it starts, wait."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def deliver_signals() -> None:
    """Deliver the signals that wait, and further ones, to this thread."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
