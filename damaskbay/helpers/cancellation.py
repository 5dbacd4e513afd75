"""A cancellation that threads may wait for or be called back by."""

import threading
from collections.abc import Callable


class Cancellation:
    """Cancelled at most once; callbacks run once, outside the lock."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._callbacks: list[Callable[[], None]] = []
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel and run the callbacks on this thread."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
            callbacks = self._callbacks
            self._callbacks = []
        for callback in callbacks:
            callback()

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call back on cancellation, at once where it has already happened."""
        with self._lock:
            if not self.cancelled:
                self._callbacks.append(callback)
                return
        callback()

    def forget(self, callback: Callable[[], None]) -> None:
        """Take a callback back; unknown ones are passed over."""
        with self._lock:
            if callback in self._callbacks:
                self._callbacks.remove(callback)
