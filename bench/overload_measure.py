"""What the overload bench measures of one run."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from bench.overload_load import Case, Request, Schedule, Topology

BIN_S = 0.25
RECOVERED_SHARE = 0.95
RECOVERED_BINS = 4
MIN_DUE_REQUESTS = 10.0
SETTLED_AFTER_WORKS = 2.0


@dataclass(frozen=True, slots=True)
class Measures:
    """The figures of one run; times in seconds, shares from 0 to 1."""

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
    """One bin of a run over time, for plots: rates in 1/s, latency in s."""

    at_s: float
    offered_per_s: float
    goodput_per_s: float
    latency_p50_s: float
    latency_p99_s: float


def measure(
    topology: Topology, case: Case, schedule: Schedule, requests: list[Request]
) -> Measures:
    """Return the figures of one run, whose requests have all ended."""
    during = [
        request
        for request in requests
        if schedule.cause_at <= request.arrived_at < schedule.ends_at
    ]
    capacity_per_s = topology.capacity_per_s(case.slowness)
    capacity = capacity_per_s * schedule.cause_s
    due = _due_by_workspace(during, capacity)
    good = Counter(request.workspace for request in during if request.good)
    shares = {
        name: good[name] / wanted
        for name, wanted in due.items()
        if wanted >= MIN_DUE_REQUESTS
    }
    worst = min(shares, key=lambda name: shares[name])
    refused = Counter(request.rank for request in requests if not request.good)
    by_rank = Counter(request.rank for request in requests)
    held_s = sum(request.held_s for request in requests)
    wasted_s = sum(request.held_s for request in requests if not request.good)
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
            if request.good and request.answered_at is not None
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
    Return whole answers given while the cause lasts, of what could be given.

    Work from before the cause is left time to end.
    """
    work_s = sum(pool.mean_s for pool in topology.pools)
    begin_s = schedule.cause_at + SETTLED_AFTER_WORKS * work_s
    end_s = schedule.ends_at
    given = sum(
        begin_s <= request.answered_at < end_s
        for request in requests
        if request.good and request.answered_at is not None
    )
    asked = sum(begin_s <= request.arrived_at < end_s for request in requests)
    return round(given / min(capacity_per_s * (end_s - begin_s), asked), 4)


def _ran_twice(request: Request) -> bool:
    return not request.idempotent and max(request.runs, request.deep_runs) > 1


def _due_by_workspace(requests: list[Request], capacity: float) -> dict[str, float]:
    """
    Return how many requests of each workspace there was capacity for.

    Capacity goes to the most important rank first, and within a rank in equal
    shares to the workspaces, as far as they ask.
    """
    due: dict[str, float] = {}
    for rank in sorted({request.rank for request in requests}):
        asked = Counter(item.workspace for item in requests if item.rank == rank)
        given = _fair_shares(asked, capacity)
        capacity -= sum(given.values())
        for name, count in given.items():
            due[name] = due.get(name, 0.0) + count
    return due


def _fair_shares(asked: Counter[str], capacity: float) -> dict[str, float]:
    """Share capacity out equally, giving nobody more than was asked."""
    given: dict[str, float] = {}
    left = capacity
    ordered = sorted(asked.items(), key=lambda item: item[1])
    for place, (name, count) in enumerate(ordered):
        given[name] = min(float(count), left / (len(ordered) - place))
        left -= given[name]
    return given


def _recovery_s(schedule: Schedule, requests: list[Request]) -> float | None:
    """
    Return the time after the cause's end until requests are answered again.

    That is the start of the first second in which, at each quarter, 95% of the
    arriving requests get their answer in time; None where there is none.
    """
    in_a_row = 0
    for start_s, arrived in _bins(schedule.ends_at, schedule.load_until, requests):
        good = sum(request.good for request in arrived)
        served = good >= RECOVERED_SHARE * len(arrived)
        in_a_row = in_a_row + 1 if served else 0
        if in_a_row == RECOVERED_BINS:
            return round(start_s - (RECOVERED_BINS - 1) * BIN_S - schedule.ends_at, 3)
    return None


def _bins(
    begin_s: float, end_s: float, requests: list[Request]
) -> Iterable[tuple[float, list[Request]]]:
    count = round((end_s - begin_s) / BIN_S)
    arrived: list[list[Request]] = [[] for _ in range(count)]
    for request in requests:
        place = int((request.arrived_at - begin_s) / BIN_S)
        if begin_s <= request.arrived_at and place < count:
            arrived[place].append(request)
    return [(begin_s + place * BIN_S, item) for place, item in enumerate(arrived)]


def _quantile(ordered: list[float], quantile: float) -> float:
    return ordered[int(quantile * (len(ordered) - 1))] if ordered else 0.0
