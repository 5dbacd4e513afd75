"""Tests of the limit of the useful slots, against a server in virtual time."""

import heapq
import unittest
from collections.abc import Callable
from random import Random

from damaskbay.core.admission.limit import CallSample, ConcurrencyLimit, FixedLimit
from damaskbay.core.admission.useful_limit import MIN_USED_SHARE, UsefulLimit
from tests.common import function_suite

SLOTS = 12
SLOW_DOWN = 1.3
FULL_SHARE = 0.95

MIXED = {"short": (0.03, 0.5), "middle": (0.1, 0.35), "long": (0.365, 0.15)}
"""Mean time in seconds and share of the calls of each route."""

ONE_ROUTE = {"one": (0.365, 1.0)}

SpeedModel = Callable[[int, float], float]
Routes = dict[str, tuple[float, float]]


def _even(running: int, now: float) -> float:
    """Return the speed of a server that doesn't slow down."""
    return 1.0


def _slows_down(running: int, now: float) -> float:
    """Return the speed of a server that slows down when nearly all slots are used."""
    return 1.0 / SLOW_DOWN if running > FULL_SHARE * SLOTS else 1.0


class _Server:
    """
    A server whose calls all progress at a speed that depends on their number.

    Calls arrive at `load_per_s` work per second, or always wait if it is None.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        speed: SpeedModel,
        *,
        routes: Routes | None = None,
        load_per_s: float | None = None,
        seed: int = 1,
        nested_share: float = 0.0,
        slots: int = SLOTS,
    ) -> None:
        self.limit = limit
        self.speed = speed
        self.routes = routes or MIXED
        self.rng = Random(seed)
        self.now = 0.0
        self.done = 0.0
        self.below_slots_s = 0.0
        self._slots = slots
        self._progress = 0.0
        self._running: list[tuple[float, int, str, float, float]] = []
        self._started = 0
        self._waiting = 0
        self._nested_share = nested_share
        mean_s = sum(mean * share for mean, share in self.routes.values())
        self._arrivals_per_s = None if load_per_s is None else load_per_s / mean_s
        self._next_arrival = 0.0

    def run(self, seconds: float) -> float:
        """Run for some time; return the work done per second."""
        until, done = self.now + seconds, self.done
        while self.now < until:
            self._start()
            self._step(until)
        return (self.done - done) / seconds

    def _start(self) -> None:
        while len(self._running) < self.limit.value() and (
            self._waiting or self._arrivals_per_s is None
        ):
            self._waiting -= self._arrivals_per_s is not None
            self._started += 1
            names = list(self.routes)
            weights = [share for _, share in self.routes.values()]
            route = self.rng.choices(names, weights)[0]
            work_s = self.routes[route][0] * self.rng.lognormvariate(-0.045, 0.3)
            item = (self._progress + work_s, self._started, route, work_s, self.now)
            heapq.heappush(self._running, item)

    def _step(self, until: float) -> None:
        """Move on to the next end of a call or the next arrival."""
        speed = self.speed(len(self._running), self.now)
        next_end = until
        if self._running and speed:
            left = self._running[0][0] - self._progress
            next_end = self.now + left / speed
        # A speed that depends on time is looked up again every 10 ms.
        at = min(next_end, until, self.now + 0.01)
        if self._arrivals_per_s is not None:
            at = min(at, max(self.now, self._next_arrival))
        if self.limit.value() < self._slots:
            self.below_slots_s += at - self.now
        self._progress += speed * (at - self.now)
        self.now = at
        if self._arrivals_per_s is not None and at >= self._next_arrival:
            self._waiting += 1
            self._next_arrival = at + self.rng.expovariate(self._arrivals_per_s)
        if at == next_end and self._running and speed:
            _, _, route, work_s, started = heapq.heappop(self._running)
            self.done += work_s
            nested = self.rng.random() < self._nested_share
            took_s = at - started
            sample = CallSample(took_s, route=route, has_nested=nested)
            self.limit.observe(sample, len(self._running) + 1, at)


def _gain(speed: SpeedModel, seconds: float, **options: object) -> float:
    """Return the throughput with the limit relative to that with all slots."""
    useful = _Server(UsefulLimit(SLOTS, 0.0), speed, **options)  # type: ignore[arg-type]
    fixed = _Server(FixedLimit(SLOTS), speed, **options)  # type: ignore[arg-type]
    return useful.run(seconds) / fixed.run(seconds)


# Guards against a full server that does a fifth less than with one slot free.
def test_a_server_that_slows_down_does_more() -> None:
    """The limit follows within seconds, for one route and for a mix."""
    for routes in (ONE_ROUTE, MIXED):
        gains = []
        for seed in range(8):
            gains.append(_gain(_slows_down, 60.0, routes=routes, seed=seed))
        # All slots do 9.2, eleven of them 11.
        assert min(gains) >= 1.12, gains


# Guards against slots that are left free at a server that doesn't slow down.
def test_a_server_that_does_not_slow_down_keeps_its_slots() -> None:
    """In the first minute, which has the most trials, they cost little of its time."""
    for routes, most in ((ONE_ROUTE, 0.02), (MIXED, 0.01)):
        lost = []
        for seed in range(8):
            server = _Server(UsefulLimit(SLOTS, 0.0), _even, routes=routes, seed=seed)
            server.run(60.0)
            lost.append(server.below_slots_s / 60.0 / SLOTS)
        assert sum(lost) / len(lost) <= most, lost


# Guards against trials at a server that has slots free anyway.
def test_nothing_is_tried_while_the_server_is_not_full() -> None:
    """Half of the slots are used."""
    limit = UsefulLimit(SLOTS, 0.0)
    server = _Server(limit, _slows_down, load_per_s=0.5 * SLOTS)
    server.run(60.0)
    assert server.below_slots_s <= 0.6, server.below_slots_s


# Guards against a limit that stays after its cause, or that is never learned.
def test_the_limit_follows_a_server_that_changes() -> None:
    """It is replaced by one that doesn't slow down, and that one by the first kind."""

    def changing(running: int, now: float) -> float:
        return _even(running, now) if 30.0 <= now < 130.0 else _slows_down(running, now)

    for seed in range(4):
        server = _Server(UsefulLimit(SLOTS, 0.0), changing, seed=seed)
        server.run(30.0)
        server.run(25.0)
        assert server.run(70.0) >= 0.985 * SLOTS, seed
        server.run(65.0)
        assert server.run(30.0) >= 0.97 * (SLOTS - 1), seed


# Guards against a fault of the server or of another one that is taken for the slots.
def test_other_changes_of_speed_cost_little() -> None:
    """A server that turns slow for seconds, and calls that wait for others."""

    def faulty(running: int, now: float) -> float:
        return 0.2 if int(now) % 10 < 3 else 1.0

    for seed in range(4):
        assert _gain(faulty, 60.0, seed=seed) >= 0.97, seed
    limit = UsefulLimit(SLOTS, 0.0)
    server = _Server(limit, _slows_down, nested_share=0.9)
    server.run(30.0)
    assert server.below_slots_s == 0.0


# Guards against a limit below three quarters of the slots, or below one.
def test_the_limit_has_a_lower_bound() -> None:
    """Few slots are always used; changed slots begin anew."""
    for slots in (1, 2, 3, 4, 11, 12, 23, 60):
        limit = UsefulLimit(slots, 0.0)
        server = _Server(
            limit,
            lambda running, now, slots=slots: 0.7 if running == slots else 1.0,  # type: ignore[misc]
            slots=slots,
        )
        server.run(20.0)
        assert max(1, MIN_USED_SHARE * slots) <= limit.value() <= slots
        assert slots > 3 or limit.value() == slots
        limit.set_slots(slots + 5)
        assert limit.value() == slots + 5


# Guards against a limit of an earlier server that holds for the one after it.
def test_a_restarted_server_gets_all_slots() -> None:
    """What was learned of the earlier start is dropped."""
    limit = UsefulLimit(SLOTS, 0.0)
    server = _Server(limit, _slows_down)
    while limit.value() == SLOTS and server.now < 20.0:
        server.run(0.1)
    assert limit.value() == SLOTS - 1
    limit.forget(server.now)
    assert limit.value() == SLOTS


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
