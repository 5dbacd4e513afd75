"""
Model of call trees above one pool that is too small, in virtual time.

Root calls of four routes begin at several daemons. Their servers, beside any of the
daemons, call one pool several times, one call after the other. The servers of the pool
use the admission controller. At the edge either whole trees are admitted, or, as
before, calls by the average level of a route.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

from bench.common import parser
from bench.virtual_time import Events
from damaskbay.core.admission import (
    AdmissionController,
    CallSample,
    Decision,
    PendingCall,
    StartDecision,
)
from damaskbay.core.admission.level import OPEN_LEVEL, pass_share
from damaskbay.core.call import CallContext, CallResult, PoolReport, Response
from damaskbay.core.outcome import Reason, Refusal, not_run, unknown
from damaskbay.core.routing.const import LEVEL_EXPIRY_S, MIN_PASS_SHARE
from damaskbay.core.trees.admission import TreeAdmission
from damaskbay.core.trees.reports import TreeReports
from damaskbay.core.trees.room import AcceptedShare
from damaskbay.mesh.gate import EXPIRE_INTERVAL_S, admission_options

SERVERS = 6
SLOTS = 11
EDGES = 40
TIME_LIMIT_S = 0.8
GAMMA_SHAPE = 4.0
MAX_TRIES = 3
ATTEMPTS = 2
RANK_WEIGHTS = {3: 0.3, 4: 0.3, 5: 0.4}
POOL = "deep"
_NOTHING = PoolReport(POOL)
CALM_S = 2.0
CALM_LOAD = 0.6


@dataclass(frozen=True, slots=True)
class TreeRoute:
    """Calls of a tree at the pool, each of `call_s`, and its time besides them."""

    calls: int
    call_s: float
    other_s: float
    work_share: float


ROUTES = {
    "big": TreeRoute(8, 0.026, 0.14, 0.33),
    "middle": TreeRoute(4, 0.026, 0.1, 0.33),
    "direct": TreeRoute(1, 0.365, 0.0, 0.33),
    "apart": TreeRoute(0, 0.0, 0.1, 0.0),
}
APART_PER_S = 30.0


@dataclass(slots=True)
class Tally:
    """Root calls by how they ended."""

    offered: int = 0
    refused: int = 0
    completed: int = 0
    failed: int = 0

    @property
    def served(self) -> float:
        """Return the completed root calls as a share of the offered ones."""
        return self.completed / max(1, self.offered)

    @property
    def lost(self) -> float:
        """Return the failed root calls as a share of those that began."""
        return self.failed / max(1, self.completed + self.failed)


@dataclass(slots=True)
class TreesResult:
    """Tallies by route and by rank, and the seconds of a slot that were of use."""

    by_route: dict[str, Tally] = field(default_factory=dict)
    by_rank: dict[int, Tally] = field(default_factory=dict)
    useful_slot_s: float = 0.0

    def add(self, route: str, rank: int, end: str) -> None:
        """Count the end of a root call."""
        for tally in (
            self.by_route.setdefault(route, Tally()),
            self.by_rank.setdefault(rank, Tally()),
        ):
            setattr(tally, end, getattr(tally, end) + 1)


class EarlierEdge:
    """The earlier rule: an average by route in which an open level is 16,000."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._levels: dict[str, tuple[float, float]] = {}

    def level(self, route: str, now: float) -> int:
        """Return the average level of a route."""
        value, at = self._levels.get(route, (16_000.0, 0.0))
        age_s = now - at
        if age_s >= LEVEL_EXPIRY_S:
            return OPEN_LEVEL
        decay = max(0.0, age_s - 0.25) / (LEVEL_EXPIRY_S - 0.25)
        return int(value + (16_000.0 - value) * decay)

    def record(self, context: CallContext, result: CallResult, now: float) -> None:
        """Record the level of a result."""
        if result.admission_level is None:
            return
        value = min(16_000.0, float(result.admission_level))
        known, at = self._levels.get(context.route, (value, now))
        if now - at < LEVEL_EXPIRY_S:
            value = known + 0.3 * (value - known)
        self._levels[context.route] = value, now

    def begins(self, route: str, rank: int, now: float) -> bool:
        """Return whether a root call begins."""
        share = max(MIN_PASS_SHARE, pass_share(self.level(route, now), rank))
        return self._rng.random() < share


class TreeEdge:
    """The admission of whole trees."""

    def __init__(self, rng: Random) -> None:
        self.reports = TreeReports()
        self._admission = TreeAdmission(self.reports, rng, lambda _pool: ATTEMPTS)

    def record(self, context: CallContext, result: CallResult, now: float) -> None:
        """Record the reports of a result."""
        self.reports.record_result(context, result, now)

    def begins(self, route: str, rank: int, now: float) -> bool:
        """Return whether a root call begins."""
        return self._admission.refusal(route, rank, "w", 1.0, now) is None


@dataclass(slots=True, eq=False)
class _Root:
    context: CallContext
    route: TreeRoute
    edge: int
    middle: int
    calls_left: int
    needed: PoolReport = _NOTHING
    last: CallResult | None = None
    sends: int = 0
    tries: frozenset[int] = frozenset()


class _Server:
    """One server of the pool behind its daemon's admission controller."""

    def __init__(self, model: "TreesModel", number: int) -> None:
        self._model = model
        self._rng = Random(number)
        options = admission_options(SLOTS)
        if not model.whole_trees:
            options = replace(options, nested_wait_share=None)
        self.controller = AdmissionController(options, self._rng, 0.0)
        self._roots: dict[int, _Root] = {}
        self._accepted = AcceptedShare()
        self.rejects = 0.0
        self.number = number
        model.events.after(EXPIRE_INTERVAL_S, self._expire)

    def offer(self, root: _Root) -> None:
        events = self._model.events
        ticket = self._model.next_ticket()
        self._roots[ticket] = root
        item = PendingCall(ticket, root.context, 1.0, root.context.depth)
        self._apply(self.controller.offer(item, events.now))

    def _expire(self) -> None:
        self._apply(self.controller.expire(self._model.events.now))
        self._model.events.after(EXPIRE_INTERVAL_S, self._expire)

    def _apply(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            root = self._roots.pop(decision.ticket)
            if not isinstance(decision, StartDecision):
                self._model.ended(root, self, self._result(decision.refusal, 0, 0.0))
                continue
            rejected = self._rng.random() < self.rejects
            took_s = root.route.call_s / GAMMA_SHAPE
            took_s = 0.001 if rejected else self._rng.gammavariate(GAMMA_SHAPE, took_s)
            end = partial(self._end, decision.ticket, root, rejected, took_s)
            self._model.events.after(took_s, end)

    def _end(self, ticket: int, root: _Root, rejected: bool, took_s: float) -> None:
        now = self._model.events.now
        self._accepted.record(now, accepted=not rejected)
        outcome = not_run(Reason.OVERLOADED) if rejected else Response(200)
        self._model.ended(root, self, self._result(outcome, 1, took_s))
        self._apply(self.controller.finish(ticket, CallSample(took_s), now))
        self._apply(self.controller.record_response(None, now))

    def _result(
        self, outcome: Response | Refusal, attempts: int, took_s: float
    ) -> CallResult:
        now = self._model.events.now
        level = self.controller.level(now)
        accepted = self._accepted.value(now)
        own = PoolReport(POOL, float(attempts), took_s, level, accepted)
        return CallResult(outcome, attempts, 0, level, pools=(own,))


class TreesModel:
    """Edges, daemons in the middle of trees, and the servers of the pool."""

    def __init__(self, seed: int, load: float, *, whole_trees: bool) -> None:
        self.whole_trees = whole_trees
        self.events = Events()
        self.result = TreesResult()
        self._rng = Random(seed)
        edge = TreeEdge if whole_trees else EarlierEdge
        self._edges = [edge(Random(number)) for number in range(EDGES)]
        # Each daemon has both; the earlier rule kept their levels apart.
        self._middles = self._edges
        if not whole_trees:
            self._middles = [edge(Random(number)) for number in range(EDGES)]
        self._last_ticket = 0
        self.servers = [_Server(self, number) for number in range(SERVERS)]
        self.load_factor = 1.0
        for name, route in ROUTES.items():
            per_s = APART_PER_S
            if route.calls:
                work_s = route.calls * route.call_s
                per_s = load * SERVERS * SLOTS * route.work_share / work_s
            self._schedule(name, per_s)

    def next_ticket(self) -> int:
        """Return a new ticket."""
        self._last_ticket += 1
        return self._last_ticket

    def _schedule(self, route: str, per_s: float) -> None:
        wait_s = self._rng.expovariate(per_s * self.load_factor)
        self.events.after(wait_s, self._arrive, route, per_s)

    def _arrive(self, name: str, per_s: float) -> None:
        self._schedule(name, per_s)
        now, rng = self.events.now, self._rng
        rank = rng.choices(list(RANK_WEIGHTS), list(RANK_WEIGHTS.values()))[0]
        edge, route = rng.randrange(EDGES), ROUTES[name]
        self.result.add(name, rank, "offered")
        if not self._edges[edge].begins(name, rank, now):
            self.result.add(name, rank, "refused")
            return
        depth = 0 if name == "direct" else 2
        deadline = now + TIME_LIMIT_S
        context = CallContext("", "w", rank, deadline, name, POOL, True, depth)
        middle = rng.randrange(EDGES)
        root = _Root(context, route, edge, middle, route.calls)
        self.events.after(route.other_s / (route.calls + 1), self._call, root)

    def _call(self, root: _Root) -> None:
        if not root.calls_left:
            self._finish(root, Response(200))
            return
        root.calls_left -= 1
        root.sends, root.tries = 0, frozenset()
        self._send(root)

    def _send(self, root: _Root) -> None:
        free = [item for item in self.servers if item.number not in root.tries]
        choices = self._rng.sample(free, min(2, len(free)))
        server = min(choices, key=lambda item: item.controller.load(self.events.now))
        root.tries |= {server.number}
        server.offer(root)

    def _nested(self, root: _Root) -> CallContext:
        """Return the context that the daemon in the middle records a result under."""
        if not self.whole_trees:
            return root.context
        return replace(root.context, route=POOL)

    def ended(self, root: _Root, _server: _Server, result: CallResult) -> None:
        """Handle the result of one send; the call may be sent to another server."""
        outcome, now = result.result, self.events.now
        root.sends += result.attempts
        retried = (
            isinstance(outcome, Refusal)
            and outcome.reason in (Reason.QUEUE_FULL, Reason.OVERLOADED)
            and root.sends < ATTEMPTS
            and len(root.tries) < MAX_TRIES
            and now + 0.05 < root.context.deadline
        )
        if retried:
            self._send(root)
            return
        root.last = result
        assert result.pools is not None
        needed, own = root.needed, result.pools[0]
        calls, slot_s = needed.calls + own.calls, needed.slot_s + own.slot_s
        root.needed = PoolReport(POOL, calls, slot_s, own.level, own.accepted)
        if root.context.depth:
            self._middles[root.middle].record(self._nested(root), result, now)
        if isinstance(outcome, Refusal):
            self._finish(root, unknown(outcome.reason))
            return
        pause_s = root.route.other_s / (root.route.calls + 1)
        self.events.after(pause_s, self._call, root)

    def _finish(self, root: _Root, outcome: Response | Refusal) -> None:
        now, context = self.events.now, root.context
        edge, middle = self._edges[root.edge], self._middles[root.middle]
        own = PoolReport("front", 1.0, root.route.other_s, OPEN_LEVEL, 1.0)
        if not context.depth:
            assert root.last is not None
            result = replace(root.last, result=outcome)
        elif isinstance(middle, TreeEdge):
            nested = (root.needed,) if root.route.calls else ()
            pools = middle.reports.pools_of(context.route, own, nested, now)
            result = CallResult(outcome, pools=pools)
        else:
            level = middle.level(context.route, now)
            result = CallResult(outcome, admission_level=level)
        edge.record(context, result, now)
        completed = isinstance(outcome, Response) and now <= context.deadline
        end = "completed" if completed else "failed"
        self.result.add(context.route, context.priority_rank, end)
        if completed:
            self.result.useful_slot_s += root.needed.slot_s


def measure(
    load: float, seconds: float, *, whole_trees: bool, rejects: float = 0.0, seed: int
) -> TreesResult:
    """
    Return the result of a load, as a share of the pool's capacity.

    It follows a calm time, in which the work of the routes is learned.
    """
    model = TreesModel(seed, load, whole_trees=whole_trees)
    model.load_factor = CALM_LOAD / load
    model.events.run(CALM_S)
    model.load_factor = 1.0
    model.result = TreesResult()
    for server in model.servers:
        server.rejects = rejects
    model.events.run(CALM_S + seconds)
    return model.result


def main(arguments: list[str] | None = None) -> int:
    """Print the served and lost shares of each rule and load as JSON lines."""
    options = parser(__doc__ or "").parse_args(arguments)
    for load, rejects in ((0.7, 0.0), (1.0, 0.0), (1.5, 0.0), (2.5, 0.0), (0.6, 0.55)):
        for whole_trees in (False, True):
            found = measure(
                load, 7.0, whole_trees=whole_trees, rejects=rejects, seed=options.seed
            )
            by_rank = {f"rank {rank}": item for rank, item in found.by_rank.items()}
            tallies = {**found.by_route, **by_rank}
            line = {
                "load": load,
                "rejects": rejects,
                "whole_trees": whole_trees,
                "useful": round(found.useful_slot_s / (7.0 * SERVERS * SLOTS), 2),
                "served": {
                    name: round(item.served, 2) for name, item in tallies.items()
                },
                "lost": {name: round(item.lost, 2) for name, item in tallies.items()},
            }
            print(json.dumps(line))
    return 0
