"""Events in virtual time and the fake backend servers of the policy benches."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

WORK_SHAPE = 4.0
CROWDED_POWER = 1.5


class Events:
    """Runs callbacks in order of virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = count()

    def after(self, delay_s: float, step: Callable[..., None], *args: Any) -> None:
        """Call `step(*args)` after a time."""
        due = self.now + delay_s
        heappush(self._heap, (due, next(self._numbers), step, args))

    def run(self, until: float) -> None:
        """Run all that is due before a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, step, args = heappop(self._heap)
            step(*args)
        self.now = until


class Job:
    """One request's work at a server; `alive` until it ends or is cancelled."""

    __slots__ = ("alive", "started_at")

    def __init__(self, started_at: float) -> None:
        self.alive = True
        self.started_at = started_at


class FakeServer:
    """
    A backend server: work takes as long as drawn, times its slowness.

    Work gets slower once more than `knee` requests run, by so much that running
    more brings less.
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
        """Take a slot for a request."""
        self.running += 1
        return Job(self._events.now)

    def work(self, job: Job, then: Callable[..., None], *args: Any) -> None:
        """Work for a drawn time, then go on unless the job was cancelled."""
        drawn_s = self._rng.gammavariate(WORK_SHAPE, self._mean_s / WORK_SHAPE)
        crowded = max(1.0, self.running / self._knee) ** CROWDED_POWER
        self._events.after(
            drawn_s * self.slowness * crowded, self._go_on, job, then, args
        )

    def end(self, job: Job) -> float:
        """Free the slot and return the seconds it was held; also cancels."""
        if not job.alive:
            return 0.0
        job.alive = False
        self.running -= 1
        held_s = self._events.now - job.started_at
        self.busy_s += held_s
        return held_s

    def _go_on(
        self, job: Job, then: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        if job.alive:
            then(*args)
