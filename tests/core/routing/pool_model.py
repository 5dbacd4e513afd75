"""Model of a pool in virtual time, with the routers of several daemons."""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from damaskbay.core.routing import RouteOutcome, Router, RouterOptions
from damaskbay.core.routing.const import LOAD_EXPIRY_S, REMOTE_PENALTY
from damaskbay.core.routing.health import Health
from damaskbay.core.routing.speed import StartedCall
from damaskbay.ports.fleet import ServerView
from tests.core.common import make_context
from tests.core.routing.common import server

SLOTS = 12
LINK_S = 0.001
NOTE_INTERVAL_S = 0.5
"""Seconds after which daemons report the load of their servers anyway."""

ROUTES = {"short": (0.03, 0.5), "middle": (0.1, 0.35), "long": (0.365, 0.15)}
"""Mean time in seconds at a speed of 1, and share of the calls, by route."""

MEAN_S = sum(mean_s * share for mean_s, share in ROUTES.values())

Speeds = Sequence[tuple[float, float]]
"""Times in seconds, each with the speed of a server from then on."""

RouterFactory = Callable[[RouterOptions, Random], Router]


class EarlierRouter(Router):
    """Chooses by load per slot alone, the best of the domain or a random one."""

    def _score(self, view: ServerView, rank: int, now: float) -> float:
        health: Health = self._health_by_instance[view.instance]
        per_slot = (health.in_flight + 1) / view.slots
        if now - health._load_updated_at <= LOAD_EXPIRY_S:
            sent_since = health.in_flight - health._in_flight_at_load_update + 1
            per_slot = max(per_slot, health._load + sent_since / view.slots)
        remote = view.failure_domain != self._options.failure_domain
        return per_slot + (REMOTE_PENALTY if remote else 0.0)

    def _pick_better(
        self, servers: list[ServerView], context: Any, now: float
    ) -> ServerView:
        first, second = self._draw_two(servers)
        score = self._score(first, 1, now)
        domain = self._options.failure_domain
        for view in servers:
            if view.failure_domain != domain or view is first:
                continue
            other = self._score(view, 1, now)
            if other < score or first.failure_domain != domain:
                first, score = view, other
        if second is not first and self._score(second, 1, now) < score:
            return second
        return first


@dataclass(slots=True)
class _Call:
    """A call on its way; times in seconds."""

    daemon: int
    server: int
    route: str
    work_s: float
    sent_at: float
    started: StartedCall | None
    begun_at: float = 0.0


@dataclass(slots=True)
class _Server:
    speeds: Speeds
    speed: float = 1.0
    progress: float = 0.0
    updated_at: float = 0.0
    running: list[tuple[float, int, _Call]] = field(default_factory=list)
    waiting: list[_Call] = field(default_factory=list)
    changes: int = 0

    @property
    def load(self) -> float:
        return (len(self.running) + len(self.waiting)) / SLOTS


@dataclass(frozen=True, slots=True)
class Completion:
    """A call that has ended; times in seconds."""

    sent_at: float
    took_s: float
    server: int


class PoolModel:
    """Servers with slots and queues whose calls come from the routers of daemons."""

    def __init__(
        self,
        speeds: Sequence[Speeds],
        *,
        used: float,
        daemons: int,
        make_router: RouterFactory,
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self.completions: list[Completion] = []
        self.sent: list[tuple[float, int]] = []
        self.loads: list[tuple[float, int, float]] = []
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._scheduled = 0
        self._servers = [_Server(changes) for changes in speeds]
        options = RouterOptions("a", trust_load=True)
        self._routers = [
            make_router(options, Random(seed * 1000 + number))
            for number in range(daemons)
        ]
        views = [server(f"s{number}", slots=SLOTS) for number in range(len(speeds))]
        self._views = [list(views) for _ in self._routers]
        capacity = sum(changes[0][1] for changes in speeds) * SLOTS
        self._calls_per_s = used * capacity / MEAN_S
        for number, changes in enumerate(speeds):
            for at, speed in changes:
                self.at(at, self._change_speed, number, speed)
        self.at(0.0, self._arrive)
        self.at(NOTE_INTERVAL_S, self._report)

    def at(self, at: float, action: Callable[..., None], *arguments: Any) -> None:
        """Call an action at a time."""
        self._scheduled += 1
        heapq.heappush(self._events, (at, self._scheduled, action, arguments))

    def run(self, until: float) -> "PoolModel":
        """Run up to a time, in seconds."""
        while self._events[0][0] < until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def replace_server(self, number: int, speed: float) -> None:
        """Put an empty server with another incarnation in place of one."""
        old = self._servers[number]
        self._servers[number] = _Server((), speed, updated_at=self.now)
        self._servers[number].changes = old.changes + 1_000_000
        for views in self._views:
            view = views[number]
            views[number] = replace(view, incarnation=view.incarnation + 1, load=0.0)

    def took_s(self, since: float = 0.0, until: float = 1e9) -> list[float]:
        """Return how long the calls that were sent in a time took, in order."""
        found = [item for item in self.completions if since <= item.sent_at < until]
        return sorted(item.took_s for item in found)

    def share(self, number: int, since: float = 0.0, until: float = 1e9) -> float:
        """Return the share of the calls that a server got in a time."""
        servers = [chosen for at, chosen in self.sent if since <= at < until]
        return servers.count(number) / max(1, len(servers))

    def highest_load(self, number: int, since: float, until: float) -> float:
        """Return the highest load of a server in a time, 1 if all slots are used."""
        found = [
            load
            for at, chosen, load in self.loads
            if chosen == number and since <= at < until
        ]
        return max(found, default=0.0)

    def _report(self) -> None:
        for views in self._views:
            for number, item in enumerate(self._servers):
                views[number] = replace(views[number], load=item.load)
        self.at(self.now + NOTE_INTERVAL_S, self._report)

    def _arrive(self) -> None:
        self.at(self.now + self._rng.expovariate(self._calls_per_s), self._arrive)
        daemon = self._rng.randrange(len(self._routers))
        weights = [share for _, share in ROUTES.values()]
        route = self._rng.choices(list(ROUTES), weights)[0]
        work_s = ROUTES[route][0] * self._rng.lognormvariate(-0.045, 0.3)
        context = replace(make_context(), route=route)
        router = self._routers[daemon]
        view = router.choose(self._views[daemon], context, now=self.now)
        assert isinstance(view, ServerView)
        started = router.record_start(view.instance, self.now, context)
        number = int(view.instance[1:])
        self.sent.append((self.now, number))
        call = _Call(daemon, number, route, work_s, self.now, started)
        self.at(self.now + LINK_S, self._reach, self._servers[number], call)

    def _reach(self, item: _Server, call: _Call) -> None:
        item.waiting.append(call)
        self._advance(item)
        self.loads.append((self.now, call.server, item.load))

    def _change_speed(self, number: int, speed: float) -> None:
        item = self._servers[number]
        self._advance(item)
        item.speed = speed
        self._advance(item)

    def _advance(self, item: _Server) -> None:
        """Move the calls of a server on to now; start some and schedule an end."""
        item.progress += item.speed * (self.now - item.updated_at)
        item.updated_at = self.now
        while item.waiting and len(item.running) < SLOTS:
            call = item.waiting.pop(0)
            call.begun_at = self.now
            self._scheduled += 1
            end = item.progress + call.work_s
            heapq.heappush(item.running, (end, self._scheduled, call))
        item.changes += 1
        if item.running and item.speed > 0.0:
            left_s = max(0.0, item.running[0][0] - item.progress) / item.speed
            self.at(self.now + left_s, self._end, item, item.changes)

    def _end(self, item: _Server, changes: int) -> None:
        if changes != item.changes:
            return
        _, _, call = heapq.heappop(item.running)
        self._advance(item)
        self.at(
            self.now + LINK_S, self._answer, call, self.now - call.begun_at, item.load
        )

    def _answer(self, call: _Call, service_s: float, load: float) -> None:
        took_s = self.now - call.sent_at
        self.completions.append(Completion(call.sent_at, took_s, call.server))
        outcome = RouteOutcome(took_s, None, None, load, service_s)
        router = self._routers[call.daemon]
        router.record_end(f"s{call.server}", outcome, self.now, call.started)
