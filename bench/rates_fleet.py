"""Rate tasks of many daemons in virtual time; each message is an event."""

import heapq
import random
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any

from damaskbay.config.objects import ConfigSet
from damaskbay.core.outcome import Refusal
from damaskbay.core.rates.codec import decode_ledger
from damaskbay.core.rates.const import LEDGER_KEY_PREFIX
from damaskbay.core.rates.ledger import GroupLedger
from damaskbay.core.rates.names import bucket_names
from damaskbay.core.rates.node import LedgerRequest
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.stock import Stock
from damaskbay.daemon.rates import MAX_WAIT_S
from damaskbay.daemon.rates_ledger import LedgerStore
from damaskbay.daemon.rates_stock import SharedStock, Waiter
from damaskbay.daemon.rates_task import TICK_S, Leave, NewSet, RateTask, Wake
from damaskbay.ports.fleet import ConfigState, MemberView
from damaskbay.ports.peer import (
    Handler,
    PeerAddress,
    PeerFailure,
    PeerIdentity,
    PeerProblem,
)
from damaskbay.ports.platform import PlatformFailure
from damaskbay.stand_ins.memory_platform import MemoryPlatform

INSIDE_DOMAIN_S = 0.0005
PLATFORM_S = 0.002
DETECTION_S = 2.0


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request at a daemon and its outcome."""

    at: float
    workspace: str
    domain: str
    refusal: Refusal | None


class _Config:
    """Source of a daemon's active configuration set."""

    def __init__(self, config: ConfigSet) -> None:
        self.config = config

    def state(self) -> ConfigState:
        return ConfigState(self.config, 0.0)

    def subscribe(self, callback: Callable[[ConfigSet], None]) -> None:
        pass


class _Membership:
    """Members of a failure domain, the same for all its daemons."""

    def __init__(self) -> None:
        self.all: tuple[MemberView, ...] = ()

    def members(self) -> tuple[MemberView, ...]:
        return self.all


class _Responder:
    def __init__(self, reply: Callable[[Any], None]) -> None:
        self._reply = reply

    def reply(self, message: Any) -> None:
        self._reply(message)

    def on_cancel(self, callback: Callable[[], None]) -> None:
        pass


class _Link:
    """Simulated peer link that delivers messages after a short delay."""

    def __init__(self, fleet: "VirtualFleet", address: PeerAddress) -> None:
        self._fleet = fleet
        self._address = address
        self.identity: PeerIdentity | None = None
        self.handlers_by_type: dict[type[Any], Handler] = {}

    def register(self, message_type: type[Any], handler: Handler) -> None:
        self.handlers_by_type[message_type] = handler

    def request(
        self, peer: PeerAddress, message: Any, *, timeout_s: float
    ) -> "Future[Any]":
        future: Future[Any] = Future()
        fleet = self._fleet

        def finish(result: Any) -> None:
            if not future.done():
                future.set_result(result)

        def reply(answer: Any) -> None:
            fleet.carry(lambda: finish(answer))

        self._deliver(peer, message, _Responder(reply))
        timed_out = PeerFailure(PeerProblem.TIMEOUT)
        fleet.after(timeout_s, lambda: finish(timed_out))
        return future

    def send(self, peer: PeerAddress, message: Any) -> None:
        self._deliver(peer, message, _Responder(lambda _: None))

    def _deliver(self, peer: PeerAddress, message: Any, responder: Any) -> None:
        fleet = self._fleet
        fleet.messages += 1
        target = fleet.links_by_address[peer]
        identity = self.identity
        assert identity is not None
        handler = target.handlers_by_type[type(message)]
        fleet.carry(lambda: handler(identity, message, responder))


class VirtualDaemon(RateTask):
    """Rate task that is driven by events instead of its thread."""

    def __init__(
        self, fleet: "VirtualFleet", member: MemberView, options: ShareOptions
    ) -> None:
        identity = PeerIdentity(
            member.instance, member.incarnation, member.failure_domain
        )
        link = _Link(fleet, member.address)
        link.identity = identity
        fleet.links_by_address[member.address] = link
        rng = random.Random(f"{fleet.seed}/{member.instance}/{member.incarnation}")
        membership: Any = fleet.membership_by_domain[member.failure_domain]
        self.member = member
        self.set_in_force = _Config(fleet.config)
        self.shared = SharedStock(Stock(options.token_validity_s, options.holders, rng))
        self.platform = fleet.platform.client(member.failure_domain)
        self.dead = False
        self.paused_until = 0.0
        self._fleet = fleet
        super().__init__(
            identity=identity,
            store=LedgerStore(self.platform),
            link=link,
            membership=membership,
            config=self.set_in_force,
            stock=self.shared,
            options=options,
            clock=lambda: fleet.now,
        )
        fleet.after(rng.uniform(0, TICK_S), self._tick_again)

    def post(self, message: Any) -> bool:
        """Handle a message as soon as the daemon is not paused."""
        self.when_awake(lambda: self.handle(message, self._fleet.now))
        return True

    def when_awake(self, step: Callable[[], None]) -> None:
        """Run a step now or at the end of a pause; drop it if the daemon crashed."""
        if self.dead:
            return
        if self._fleet.now < self.paused_until:
            wait_s = self.paused_until - self._fleet.now
            self._fleet.after(wait_s, lambda: self.when_awake(step))
            return
        step()

    def _tick_again(self) -> None:
        self.when_awake(self._tick_now)

    def _tick_now(self) -> None:
        self.tick(self._fleet.now)
        self._fleet.after(TICK_S, self._tick_again)

    def _start_calls(self, now: float) -> None:
        for call in self._node.calls(self._total_of, now):
            self._fleet.after(PLATFORM_S, lambda call=call: self._call_platform(call))  # type: ignore[misc]

    def _call_platform(self, call: LedgerRequest) -> None:
        result = self._store.run(call)
        self._fleet.after(PLATFORM_S, lambda: self._finish(call, result))

    def _finish(self, call: LedgerRequest, result: Any) -> None:
        def step() -> None:
            now = self._fleet.now
            self._deliver(self._node.call_done(call, result, now), now)

        self.when_awake(step)


@dataclass
class VirtualFleet:
    """Fleet with a virtual clock, which `run_until` advances."""

    config: ConfigSet
    options: ShareOptions
    seed: int = 0
    now: float = 1000.0
    messages: int = 0
    arrivals: list[ReceivedRequest] = field(default_factory=list)
    links_by_address: dict[PeerAddress, _Link] = field(default_factory=dict)
    membership_by_domain: dict[str, _Membership] = field(default_factory=dict)
    daemons_by_domain: dict[str, list[VirtualDaemon]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.started_at = self.now
        self.platform = MemoryPlatform(clock=lambda: self.now)
        self._rng = random.Random(self.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def after(self, delay_s: float, step: Callable[[], None]) -> None:
        """Schedule a step after a delay."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay_s, self._sequence, step))

    def carry(self, step: Callable[[], None]) -> None:
        """Schedule a step after a random message delay."""
        self.after(INSIDE_DOMAIN_S * self._rng.uniform(0.5, 2.0), step)

    def run_until(self, at: float) -> None:
        """Run all events up to a time, in seconds from the fleet's start."""
        end = self.started_at + at
        while self._events and self._events[0][0] <= end:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.now = end

    def add_domain(self, domain: str, daemons: int) -> None:
        """Start the daemons of a failure domain."""
        self.membership_by_domain[domain] = _Membership()
        self.daemons_by_domain[domain] = []
        for number in range(daemons):
            self.add_daemon(domain, number)

    def add_daemon(self, domain: str, number: int, incarnation: int = 1) -> None:
        """Start a daemon; its failure domain knows it at once."""
        address = PeerAddress(f"{domain}/{incarnation}", number)
        member = MemberView(f"{domain}-{number}", incarnation, domain, address)
        membership = self.membership_by_domain[domain]
        others = [item for item in membership.all if item.instance != member.instance]
        daemon = VirtualDaemon(self, member, self.options)
        self.daemons_by_domain[domain].append(daemon)
        membership.all = (*others, member)

    def holder(self, domain: str, bucket: str) -> VirtualDaemon:
        """Return the holder of a bucket's group in a failure domain."""
        live = self._live(domain)
        instance = live[0].holder_instance(bucket, self.now)
        return next(
            (item for item in live if item.member.instance == instance), live[0]
        )

    def crash(self, daemon: VirtualDaemon) -> None:
        """Crash a daemon; its failure domain removes it after the detection time."""
        daemon.dead = True
        self.after(DETECTION_S, lambda: self.forget(daemon))

    def forget(self, daemon: VirtualDaemon) -> None:
        """Remove a daemon from the members of its failure domain."""
        membership = self.membership_by_domain[daemon.member.failure_domain]
        membership.all = tuple(
            item for item in membership.all if item is not daemon.member
        )

    def ledgers(self) -> list[GroupLedger]:
        """Return all valid ledgers in the platform."""
        entries = self.platform.client("reader").list(LEDGER_KEY_PREFIX, timeout_s=1)
        assert not isinstance(entries, PlatformFailure)
        ledgers = [decode_ledger(entry.value) for entry in entries]
        return [item for item in ledgers if isinstance(item, GroupLedger)]

    def leave(self, daemon: VirtualDaemon) -> None:
        """Drain a daemon."""
        daemon.post(Leave())

    def publish(self, config: ConfigSet, *, within_s: float) -> None:
        """Activate a newer set on each daemon at a random time within `within_s`."""
        self.config = config
        for daemons in self.daemons_by_domain.values():
            for daemon in daemons:
                delay_s = self._rng.uniform(0, within_s)
                self.after(delay_s, lambda one=daemon: self._take(one, config))  # type: ignore[misc]

    def request(self, domain: str, workspace: str, limits: tuple[str, ...]) -> None:
        """Send a request to a random live daemon of a failure domain."""
        daemon = self._rng.choice(self._live(domain))
        self.request_at(daemon, workspace, limits)

    def request_at(
        self, daemon: VirtualDaemon, workspace: str, limits: tuple[str, ...] = ()
    ) -> None:
        """Send a request to a daemon."""
        arrived_at = self.now
        domain = daemon.member.failure_domain

        def done(refusal: Refusal | None) -> None:
            at = arrived_at if refusal else self.now
            self.arrivals.append(ReceivedRequest(at, workspace, domain, refusal))

        names = bucket_names(daemon.set_in_force.config, workspace, limits)
        if names is None:
            return
        daemon.when_awake(lambda: self._acquire(daemon, names, done))

    def _acquire(
        self,
        daemon: VirtualDaemon,
        names: tuple[str, ...],
        done: Callable[[Refusal | None], None],
    ) -> None:
        acquired = daemon.shared.acquire(names, self.now)
        if not isinstance(acquired, Waiter):
            done(acquired)
            return
        future = acquired.future
        future.add_done_callback(lambda item: done(item.result()))

        def give_up() -> None:
            if not future.done():
                done(daemon.shared.give_up(acquired))

        self.after(MAX_WAIT_S, give_up)
        daemon.post(Wake())

    def _take(self, daemon: VirtualDaemon, config: ConfigSet) -> None:
        daemon.set_in_force.config = config
        daemon.post(NewSet())

    def _live(self, domain: str) -> list[VirtualDaemon]:
        daemons = self.daemons_by_domain[domain]
        return [item for item in daemons if not item.dead]


def greatest_excess(times: Iterable[float], rate_per_s: float, burst: float) -> float:
    """Return the largest excess of any window over rate x length + burst, or 0."""
    level = 0.0
    greatest = 0.0
    previous_at = None
    for at in sorted(times):
        if previous_at is not None:
            level = max(0.0, level - (at - previous_at) * rate_per_s)
        level += 1
        greatest = max(greatest, level - burst)
        previous_at = at
    return 0.0 if greatest < 1e-6 else greatest


def naive_admits(
    arrivals: Iterable[ReceivedRequest], rate_per_s: float, burst: float
) -> list[bool]:
    """Return for each request whether a single central bucket would admit it."""
    level = burst
    previous_at = None
    verdicts = []
    for arrival in arrivals:
        if previous_at is not None:
            level = min(burst, level + (arrival.at - previous_at) * rate_per_s)
        previous_at = arrival.at
        verdicts.append(level >= 1)
        level -= level >= 1
    return verdicts
