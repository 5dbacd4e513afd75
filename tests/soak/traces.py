"""What surrounds a request that broke an invariant: signals, starts and log lines."""

import re
import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Protocol

from tests.soak.records import Disturbance, Execution, SentRequest, Stop

BEFORE_S, AFTER_S = 8.0, 1.0
"""Time before and after a request whose signals and starts are told, seconds."""

LOG_BEFORE_S, LOG_AFTER_S = 1.0, 0.5
MAX_LOG_LINES = 25
MAX_LINE_LENGTH = 240
MAX_TRACES = 10
_TIME_PATTERN = re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}")


class TracedMachine(Protocol):
    """What a trace tells of a machine; times in monotonic seconds."""

    name: str
    log_path: Path
    stops: list[Stop]
    hang_ups: list[float]
    starts: list[float]
    disturbances: list[Disturbance]
    standstills: list[Disturbance]


class Tracer:
    """
    Describes requests of a run with `machines`, the first MAX_TRACES of them.

    `executions_of` returns the executions of a request id.
    """

    def __init__(
        self,
        machines: Sequence[TracedMachine],
        executions_of: Callable[[str], Sequence[Execution]],
    ) -> None:
        self._by_name = {machine.name: machine for machine in machines}
        self._executions_of = executions_of
        self._described: set[str] = set()

    def describe(self, sent: SentRequest) -> str:
        """Return lines on a request, empty if it or enough others were described."""
        is_known = sent.request_id in self._described
        if is_known or len(self._described) >= MAX_TRACES:
            return ""
        self._described.add(sent.request_id)
        executions = self._executions_of(sent.request_id)
        names = dict.fromkeys([sent.machine, *(one.machine for one in executions)])
        lines = [
            f"{sent.machine}, connection {sent.connection or 'of a server'}, idle "
            f"{sent.idle_s:.1f} s, body {sent.body_bytes} bytes, "
            f"last byte {_since(sent, sent.last_byte_at)}, end "
            f"{_since(sent, sent.ended_at)}, status {sent.status}, {sent.failure!r}",
            *(
                f"ran at {one.server} from {_since(sent, one.arrived_at)} to "
                f"{_since(sent, one.ended_at)}, status {one.status}"
                for one in executions
            ),
        ]
        for name in names:
            if (machine := self._by_name.get(name)) is not None:
                lines += self._describe_machine(sent, machine)
        return "".join(f"\n    {line}" for line in lines)

    def _describe_machine(self, sent: SentRequest, machine: TracedMachine) -> list[str]:
        ended_at = sent.ended_at or sent.sent_at + sent.limit_s
        start, end = sent.sent_at - BEFORE_S, ended_at + AFTER_S
        moments = [
            *(("SIGTERM", stop.started_at) for stop in machine.stops),
            *(("exit", stop.exited_at) for stop in machine.stops if stop.exited_at),
            *(("SIGHUP", at) for at in machine.hang_ups),
            *(("start", at) for at in machine.starts),
            *(("disturbed", one.started_at) for one in machine.disturbances),
            *(("calm", one.ended_at) for one in machine.disturbances if one.ended_at),
            *(("allotment", one.started_at) for one in machine.standstills),
            *(("no allotment", one.ended_at) for one in machine.standstills),
        ]
        told = sorted(
            (at, what) for what, at in moments if at is not None and start <= at <= end
        )
        events = ", ".join(f"{what} {_since(sent, at)}" for at, what in told)
        return [
            f"{machine.name}: {events or 'no event'}",
            *_log_lines(
                machine.log_path,
                sent.request_id,
                sent.sent_at - LOG_BEFORE_S,
                ended_at + LOG_AFTER_S,
            ),
        ]


def _since(sent: SentRequest, at: float | None) -> str:
    """Return a time relative to the moment at which a request was sent."""
    return f"{at - sent.sent_at:+.3f} s" if at else "never"


def _log_lines(path: Path, request_id: str, start: float, end: float) -> list[str]:
    """Return the last log lines between two times, and all that name the request."""
    first, last = _log_time(start), _log_time(end)
    own: list[str] = []
    others: list[str] = []
    with path.open(errors="replace") as log:
        for line in log:
            found = _TIME_PATTERN.search(line)
            if found is None or not first <= found.group() <= last:
                continue
            lines = own if f'"{request_id}' in line else others
            lines.append(f"  {line.strip()[:MAX_LINE_LENGTH]}")
    return sorted([*own, *others[-MAX_LOG_LINES:]])


def _log_time(at: float) -> str:
    """Return a monotonic time as daemons write it in their logs."""
    wall_s = time.time() - time.monotonic() + at
    local = datetime.fromtimestamp(wall_s, UTC).astimezone()
    return local.strftime("%Y-%m-%d %H:%M:%S,%f")[:-3]
