"""Checks of seeds whose only faults are stops, set changes and draining servers."""

import asyncio
import bisect
import itertools
import time
from collections.abc import Iterable, Mapping, Sequence
from operator import itemgetter

from tests.soak.records import Disturbance, Execution, SentRequest, Stop

UNREAD_WAIT_S = 0.2
"""A request that waits longer than this, seconds, has been read."""

LIMIT_SLACK_S = 0.1
"""Seconds before its time limit at which a request may be ended."""

OVERDUE_S = 1.0
"""Seconds after its time limit at which a request must have been answered."""

MAX_LAG_S = 2.0
"""Further seconds that a caller waits, whose own event loop may run late."""

OVERDUE = "no response after the time limit"
"""Failure of a request that its caller gave up."""

CALLER_CLOSED = "closed by the caller"
"""Failure of a request behind one that its caller gave up."""

LAST_SHARE = 1.0 / 6.0
"""Last part of the grace time, 0 to 1, in which a running request may be cut."""

EARLY_SHARE = 0.5
"""
First part of the grace time, 0 to 1.

A request that was sent later must get the server's response, or must not be run.
"""

LAG_INTERVAL_S = 0.02
INTERRUPTED_STATUSES = frozenset({0, 502, 503, 504})
STAMP_HEADER = "x-server-stamp"


class LagRecorder:
    """Records how late the event loop of the callers ran."""

    def __init__(self) -> None:
        self._lags: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Measure the lag at fixed intervals until cancelled."""
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            ended_at = time.monotonic()
            lag_s = ended_at - started_at - LAG_INTERVAL_S
            if lag_s > LAG_INTERVAL_S:
                self._lags.append((ended_at, lag_s))

    @property
    def longest_s(self) -> float:
        """Return the longest lag, seconds."""
        return max((lag_s for _, lag_s in self._lags), default=0.0)

    def find_stalls(self, least_s: float) -> list[Disturbance]:
        """Return when the event loop stood still for `least_s` seconds or more."""
        return [
            Disturbance(ended_at - lag_s, ended_at)
            for ended_at, lag_s in self._lags
            if lag_s >= least_s
        ]

    def total_s(self, start: float, end: float) -> float:
        """Return the sum of the lags between two times, seconds."""
        first = bisect.bisect_right(self._lags, start, key=itemgetter(0))
        total_s = 0.0
        for ended_at, lag_s in itertools.islice(self._lags, first, None):
            if ended_at >= end + lag_s:
                break
            total_s += lag_s
        return total_s


def find_interruption(
    sent: SentRequest,
    executions: Sequence[Execution],
    stops_by_machine: Mapping[str, Sequence[Stop]],
    caller_lag_s: float,
    *,
    strict: bool = True,
) -> str | None:
    """
    Return how a request was interrupted, None if it was not or if that is allowed.

    `caller_lag_s` is how late the caller may have noticed the end of the request.
    Unless `strict`, a response may come after the time limit, and may be the daemon's
    own if its machine did not get SIGTERM.
    """
    if not sent.ended_at or sent.failure == CALLER_CLOSED:
        return None
    waits_for_caller = sent.is_behind or sent.read_s
    late_s = _waited_s(sent) - caller_lag_s - sent.limit_s
    if late_s > OVERDUE_S and strict and not waits_for_caller:
        return f"{OVERDUE} of {sent.limit_s:.1f} s; {late_s:.3f} s late"
    if sent.failure == OVERDUE or sent.status not in INTERRUPTED_STATUSES:
        return None
    if sent.response is not None and has_stamp(sent):
        return None
    own_stops = stops_by_machine.get(sent.machine, ())
    if (
        not strict
        and sent.response
        and not any(one.overlaps(sent) for one in own_stops)
    ):
        return None
    if not executions:
        return _find_unanswered(sent, stops_by_machine, caller_lag_s)
    if executions[-1].status not in (None, 200):
        return None
    if _waited_s(sent) >= sent.limit_s - LIMIT_SLACK_S and not _is_cut(sent):
        return None
    machines = {sent.machine, *(execution.machine for execution in executions)}
    stops = [
        stop
        for machine in machines
        for stop in stops_by_machine.get(machine, ())
        if stop.overlaps(sent)
    ]
    if any(_may_interrupt(stop, sent, executions[-1]) for stop in stops):
        return None
    return f"ran, but {_describe_end(sent, executions, stops_by_machine)}"


def _waited_s(sent: SentRequest) -> float:
    return sent.ended_at - (sent.last_byte_at or sent.sent_at)


def has_stamp(sent: SentRequest) -> bool:
    """Return whether the response is a server's; there has to be one."""
    assert sent.response is not None
    return any(name.lower() == STAMP_HEADER for name, _ in sent.response.headers)


def _is_cut(sent: SentRequest) -> bool:
    return sent.response is None and sent.response_began


def _find_unanswered(
    sent: SentRequest,
    stops_by_machine: Mapping[str, Sequence[Stop]],
    caller_lag_s: float,
) -> str | None:
    """Check a request that reached no server and had no complete response."""
    if sent.response is not None or not sent.last_byte_at:
        return None
    if _is_cut(sent):
        return f"response is cut: {sent.failure}"
    waited_s = sent.ended_at - sent.last_byte_at
    if sent.is_behind or waited_s - caller_lag_s <= UNREAD_WAIT_S:
        return None
    return (
        f"no response: {sent.failure} after {waited_s:.3f} s; "
        f"sent after SIGTERM: {_since_stops([sent.machine], sent, stops_by_machine)}"
    )


def _may_interrupt(stop: Stop, sent: SentRequest, execution: Execution) -> bool:
    """Return whether the server was at work in the last part of the grace time."""
    last_part_at = stop.started_at + stop.grace_s * (1.0 - LAST_SHARE)
    early_until = stop.started_at + stop.grace_s * EARLY_SHARE
    ended_at = execution.ended_at if execution.ended_at is not None else sent.ended_at
    if sent.read_s and ended_at + sent.read_s >= last_part_at:
        return True
    return ended_at >= last_part_at and sent.sent_at <= early_until


def _describe_end(
    sent: SentRequest,
    executions: Sequence[Execution],
    stops_by_machine: Mapping[str, Sequence[Stop]],
) -> str:
    runs = "; ".join(
        f"{execution.server} from {execution.arrived_at - sent.sent_at:.3f} to "
        f"{(execution.ended_at or sent.ended_at) - sent.sent_at:.3f} s, "
        f"status {execution.status}"
        for execution in executions
    )
    machines = dict.fromkeys([sent.machine, *(item.machine for item in executions)])
    since = _since_stops(machines, sent, stops_by_machine)
    behind = ", behind another request" if sent.is_behind else ""
    cut = ", response cut" if _is_cut(sent) else ""
    why = f"{sent.status} {sent.failure}".strip()
    took_s = sent.ended_at - sent.sent_at
    return (
        f"ended after {took_s:.3f} s with {why}{cut}{behind}; limit {sent.limit_s:.1f} "
        f"s; ran at {runs}; sent after SIGTERM: {since}"
    )


def _since_stops(
    machines: Iterable[str],
    sent: SentRequest,
    stops_by_machine: Mapping[str, Sequence[Stop]],
) -> str:
    """Return how long after the stops of machines a request was sent."""
    since = ", ".join(
        f"{machine} {sent.sent_at - stop.started_at:.3f} s"
        for machine in machines
        for stop in stops_by_machine.get(machine, ())
        if stop.overlaps(sent)
    )
    return since or "none"
