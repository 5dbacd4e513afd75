"""Topologies, cases and requests of the overload benchmark."""

from dataclasses import dataclass
from random import Random

WORKSPACE_SHARES = (0.30, 0.24, 0.18, 0.10, 0.07, 0.05, 0.04, 0.02)
RANK_SHARES = (0.10, 0.40, 0.50)
BASE_LOAD = 0.8
GREEDY_WORKSPACE = 2
GREEDY_FACTOR = 5.0
LOST_RESPONSE_SHARE = 0.001


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """A pool: its servers, slots per server and mean work per request in seconds."""

    name: str
    servers: int
    slots: int
    mean_s: float


@dataclass(frozen=True, slots=True)
class Topology:
    """A chain of pools that call each other; callers call the first one."""

    name: str
    pools: tuple[PoolSpec, ...]
    deadline_s: float

    def capacity_per_s(self, slowness: float = 1.0) -> float:
        """Return the complete requests per second, with the last pool slowed."""
        held_s = 0.0
        capacity = float("inf")
        for pool in reversed(self.pools):
            is_last = pool is self.pools[-1]
            held_s += pool.mean_s * (slowness if is_last else 1.0)
            capacity = min(capacity, pool.servers * pool.slots / held_s)
        return capacity


CAMPO = Topology("campo", (PoolSpec("campo", 4, 8, 0.05),), 1.0)
FLOCK_WATER = Topology(
    "flock-water",
    (PoolSpec("flock-water", 3, 330, 0.1), PoolSpec("draw-book", 3, 330, 0.2)),
    3.0,
)
TOPOLOGIES = (CAMPO, FLOCK_WATER)


@dataclass(frozen=True, slots=True)
class Case:
    """
    An overload and its cause.

    `surge` multiplies all demand, `slowness` the last pool's work, `greedy` one
    workspace's demand. With `hard_clients` callers retry at once.
    """

    name: str
    cause_s: float
    surge: float = 1.0
    slowness: float = 1.0
    greedy: float = 1.0
    hard_clients: bool = False


CASES = (
    Case("surge", 20.0, surge=4.0),
    Case("slow_deep_service", 10.0, slowness=10.0),
    Case("greedy_workspace", 10.0, greedy=GREEDY_FACTOR),
    Case("hard_clients", 10.0, surge=2.0, hard_clients=True),
    Case("slow_and_hard_clients", 10.0, slowness=10.0, hard_clients=True),
)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Start and length of the cause and the load after it, in virtual seconds."""

    cause_at: float
    cause_s: float
    after_s: float

    @property
    def ends_at(self) -> float:
        """Return the time at which the cause ends."""
        return self.cause_at + self.cause_s

    @property
    def load_until(self) -> float:
        """Return the time at which requests stop arriving."""
        return self.ends_at + self.after_s


@dataclass(slots=True)
class Request:
    """A request of a caller and its outcome."""

    number: int
    workspace: str
    rank: int
    arrived_at: float
    deadline: float
    runs: int = 0
    deep_runs: int = 0
    attempts: int = 0
    held_s: float = 0.0
    answered_at: float | None = None
    ended_at: float | None = None
    lost: bool = False
    wrongful: bool = False
    caller_attempts: int = 0

    @property
    def idempotent(self) -> bool:
        """Return whether it may run more than once; requests of rank 0 may not."""
        return self.rank > 0

    @property
    def completed_in_time(self) -> bool:
        """Return whether the complete response arrived before the deadline."""
        return self.answered_at is not None and self.answered_at <= self.deadline


def make_requests(
    topology: Topology, case: Case, schedule: Schedule, seed: int
) -> list[Request]:
    """Return the requests of one run; the same seed gives the same requests."""
    rng = Random(seed)
    base_per_s = BASE_LOAD * topology.capacity_per_s()
    requests: list[Request] = []
    for index, share in enumerate(WORKSPACE_SHARES):
        now = 0.0
        while True:
            rate_per_s = base_per_s * share * _demand_factor(case, schedule, index, now)
            now += rng.expovariate(rate_per_s)
            if now >= schedule.load_until:
                break
            rank = rng.choices(range(len(RANK_SHARES)), RANK_SHARES)[0]
            requests.append(
                Request(0, f"w{index}", rank, now, now + topology.deadline_s)
            )
    requests.sort(key=lambda request: request.arrived_at)
    for number, request in enumerate(requests):
        request.number = number
    return requests


def _demand_factor(case: Case, schedule: Schedule, index: int, now: float) -> float:
    """Return the factor on a workspace's demand at a time."""
    if not schedule.cause_at <= now < schedule.ends_at:
        return 1.0
    greedy = case.greedy if index == GREEDY_WORKSPACE else 1.0
    return case.surge * greedy
