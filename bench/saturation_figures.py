"""Figures of one step of load, from what callers, servers and daemons recorded."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

from bench.common import percentile
from bench.saturation_calls import (
    CLOSED,
    NO_ANSWER,
    NOT_CONNECTED,
    TIME_LIMIT_S,
    UNSAFE_PATHS,
    Run,
    Sent,
)
from bench.saturation_fleet import StepObservation
from tests.soak.planned import LIMIT_SLACK_S, UNREAD_WAIT_S
from tests.soak.records import Stop

OK = 200
NOT_RUN_STATUSES = (408, 421, 429, 503)
OWN_FAILURES = (502, 504)
MS_PER_S = 1000.0
AFTER_STOP_S = 1.0
LEFT_OUT_S = 3.0
"""First seconds of a step, in which the first requests are still under way."""

Runs = Mapping[str, Sequence[Run]]


def merge_runs(seen: StepObservation) -> dict[str, list[Run]]:
    """Return the runs at all servers by request id, in order of arrival."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for report in seen.reports:
        for request_id, found in report.runs.items():
            runs[request_id] += found
    for found in runs.values():
        found.sort(key=lambda run: run.arrived_at)
    return dict(runs)


def all_sent(seen: StepObservation) -> list[Sent]:
    """Return the requests that were sent: those whose connection was made."""
    return [
        sent
        for report in seen.reports
        for sent in report.sent
        if sent.failure != NOT_CONNECTED
    ]


def is_served(sent: Sent) -> bool:
    """Return whether a request got its success within its time limit."""
    return sent.status == OK and sent.ended_at - sent.sent_at <= TIME_LIMIT_S


def is_refused(sent: Sent) -> bool:
    """Return whether a daemon said that it did not run the request."""
    return sent.status in NOT_RUN_STATUSES and not sent.stamped


def ran_yet_failed(sent: Sent, runs: Runs) -> bool:
    """Return whether a request that ran got a 502, 503 or 504 of a daemon's own."""
    own = not sent.stamped and sent.status in (*OWN_FAILURES, 503)
    return own and sent.request_id in runs


def ran_yet_refused(sent: Sent, runs: Runs) -> bool:
    """Return whether a request that must not run twice ran and was refused."""
    is_unsafe = sent.path in UNSAFE_PATHS
    return is_unsafe and is_refused(sent) and sent.request_id in runs


def was_cut(sent: Sent, runs: Runs, stops: Sequence[Stop]) -> bool:
    """Return whether a stop of its machine's daemon left a request unanswered."""
    waited_s = sent.ended_at - sent.sent_at
    ran = sent.request_id in runs
    own_failure = not sent.stamped and sent.status in OWN_FAILURES and ran
    own_failure = own_failure and waited_s < TIME_LIMIT_S - LIMIT_SLACK_S
    closed = sent.failure == CLOSED and (ran or waited_s > UNREAD_WAIT_S)
    if not (closed or own_failure):
        return False
    return any(
        stop.started_at <= sent.ended_at
        and (stop.exited_at is None or sent.sent_at <= stop.exited_at + AFTER_STOP_S)
        for stop in stops
    )


def place_of(sent: Sent, runs: Runs) -> str:
    """Return where a request was when its caller gave up."""
    found = runs.get(sent.request_id)
    if not found:
        return sent.place if sent.place != "read" else "read, not run"
    last = found[-1]
    if not 0.0 < last.ended_at <= sent.ended_at:
        return "at its server"
    return "given up at its server" if last.status is None else "after its server"


def figures_of(seen: StepObservation) -> dict[str, Any]:
    """Return the figures of a step; rates are per second of the step, unless said."""
    runs, requests = merge_runs(seen), all_sent(seen)
    seconds, ends_at = seen.load.seconds, seen.started_at + seen.load.seconds
    served = [sent for sent in requests if is_served(sent)]
    refused = [sent for sent in requests if is_refused(sent)]
    unanswered = [sent for sent in requests if sent.failure == NO_ANSWER]
    own = [s for s in requests if s.status in OWN_FAILURES and not s.stamped]
    by_status = Counter(str(sent.status) for sent in refused)
    server_calls = sum(
        run.arrived_at <= ends_at for found in runs.values() for run in found
    )
    nested: Counter[str] = Counter()
    for report in seen.reports:
        nested.update(report.nested)
    return {
        "offered_per_s": round(len(requests) / seconds, 1),
        "served_per_s": _served_per_s(seen, served),
        "server_calls_per_s": round(server_calls / seconds, 1),
        "refused_per_s": {
            status: round(count / seconds, 1)
            for status, count in sorted(by_status.items())
        },
        "sent": len(requests),
        "served": len(served),
        "refused": len(refused),
        "late_successes": sum(s.status == OK for s in requests) - len(served),
        "errors_of_servers": sum(s.stamped and s.status != OK for s in requests),
        "own_502_504": len(own),
        "ran_yet_own_502_503_504": sum(ran_yet_failed(s, runs) for s in requests),
        "ran_yet_refused": sum(ran_yet_refused(s, runs) for s in requests),
        "no_answer": len(unanswered),
        "no_answer_places": dict(Counter(place_of(s, runs) for s in unanswered)),
        "closed": sum(sent.failure == CLOSED for sent in requests),
        "closed_late": sum(
            s.failure == CLOSED and s.ended_at - s.sent_at > UNREAD_WAIT_S
            for s in requests
        ),
        "cut_by_stops": sum(
            was_cut(sent, runs, seen.stops_by_machine.get(sent.machine, ()))
            for sent in requests
        ),
        "served_ms": _times_ms(served),
        "refused_ms": _times_ms(refused),
        "nested": dict(sorted(nested.items())),
        "daemon_cores": round(seen.daemon_cores, 2),
        "other_cores": round(seen.other_cores, 2),
        "stolen_cores": round(seen.stolen_cores, 2),
        "worker_cores": [
            round(report.processor_s / seconds, 2) for report in seen.reports
        ],
        "worker_lag_ms": round(
            max(report.longest_lag_s for report in seen.reports) * MS_PER_S
        ),
        "peak_mib": seen.peak_mib,
        "loop_blocked": seen.blocked,
        "links_lost": seen.links_lost,
        "stops": sum(len(stops) for stops in seen.stops_by_machine.values()),
        "late_stops": len(seen.late_ends),
        "late_ends": seen.late_ends,
        "own_ends": seen.own_ends,
        "ready_s_most": round(max(seen.ready_times, default=0.0), 1),
        "never_ready": seen.never_ready,
    }


def _served_per_s(seen: StepObservation, served: Sequence[Sent]) -> float:
    """Return the successes a second until the load ends, without its first seconds."""
    start, end = seen.started_at, seen.started_at + seen.load.seconds
    # In a short step nothing is left out.
    start = start if seen.load.seconds <= LEFT_OUT_S else start + LEFT_OUT_S
    count = sum(start <= sent.ended_at <= end for sent in served)
    return round(count / (end - start), 1)


def _times_ms(requests: Sequence[Sent]) -> dict[str, float]:
    """Return the median and the 99th percentile of the times of requests, ms."""
    times_ms = [(sent.ended_at - sent.sent_at) * MS_PER_S for sent in requests]
    if not times_ms:
        return {}
    return {
        "p50": round(percentile(times_ms, 0.5), 1),
        "p99": round(percentile(times_ms, 0.99), 1),
    }
