"""Figures of one run of the overload benchmark."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from bench.overload_load import Case, Request, Schedule, Topology

BIN_S = 0.25
RECOVERED_SHARE = 0.95
RECOVERED_BINS = 4
MIN_DUE_REQUESTS = 10.0
SETTLE_WORK_TIMES = 2.0


@dataclass(frozen=True, slots=True)
class Measures:
    """Figures of one run; times in seconds, shares from 0 to 1."""

    goodput_share: float
    recovery_s: float | None
    worst_workspace_share: float
    worst_workspace: str
    wrongful_refusals: int
    refusals_by_priority: dict[str, int]
    refused_share_by_priority: dict[str, float]
    attempts_per_request: float
    ran_twice: int
    wasted_work_share: float
    requests: int


@dataclass(frozen=True, slots=True)
class Point:
    """One time bin of a run, for plots; rates in 1/s, latencies in seconds."""

    at_s: float
    offered_per_s: float
    goodput_per_s: float
    latency_p50_s: float
    latency_p99_s: float


def measure(
    topology: Topology, case: Case, schedule: Schedule, requests: list[Request]
) -> Measures:
    """Return the figures of one run; all its requests must have ended."""
    during = [
        request
        for request in requests
        if schedule.cause_at <= request.arrived_at < schedule.ends_at
    ]
    capacity_per_s = topology.capacity_per_s(case.slowness)
    capacity = capacity_per_s * schedule.cause_s
    due = _due_by_workspace(during, capacity)
    good = Counter(request.workspace for request in during if request.completed_in_time)
    shares = {
        name: good[name] / due_count
        for name, due_count in due.items()
        if due_count >= MIN_DUE_REQUESTS
    }
    worst = min(shares, key=lambda name: shares[name])
    refused = Counter(
        request.rank for request in requests if not request.completed_in_time
    )
    by_rank = Counter(request.rank for request in requests)
    held_s = sum(request.held_s for request in requests)
    wasted_s = sum(
        request.held_s for request in requests if not request.completed_in_time
    )
    return Measures(
        goodput_share=_goodput_share(topology, schedule, requests, capacity_per_s),
        recovery_s=_recovery_s(schedule, requests),
        worst_workspace_share=round(shares[worst], 4),
        worst_workspace=worst,
        wrongful_refusals=sum(request.wrongful for request in requests),
        refusals_by_priority={str(rank): refused[rank] for rank in sorted(by_rank)},
        refused_share_by_priority={
            str(rank): round(refused[rank] / by_rank[rank], 4)
            for rank in sorted(by_rank)
        },
        attempts_per_request=round(
            sum(request.attempts for request in requests) / len(requests), 3
        ),
        ran_twice=sum(_ran_twice(request) for request in requests),
        wasted_work_share=round(wasted_s / held_s, 4),
        requests=len(requests),
    )


def timeline(schedule: Schedule, requests: list[Request]) -> list[Point]:
    """Return offered load, goodput and latency per bin of arrival."""
    points = []
    for start_s, arrived in _bins(0.0, schedule.load_until, requests):
        latencies = sorted(
            request.answered_at - request.arrived_at
            for request in arrived
            if request.completed_in_time and request.answered_at is not None
        )
        points.append(
            Point(
                start_s,
                len(arrived) / BIN_S,
                len(latencies) / BIN_S,
                _quantile(latencies, 0.5),
                _quantile(latencies, 0.99),
            )
        )
    return points


def _goodput_share(
    topology: Topology,
    schedule: Schedule,
    requests: list[Request],
    capacity_per_s: float,
) -> float:
    """
    Return complete responses during the cause, as a share of what was possible.

    The first two mean work times are left out, so that earlier work can end.
    """
    work_s = sum(pool.mean_s for pool in topology.pools)
    begin_s = schedule.cause_at + SETTLE_WORK_TIMES * work_s
    end_s = schedule.ends_at
    granted = sum(
        begin_s <= request.answered_at < end_s
        for request in requests
        if request.completed_in_time and request.answered_at is not None
    )
    requested = sum(begin_s <= request.arrived_at < end_s for request in requests)
    return round(granted / min(capacity_per_s * (end_s - begin_s), requested), 4)


def _ran_twice(request: Request) -> bool:
    return not request.idempotent and max(request.runs, request.deep_runs) > 1


def _due_by_workspace(requests: list[Request], capacity: float) -> dict[str, float]:
    """
    Return for how many requests of each workspace there was capacity.

    Capacity goes to the most important rank first. Within a rank, workspaces get
    equal shares, up to their demand.
    """
    due: dict[str, float] = {}
    for rank in sorted({request.rank for request in requests}):
        requested = Counter(item.workspace for item in requests if item.rank == rank)
        granted = _fair_shares(requested, capacity)
        capacity -= sum(granted.values())
        for name, count in granted.items():
            due[name] = due.get(name, 0.0) + count
    return due


def _fair_shares(requested: Counter[str], capacity: float) -> dict[str, float]:
    """Divide capacity equally, up to the demand of each workspace."""
    granted: dict[str, float] = {}
    remaining = capacity
    ordered = sorted(requested.items(), key=lambda item: item[1])
    for index, (name, count) in enumerate(ordered):
        granted[name] = min(float(count), remaining / (len(ordered) - index))
        remaining -= granted[name]
    return granted


def _recovery_s(schedule: Schedule, requests: list[Request]) -> float | None:
    """
    Return the time from the end of the cause until requests succeed again.

    That is the start of the first second in which, in each quarter, 95% of the
    arriving requests get their response in time; None if there is no such second.
    """
    bins_in_sequence = 0
    for start_s, arrived in _bins(schedule.ends_at, schedule.load_until, requests):
        good = sum(request.completed_in_time for request in arrived)
        served = good >= RECOVERED_SHARE * len(arrived)
        bins_in_sequence = bins_in_sequence + 1 if served else 0
        if bins_in_sequence == RECOVERED_BINS:
            return round(start_s - (RECOVERED_BINS - 1) * BIN_S - schedule.ends_at, 3)
    return None


def _bins(
    begin_s: float, end_s: float, requests: list[Request]
) -> Iterable[tuple[float, list[Request]]]:
    count = round((end_s - begin_s) / BIN_S)
    arrived: list[list[Request]] = [[] for _ in range(count)]
    for request in requests:
        index = int((request.arrived_at - begin_s) / BIN_S)
        if begin_s <= request.arrived_at and index < count:
            arrived[index].append(request)
    return [(begin_s + index * BIN_S, item) for index, item in enumerate(arrived)]


def _quantile(ordered: list[float], quantile: float) -> float:
    return ordered[int(quantile * (len(ordered) - 1))] if ordered else 0.0
