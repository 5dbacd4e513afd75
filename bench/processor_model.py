"""
Model of daemons that share one core: served against offered load, in virtual time.

Without a guard, all requests that arrive are begun; with it, each daemon's
ProcessorGuard decides by the lateness of the daemon's timer.
"""

import json
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from bench.common import parser
from bench.virtual_time import Events
from damaskbay.core.admission import Decision, PendingCall, StartDecision
from damaskbay.core.call import CallContext
from damaskbay.core.processor_guard import ProcessorGuard
from damaskbay.helpers.loop_monitor import CHECK_INTERVAL_S

DAEMONS = 14
CALLS = 10
CALL_COST_S = 0.0014
"""Processor time of one server call, seconds."""

READ_COST_S = 0.0001
REFUSAL_COST_S = 0.0002
SERVER_S = 0.02
TIME_LIMIT_S = 6.0
RANKS = 2
CAPACITY_PER_S = 1.0 / (CALLS * CALL_COST_S + READ_COST_S)
FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0)


@dataclass(slots=True)
class _Request:
    number: int
    rank: int
    arrived_at: float
    calls_left: int = CALLS
    begun: bool = False

    def expired(self, now: float) -> bool:
        return now - self.arrived_at >= TIME_LIMIT_S


@dataclass(slots=True)
class LoadResult:
    """Requests of one load by how they ended; latencies in seconds."""

    offered: int = 0
    served: int = 0
    refused: int = 0
    unanswered: int = 0
    latencies_s: list[float] = field(default_factory=list)


class _Core:
    """One core that runs tasks in the order in which they became ready."""

    def __init__(self, events: Events) -> None:
        self._events = events
        self._tasks: deque[tuple[float, Callable[[], None]]] = deque()
        self._busy = False

    def run(self, cost_s: float, then: Callable[[], None]) -> None:
        self._tasks.append((cost_s, then))
        if not self._busy:
            self._next()

    def _next(self) -> None:
        self._busy = bool(self._tasks)
        if self._busy:
            cost_s, then = self._tasks.popleft()
            self._events.after(cost_s, self._end, then)

    def _end(self, then: Callable[[], None]) -> None:
        then()
        self._next()


class _Daemon:
    """Serves requests on the core, each with server calls one after the other."""

    def __init__(
        self,
        events: Events,
        core: _Core,
        rng: Random,
        result: LoadResult,
        guarded: bool,
    ) -> None:
        self._events, self._core, self._result = events, core, result
        self._guard = ProcessorGuard(rng, 0.0) if guarded else None
        self._waiting: dict[int, _Request] = {}
        if guarded:
            self._sample()

    def arrive(self, request: _Request) -> None:
        self._core.run(READ_COST_S, lambda: self._read(request))

    def _read(self, request: _Request) -> None:
        guard, now = self._guard, self._events.now
        if guard is None or guard.start_at_once(now):
            self._begin(request)
        elif guard.refuse_at_once(request.rank, now) is not None:
            self._refuse(request)
        else:
            context = CallContext(
                "", "", request.rank, request.arrived_at + TIME_LIMIT_S, "", "", True
            )
            self._waiting[request.number] = request
            self._apply(guard.offer(PendingCall(request.number, context), now))

    def _sample(self) -> None:
        due_at = self._events.now + CHECK_INTERVAL_S
        self._events.after(
            CHECK_INTERVAL_S, self._core.run, 0.0, lambda: self._check(due_at)
        )

    def _check(self, due_at: float) -> None:
        assert self._guard is not None
        now = self._events.now
        self._apply(self._guard.record_lateness(now - due_at, now))
        self._sample()

    def _apply(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            request = self._waiting.pop(decision.ticket)
            if isinstance(decision, StartDecision):
                self._begin(request)
            else:
                self._refuse(request)

    def _begin(self, request: _Request) -> None:
        request.begun = True
        self._next_call(request)

    def _next_call(self, request: _Request) -> None:
        if request.expired(self._events.now):
            self._result.unanswered += 1
            self._leave(request)
        elif request.calls_left == 0:
            self._result.served += 1
            self._result.latencies_s.append(self._events.now - request.arrived_at)
            self._leave(request)
        else:
            request.calls_left -= 1
            self._core.run(
                CALL_COST_S,
                lambda: self._events.after(SERVER_S, self._next_call, request),
            )

    def _refuse(self, request: _Request) -> None:
        def end() -> None:
            late = request.expired(self._events.now)
            self._result.unanswered += late
            self._result.refused += not late

        self._core.run(REFUSAL_COST_S, end)

    def _leave(self, request: _Request) -> None:
        if self._guard is not None:
            now = self._events.now
            self._guard.record_duration(now - request.arrived_at, TIME_LIMIT_S)
            self._apply(self._guard.finish(now))


def measure(
    factor: float, duration_s: float, seed: int, *, guarded: bool
) -> LoadResult:
    """Offer `factor` times the capacity for a while; return how requests ended."""
    events, rng, result = Events(), Random(seed), LoadResult()
    core = _Core(events)
    daemons = [_Daemon(events, core, rng, result, guarded) for _ in range(DAEMONS)]
    at = 0.0
    while (at := at + rng.expovariate(factor * CAPACITY_PER_S)) < duration_s:
        result.offered += 1
        request = _Request(result.offered, rng.randrange(RANKS), at)
        events.after(at, rng.choice(daemons).arrive, request)
    events.run(duration_s + TIME_LIMIT_S)
    result.unanswered = result.offered - result.served - result.refused
    return result


def main(arguments: Sequence[str]) -> int:
    """Print served against offered load, with and without the guard."""
    options = parser(__doc__ or "").parse_args(arguments)
    duration_s = 20.0 if options.quick else 60.0
    for guarded in (False, True):
        for factor in FACTORS:
            result = measure(factor, duration_s, options.seed, guarded=guarded)
            latencies_s = sorted(result.latencies_s) or [0.0]
            row = {
                "guarded": guarded,
                "offered_by_capacity": factor,
                "served_by_capacity": round(
                    result.served / duration_s / CAPACITY_PER_S, 3
                ),
                "refused": result.refused,
                "unanswered": result.unanswered,
                "p99_s": round(latencies_s[int(0.99 * (len(latencies_s) - 1))], 3),
            }
            print(json.dumps(row))
    return 0
