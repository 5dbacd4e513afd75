"""Set up logging: text or JSON lines, keys redacted, storms counted."""

import atexit
import logging
import logging.handlers
import queue
import sys
import threading
from collections.abc import Callable
from typing import Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.keys import redact

TEXT_FORMAT: Final = "%(asctime)s %(levelname)s %(message)s"
JSON_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
MAX_REMEMBERED_MESSAGES: Final = 1000
MAX_QUEUED_LINES: Final = 2000


class StormFilter(logging.Filter):
    """Lets `lines_per_s` of each message through and counts the others."""

    def __init__(
        self, lines_per_s: float, clock: Callable[[], float] = monotonic_s
    ) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[tuple[str, str], tuple[float, int]] = {}
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether the record may pass."""
        why = getattr(record, "why", "")
        key = (record.name, f"{record.msg} {why}")
        now = self._clock()
        with self._lock:
            began, count = self._windows.get(key, (now, 0))
            if now - began >= 1.0:
                self._report(record, count)
                began, count = now, 0
            if len(self._windows) >= MAX_REMEMBERED_MESSAGES:
                self._windows.clear()
            self._windows[key] = (began, count + 1)
            if count >= self._lines_per_s:
                self.dropped += 1
                return False
        return True

    def _report(self, record: logging.LogRecord, count: int) -> None:
        left_out = count - int(self._lines_per_s)
        if left_out > 0:
            record.msg = f"{record.msg} ({left_out} more like this left out.)"


class RedactFilter(logging.Filter):
    """Replaces callers' keys in messages and their arguments."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the record; it always passes."""
        record.msg = redact(record.getMessage())
        record.args = ()
        if record.exc_info and not record.exc_text:
            formatted = logging.Formatter().formatException(record.exc_info)
            record.exc_text = redact(formatted)
            record.exc_info = None
        return True


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Hands records to a writing thread; drops and counts them where it is behind."""

    dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave formatting to the writing thread."""
        return record


def set_up_queued_logging(
    *, level: str, lines_per_s: float, stream: TextIO
) -> BoundedQueueHandler:
    """Write JSON lines to a stream from a thread of its own; never block a caller."""
    writer = logging.StreamHandler(stream)
    writer.setFormatter(JsonFormatter(JSON_FORMAT))
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    handler = BoundedQueueHandler(records)
    handler.addFilter(StormFilter(lines_per_s))
    handler.addFilter(RedactFilter())
    listener = logging.handlers.QueueListener(records, writer)
    listener.start()
    atexit.register(listener.stop)
    # Each costs a look-up a line, one a system call; no line shows them.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler


def set_up_logging(*, level: str, log_format: str, lines_per_s: float) -> StormFilter:
    """Send all logs to standard error; return the filter that counts storms."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter(JSON_FORMAT))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    storms = StormFilter(lines_per_s)
    handler.addFilter(storms)
    handler.addFilter(RedactFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    return storms
