"""Simulated datagram network between SWIM state machines, in virtual time."""

import heapq
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.packets import Outgoing
from damaskbay.core.membership.swim import Swim
from damaskbay.core.membership.views import Views
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

TICK_S = 0.1
DELAY_S = 0.002
DOMAIN = "d1"


class Network:
    """Members by name; `is_lost` decides whether a datagram is lost."""

    def __init__(self, seed: int = 1) -> None:
        self.now = 1_000.0
        self.swim_by_name: dict[str, Swim] = {}
        self.paused: set[str] = set()
        self.sent_bytes: Counter[str] = Counter()
        self.is_lost: Callable[[str, str], bool] = lambda _source, _target: False
        self._rng = Random(seed)
        self._name_by_address: dict[PeerAddress, str] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def add(
        self,
        name: str,
        *,
        port: int,
        incarnation: int = 1,
        instance: str | None = None,
    ) -> Swim:
        """Start a member with a ready server in the pool `p`."""
        address = PeerAddress("127.0.0.1", port)
        own = MemberEntry(
            instance or name,
            incarnation,
            0,
            Status.ALIVE,
            DOMAIN,
            address,
            address,
            "p",
            ServerState.READY,
            4,
        )
        rng = Random(self._rng.random())
        swim = Swim(own, MembershipOptions(), rng, self.now)
        self.swim_by_name[name] = swim
        self._name_by_address[address] = name
        self._at(self._rng.random() * TICK_S, lambda: self._tick(name, swim))
        return swim

    def start(self, count: int) -> list[str]:
        """Start members that all know each other."""
        names = [f"m{index}" for index in range(count)]
        for index, name in enumerate(names):
            self.add(name, port=1_000 + index)
        entries = [swim.own for swim in self.swim_by_name.values()]
        for swim in self.swim_by_name.values():
            swim.merge(entries, self.now)
            swim._updates.clear()
        return names

    def remove(self, name: str) -> None:
        """Crash a member, so that it announces nothing."""
        del self.swim_by_name[name]

    def send(self, source: str, outgoing: list[Outgoing]) -> None:
        """Send datagrams of a member with a delay, unless they are lost."""
        for item in outgoing:
            packet = item.packet
            size = packet.sender.size_bytes
            size += sum(entry.size_bytes for entry in packet.updates)
            self.sent_bytes[source] += size
            target = self._name_by_address.get(item.address)
            if target is not None and not self.is_lost(source, target):
                self._at(DELAY_S, partial(self._deliver, target, item))

    def run(self, seconds: float) -> None:
        """Advance the clock and run all events up to then."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.now = end

    def run_until(self, condition: Callable[[], bool], *, limit_s: float) -> float:
        """Advance the clock until a condition holds; return the seconds it took."""
        start = self.now
        while not condition():
            assert self.now - start < limit_s, (
                "the condition did not become true in time"
            )
            self.run(TICK_S)
        return self.now - start

    def _at(self, delay_s: float, step: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._count, step))

    def _tick(self, name: str, swim: Swim) -> None:
        if self.swim_by_name.get(name) is not swim:
            return
        if name not in self.paused:
            self.send(name, swim.tick(self.now))
            self._sync(name, swim)
        self._at(TICK_S, lambda: self._tick(name, swim))

    def _deliver(self, name: str, item: Outgoing) -> None:
        swim = self.swim_by_name.get(name)
        if swim is not None and name not in self.paused:
            self.send(name, swim.receive(item.packet, self.now))

    def _sync(self, name: str, swim: Swim) -> None:
        """Synchronize two tables, as the daemon does over a peer stream."""
        target = swim.sync_target(self.now)
        if target is None:
            return
        other_name = self._name_by_address[target.address]
        other = self.swim_by_name.get(other_name)
        if other is None or other_name in self.paused:
            return
        if self.is_lost(name, other_name) or self.is_lost(other_name, name):
            return
        pairs = enumerate(zip(swim.table.digests(), other.table.digests(), strict=True))
        buckets = [index for index, (ours, theirs) in pairs if ours != theirs]
        own_entries = swim.table.in_buckets(buckets)
        swim.merge(other.table.in_buckets(buckets), self.now)
        other.merge(own_entries, self.now)


def pool_of(swim: Swim) -> set[str]:
    """Return the instances that get new calls, as seen by one member."""
    views = Views()
    for instance in swim.table.by_instance:
        swim.table.mark_changed(instance)
    views.refresh(swim)
    return {view.instance for view in views.servers_by_pool.get("p", ())}
