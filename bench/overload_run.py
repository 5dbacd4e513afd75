"""One run of the overload bench: requests, a system and what it measures."""

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

HARD_CLIENT_WAIT_S = 0.1
HARD_CLIENT_TRIES = 11
FREE_SHARE = 0.1


class System(Protocol):
    """Takes requests and answers them."""

    def submit(self, request: Request, ended: Callable[[Request, bool], None]) -> None:
        """
        Run a request; set `answered_at` where its whole answer came.

        `ended` is called with whether the caller may send it again.
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
    """Figures and course of one run."""

    measures: Measures
    points: list[Point]


class Callers:
    """Send the requests, and again at once where the case says so."""

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
        """Send a request."""
        request.tries += 1
        self._system.submit(request, self._ended)

    def _ended(self, request: Request, may_retry: bool) -> None:
        now = self._events.now
        if request.answered_at is not None:
            request.ended_at = now
            return
        again_s = now + HARD_CLIENT_WAIT_S
        tries_left = request.tries < HARD_CLIENT_TRIES
        hard = self._case.hard_clients and may_retry and tries_left
        if hard and again_s < request.deadline:
            self._events.after(HARD_CLIENT_WAIT_S, self.send, request)
            return
        request.ended_at = now
        request.wrongful = not request.lost and self._capacity_free()

    def _capacity_free(self) -> bool:
        """Tell whether each pool had a tenth of its slots or more to spare."""
        for servers in self._servers_by_pool.values():
            slots = sum(server.slots for server in servers)
            running = sum(server.running for server in servers)
            if running > (1.0 - FREE_SHARE) * slots:
                return False
        return True


def run(spec: RunSpec) -> RunResult:
    """Run one system under one case; the same seed gives the same load."""
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
    events.after(spec.schedule.cause_at, _slow, servers, spec, spec.case.slowness)
    events.after(spec.schedule.ends_at, _slow, servers, spec, 1.0)
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


def _slow(servers: list[FakeServer], spec: RunSpec, slowness: float) -> None:
    """Change how slow the last pool of the chain is."""
    last = spec.topology.pools[-1].name
    for server in servers:
        if server.pool == last:
            server.slowness = slowness
