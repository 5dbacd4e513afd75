"""A thread-safe cancellation signal with callbacks."""

import threading
from collections.abc import Callable


class Cancellation:
    """
    Cancellation signal that fires at most once; thread-safe.

    Each callback runs once, outside the lock.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._callbacks: list[Callable[[], None]] = []
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel, and run the callbacks on this thread; repeated calls do nothing."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
            callbacks = self._callbacks
            self._callbacks = []
        for callback in callbacks:
            callback()

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Register a callback; run it at once if already cancelled."""
        with self._lock:
            if not self.cancelled:
                self._callbacks.append(callback)
                return
        callback()

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Remove a callback; do nothing if it is not registered."""
        with self._lock:
            if callback in self._callbacks:
                self._callbacks.remove(callback)
