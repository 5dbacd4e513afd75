"""Set up logging: text or JSON lines, redacted keys, rate-limited messages."""

import logging
import queue
import sys
import threading
from collections.abc import Callable
from typing import Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.keys import redact
from damaskbay.helpers.signals import hold_signals

_LOGGER = logging.getLogger(__name__)

TEXT_FORMAT: Final = "%(asctime)s %(levelname)s %(message)s"
JSON_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
MAX_TRACKED_MESSAGES: Final = 1000
MAX_QUEUED_LINES: Final = 2000

MAX_WHY: Final = 200
"""Characters of a reason."""

STOP_TIMEOUT_S: Final = 0.2
"""Limit of the wait for queued lines at an exit, which has a time limit, seconds."""


class RateLimitFilter(logging.Filter):
    """
    Filter that passes `lines_per_s` of each message and counts the rest.

    Records with the same logger, message and `why` count as one message.
    """

    def __init__(
        self, lines_per_s: float, clock: Callable[[], float] = monotonic_s
    ) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[tuple[str, str], tuple[float, int]] = {}
        self.dropped = 0

    def suppresses(self, name: str, message: str, why: str) -> bool:
        """Return whether a line of a logger would be suppressed now; count it then."""
        key = (name, f"{message} {why}")
        with self._lock:
            window_start, count = self._windows.get(key, (0.0, 0))
            if count < self._lines_per_s or self._clock() - window_start >= 1.0:
                return False
            self._windows[key] = (window_start, count + 1)
            self.dropped += 1
        return True

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is within the rate limit."""
        why = getattr(record, "why", "")
        key = (record.name, f"{record.msg} {why}")
        now = self._clock()
        with self._lock:
            window_start, count = self._windows.get(key, (now, 0))
            if now - window_start >= 1.0:
                self._append_suppressed_count(record, count)
                window_start, count = now, 0
            if len(self._windows) >= MAX_TRACKED_MESSAGES:
                self._windows.clear()
            self._windows[key] = (window_start, count + 1)
            if count >= self._lines_per_s:
                self.dropped += 1
                return False
        return True

    def _append_suppressed_count(self, record: logging.LogRecord, count: int) -> None:
        suppressed = count - int(self._lines_per_s)
        if suppressed > 0:
            record.msg = f"{record.msg} ({suppressed} more like this suppressed.)"


_rate_limits: list[RateLimitFilter] = []
"""The limit of the queued log, if it is set up."""


def is_suppressed(logger: logging.Logger, message: str, why: str) -> bool:
    """
    Return whether the queued log would suppress a line now; count it in this case.

    Asked before a frequent line is put together, as most of them are suppressed.
    """
    return any(limit.suppresses(logger.name, message, why) for limit in _rate_limits)


class RedactFilter(logging.Filter):
    """Filter that redacts callers' keys in messages, arguments and tracebacks."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the record in place; return True always."""
        record.msg = redact(record.getMessage())
        record.args = ()
        if record.exc_info and not record.exc_text:
            formatted = logging.Formatter().formatException(record.exc_info)
            record.exc_text = redact(formatted)
            record.exc_info = None
        return True


class BoundedQueueHandler(logging.Handler):
    """
    Handler that queues records for a writer thread.

    Records are dropped and counted while the queue is full.
    """

    dropped = 0

    def __init__(
        self,
        records: queue.Queue[logging.LogRecord | None],
        start_writer: Callable[[], None],
    ) -> None:
        super().__init__()
        self.queue = records
        self._start_writer = start_writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record without blocking; the writer thread formats it."""
        self._start_writer()
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def handle(self, record: logging.LogRecord) -> bool:
        """Queue a record; drop it if there is no memory for that."""
        try:
            return super().handle(record)
        except MemoryError:
            self.dropped += 1
            return False


class LogWriter:
    """
    Thread that writes queued records to a stream.

    Without a thread, records wait until `start` finds one.
    """

    def __init__(
        self, records: queue.Queue[logging.LogRecord | None], stream: TextIO
    ) -> None:
        self._records = records
        self._handler = logging.StreamHandler(stream)
        self._handler.setFormatter(JsonFormatter(JSON_FORMAT))
        self._thread: threading.Thread | None = None
        self.failures = 0
        self.start()

    def start(self) -> None:
        """Start the thread unless it runs; for a while there may be none."""
        if self._thread is not None:
            return
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        try:
            thread.start()
        except (MemoryError, RuntimeError):
            self.failures += 1
        else:
            self._thread = thread

    def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """
        Write the queued records; return whether the stream took all in time.

        If not, an exit of the interpreter would wait for the stream.
        """
        ends_at = monotonic_s() + timeout_s
        try:
            self._records.put(None, timeout=timeout_s)
        except queue.Full:
            return False
        if self._thread is None:
            return False
        self._thread.join(max(0.0, ends_at - monotonic_s()))
        return not self._thread.is_alive()

    def _run(self) -> None:
        hold_signals()
        while (record := self._records.get()) is not None:
            try:
                self._handler.handle(record)
            except Exception:
                # There is nowhere else to report it, and the next line may succeed.
                self.failures += 1


def set_up_queued_logging(
    *, level: str, lines_per_s: float, stream: TextIO
) -> tuple[BoundedQueueHandler, LogWriter]:
    """
    Write JSON lines to a stream from a separate thread; never block a caller.

    The writer is to be stopped before the process exits.
    """
    records: queue.Queue[logging.LogRecord | None] = queue.Queue(MAX_QUEUED_LINES)
    writer = LogWriter(records, stream)
    handler = BoundedQueueHandler(records, writer.start)
    _rate_limits[:] = [RateLimitFilter(lines_per_s)]
    handler.addFilter(_rate_limits[0])
    handler.addFilter(RedactFilter())
    # Each of these fields costs a lookup per record, one of them a system call, and
    # the format does not use them.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    # The documented way to leave out where a call to the log comes from.
    logging._srcfile = None
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler, writer


def log_what_goes_to_standard_error() -> None:
    """Log warnings, and exceptions that can't be raised: the stream may block."""
    logging.captureWarnings(True)
    sys.unraisablehook = _log_unraisable


def _log_unraisable(unraisable: "sys.UnraisableHookArgs") -> None:
    _LOGGER.error(
        "daemon: exception is ignored.",
        exc_info=unraisable.exc_value,
        extra={"why": f"{unraisable.err_msg}: {unraisable.object!r}"[:MAX_WHY]},
    )


def set_up_logging(
    *, level: str, log_format: str, lines_per_s: float
) -> RateLimitFilter:
    """Send all logs to standard error; return the rate limit filter."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter(JSON_FORMAT))
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    rate_limit_filter = RateLimitFilter(lines_per_s)
    handler.addFilter(rate_limit_filter)
    handler.addFilter(RedactFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    return rate_limit_filter
