"""One run of the overload benchmark: requests, system and figures."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from bench.overload_fleet import Fleet, Policy
from bench.overload_load import (
    Case,
    PoolSpec,
    Request,
    Schedule,
    Topology,
    make_requests,
)
from bench.overload_measure import Measures, Point, measure, timeline
from bench.overload_naive import NaiveSystem
from bench.overload_ours import OurSystem
from bench.virtual_time import Events, FakeServer

HARD_CLIENT_RETRY_DELAY_S = 0.1
HARD_CLIENT_MAX_ATTEMPTS = 11
FREE_SHARE = 0.1


class System(Protocol):
    """A system that handles requests."""

    def submit(self, request: Request, ended: Callable[[Request, bool], None]) -> None:
        """
        Run a request; set `answered_at` when its complete response arrives.

        Calls `ended` with the request and whether its caller may retry it.
        """
        ...


@dataclass(frozen=True, slots=True)
class RunSpec:
    """One run: `system` is "ours" or "naive"."""

    system: str
    topology: Topology
    case: Case
    schedule: Schedule
    seed: int
    policy: Policy
    knee_share: float = 1.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """Figures and timeline of one run."""

    measures: Measures
    points: list[Point]


class Callers:
    """Callers that send requests and, with `hard_clients`, retry them at once."""

    def __init__(
        self, events: Events, case: Case, system: System, servers: list[FakeServer]
    ) -> None:
        self._events = events
        self._case = case
        self._system = system
        self._servers_by_pool: dict[str, list[FakeServer]] = {}
        for server in servers:
            self._servers_by_pool.setdefault(server.pool, []).append(server)

    def send(self, request: Request) -> None:
        """Submit one attempt of a request."""
        request.caller_attempts += 1
        self._system.submit(request, self._ended)

    def _ended(self, request: Request, may_retry: bool) -> None:
        now = self._events.now
        if request.answered_at is not None:
            request.ended_at = now
            return
        retry_at = now + HARD_CLIENT_RETRY_DELAY_S
        has_attempts_left = request.caller_attempts < HARD_CLIENT_MAX_ATTEMPTS
        retries_at_once = self._case.hard_clients and may_retry and has_attempts_left
        if retries_at_once and retry_at < request.deadline:
            self._events.after(HARD_CLIENT_RETRY_DELAY_S, self.send, request)
            return
        request.ended_at = now
        request.wrongful = not request.lost and self._has_free_capacity()

    def _has_free_capacity(self) -> bool:
        """Return whether each pool has at least a tenth of its slots free."""
        for servers in self._servers_by_pool.values():
            slots = sum(server.slots for server in servers)
            running = sum(server.running for server in servers)
            if running > (1.0 - FREE_SHARE) * slots:
                return False
        return True


def run(spec: RunSpec) -> RunResult:
    """Run one system in one case; the same seed gives the same load."""
    events = Events()
    rng = Random(spec.seed + 1)
    servers = [
        _server(events, rng, pool, number, spec.knee_share)
        for pool in spec.topology.pools
        for number in range(pool.servers)
    ]
    system = _system(spec, events, servers, rng)
    callers = Callers(events, spec.case, system, servers)
    requests = make_requests(spec.topology, spec.case, spec.schedule, spec.seed)
    events.after(
        spec.schedule.cause_at, _set_slowness, servers, spec, spec.case.slowness
    )
    events.after(spec.schedule.ends_at, _set_slowness, servers, spec, 1.0)
    for request in requests:
        events.run(request.arrived_at)
        callers.send(request)
    events.run(spec.schedule.load_until + 2 * spec.topology.deadline_s)
    measures = measure(spec.topology, spec.case, spec.schedule, requests)
    return RunResult(measures, timeline(spec.schedule, requests))


def _system(
    spec: RunSpec, events: Events, servers: list[FakeServer], rng: Random
) -> System:
    if spec.system == "naive":
        queue_per_slot = spec.policy.naive_queue_per_slot
        return NaiveSystem(events, spec.topology, servers, rng, queue_per_slot)
    fleet = Fleet(events, spec.topology, rng, spec.policy)
    return OurSystem(fleet, servers)


def _server(
    events: Events, rng: Random, pool: PoolSpec, number: int, knee_share: float
) -> FakeServer:
    return FakeServer(
        events,
        Random(rng.random()),
        instance=f"{pool.name}-{number}",
        pool=pool.name,
        slots=pool.slots,
        mean_s=pool.mean_s,
        knee=max(1, int(pool.slots * knee_share)),
    )


def _set_slowness(servers: list[FakeServer], spec: RunSpec, slowness: float) -> None:
    """Set the slowness of the last pool of the chain."""
    last_pool = spec.topology.pools[-1].name
    for server in servers:
        if server.pool == last_pool:
            server.slowness = slowness
