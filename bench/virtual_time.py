"""Discrete events in virtual time, and simulated backend servers."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

WORK_GAMMA_SHAPE = 4.0
OVERLOAD_EXPONENT = 1.5


class Events:
    """Event loop in virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = count()

    def after(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule `callback(*args)` after a delay."""
        due_at = self.now + delay_s
        heappush(self._heap, (due_at, next(self._sequence), callback, args))

    def run(self, until: float) -> None:
        """Run all events that are due at or before a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, args = heappop(self._heap)
            callback(*args)
        self.now = until


class Job:
    """Work of one request at a server; `alive` until it ends or is cancelled."""

    __slots__ = ("alive", "started_at")

    def __init__(self, started_at: float) -> None:
        self.alive = True
        self.started_at = started_at


class FakeServer:
    """
    Simulated backend server with random work times, scaled by its slowness.

    If more than `knee` requests run, work slows so much that throughput drops
    with each further request.
    """

    def __init__(
        self,
        events: Events,
        rng: Random,
        *,
        instance: str,
        pool: str,
        slots: int,
        mean_s: float,
        knee: int,
    ) -> None:
        self.instance = instance
        self.pool = pool
        self.slots = slots
        self.slowness = 1.0
        self.running = 0
        self.busy_s = 0.0
        self._events = events
        self._rng = rng
        self._mean_s = mean_s
        self._knee = knee

    def begin(self) -> Job:
        """Occupy a slot for a request."""
        self.running += 1
        return Job(self._events.now)

    def work(self, job: Job, then: Callable[..., None], *args: Any) -> None:
        """Call `then` after a random work time, unless the job was cancelled."""
        work_s = self._rng.gammavariate(
            WORK_GAMMA_SHAPE, self._mean_s / WORK_GAMMA_SHAPE
        )
        overload_factor = max(1.0, self.running / self._knee) ** OVERLOAD_EXPONENT
        self._events.after(
            work_s * self.slowness * overload_factor, self._complete, job, then, args
        )

    def end(self, job: Job) -> float:
        """Free the slot and return the seconds it was held; cancels running work."""
        if not job.alive:
            return 0.0
        job.alive = False
        self.running -= 1
        held_s = self._events.now - job.started_at
        self.busy_s += held_s
        return held_s

    def _complete(
        self, job: Job, then: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        if job.alive:
            then(*args)
