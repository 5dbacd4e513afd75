"""The state machine of one member: probes, suspicion, refutation, news."""

import math
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from damaskbay.core.membership.entry import MemberEntry, Status
from damaskbay.core.membership.options import MembershipOptions
from damaskbay.core.membership.packets import (
    Ack,
    IndirectPing,
    Outgoing,
    Packet,
    Ping,
    Rumor,
)
from damaskbay.core.membership.probes import Probe, ProbeBook
from damaskbay.core.membership.suspicions import Suspicions
from damaskbay.core.membership.table import MemberTable
from damaskbay.core.membership.updates import UpdateQueue
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_DOUBTED_PER_TICK = 20
_SYNC_RETRY_S = 1.0


class Swim:
    """
    One member's view of its failure domain.

    Call `tick` often (about every 0.1 s) and `receive` for each datagram; both
    return the datagrams to send. `table` holds the entries, `displaced` tells
    that a newer process has taken this instance's name.
    """

    def __init__(
        self, own: MemberEntry, options: MembershipOptions, rng: Random, now: float
    ) -> None:
        self.own = own
        self.table = MemberTable(own.failure_domain)
        self.displaced = False
        self.wants_sync = True
        self._options = options
        self._rng = rng
        self._updates = UpdateQueue()
        self._probes = ProbeBook(rng)
        self._suspicions = Suspicions(options.suspicion_s)
        self._avoided_until_by_instance: dict[str, float] = {}
        self._seeds: tuple[PeerAddress, ...] = ()
        self._doubted: list[MemberEntry] = []
        self._last_heard = now
        self._last_tick = now
        self._next_probe = now
        self._next_reconnect = now
        self._next_sync = now
        self._rumor_bytes = options.rumor_burst_bytes
        self._learn([own], now)

    def set_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Set the gossip addresses to try when nobody or not all are known."""
        before = self._seeds
        self._seeds = tuple(seed for seed in seeds if seed != self.own.gossip)
        if set(self._seeds) - set(before):
            self._next_reconnect = self._last_tick

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float, now: float
    ) -> list[Outgoing]:
        """Take what the local backend server says; tell a change at once."""
        own = self.own
        if (pool, state, slots) == (own.pool, own.state, own.slots):
            self.own = replace(own, load=load)
            self.table.hint_load(self.own)
            return []
        version = own.version + 1
        self.own = replace(
            own, version=version, pool=pool, state=state, slots=slots, load=load
        )
        self._learn([self.own], now)
        return self._tell(())

    def leave(self, now: float) -> list[Outgoing]:
        """Tell that this daemon goes."""
        version = self.own.version + 1
        self.own = replace(
            self.own, version=version, status=Status.DEAD, state=ServerState.GONE
        )
        self._learn([self.own], now)
        return self._tell(())

    def suspect(self, instance: str, incarnation: int, now: float) -> list[Outgoing]:
        """Avoid a member that a call failed on, and probe it at once."""
        record = self.table.by_instance.get(instance)
        if record is None or record.entry.incarnation != incarnation:
            return []
        if not record.entry.live or instance == self.own.instance:
            return []
        self._avoided_until_by_instance[instance] = now + self._options.avoid_s
        self.table.mark_changed(instance)
        return [self._probe(record.entry, now)]

    def avoided(self, instance: str) -> bool:
        """Tell whether a member gets no new work though it may live."""
        record = self.table.by_instance.get(instance)
        if record is None or record.entry.status is not Status.ALIVE:
            return True
        return instance in self._avoided_until_by_instance

    def merge(self, entries: Iterable[MemberEntry], now: float) -> None:
        """Take the entries of another member's table."""
        entries = tuple(entries)
        self._learn(entries, now)
        self._doubted += [item for item in entries if self._is_doubted(item)]

    def sync_target(self, now: float) -> MemberEntry | None:
        """Return the member to compare tables with when that is due."""
        if now < self._next_sync and not self.wants_sync:
            return None
        others = self._others()
        if not others:
            return None
        self.wants_sync = False
        self._next_sync = now + self._options.sync_period_s
        return self._rng.choice(others)

    def sync_failed(self, now: float) -> None:
        """Compare tables with another member soon."""
        self._next_sync = now + _SYNC_RETRY_S

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due."""
        elapsed_s = now - self._last_tick
        self._last_tick = now
        if elapsed_s >= self._options.pause_s:
            self._wake_up()
        self._refill(elapsed_s)
        outgoing = self._advance_probes(now)
        self._end_suspicions(now)
        self._end_avoidance(now)
        if now >= self._next_probe:
            self._next_probe = now + self._options.probe_period_s
            outgoing += self._probe_next(now)
        if now >= self._next_reconnect:
            self._next_reconnect = now + self._options.reconnect_period_s
            self.table.purge(now, tombstone_s=self._options.tombstone_s)
            outgoing += self._reconnect()
        outgoing += self._ask_doubted()
        return outgoing + self._rumors()

    def receive(self, packet: Packet, now: float) -> list[Outgoing]:
        """Take one datagram."""
        sender = packet.sender
        if sender.failure_domain != self.own.failure_domain:
            return []
        self._hear(now)
        self._learn([sender, *packet.updates], now)
        self.table.hint_load(sender)
        match packet:
            case Ping():
                return [self._ack(sender, sender.gossip, packet.probe)]
            case IndirectPing():
                probe = self._probes.relay(sender.gossip, packet.probe, now)
                return [Outgoing(packet.target, Ping(self.own, probe, self._news()))]
            case Ack():
                return self._acknowledged(packet)
            case Rumor():
                return []

    def _ack(self, sender: MemberEntry, to: PeerAddress, probe: int) -> Outgoing:
        """Answer a probe; tell the sender if another fact about it is held."""
        held = self.table.by_instance.get(sender.instance)
        news = self._news()
        if held is not None and held.entry.fact > sender.fact:
            news = (held.entry, *news)
        return Outgoing(to, Ack(self.own, probe, news))

    def _acknowledged(self, packet: Ack) -> list[Outgoing]:
        self._probes.acknowledged(packet.probe)
        relay = self._probes.take_relay(packet.probe)
        if relay is None:
            return []
        answer = Ack(self.own, relay.probe, (packet.sender,))
        return [Outgoing(relay.requester, answer)]

    def _learn(self, entries: Iterable[MemberEntry], now: float) -> None:
        for entry in entries:
            if entry.instance == self.own.instance and entry is not self.own:
                self._learn_of_own(entry, now)
                continue
            self._apply(entry, now)

    def _apply(self, entry: MemberEntry, now: float) -> None:
        before = self.table.by_instance.get(entry.instance)
        returned = before is not None and entry.live and not before.entry.live
        for news in self.table.apply(entry, now):
            self._take_news(news, now)
            self.wants_sync = self.wants_sync or returned

    def _hear(self, now: float) -> None:
        """Take back what was only concluded from hearing nobody at all."""
        self._last_heard = now
        for before in self._suspicions.take_unheard():
            held = self.table.by_instance[before.instance].entry
            if held.fact[:2] == before.fact[:2]:
                self.table.restore(before, now)
                self._suspicions.end(before.instance)
                self.wants_sync = True

    def _is_doubted(self, entry: MemberEntry) -> bool:
        """Tell whether another member holds for alive whom this one holds dead."""
        record = self.table.by_instance.get(entry.instance)
        if record is None or not entry.live or record.entry.live:
            return False
        return record.entry.incarnation == entry.incarnation

    def _ask_doubted(self) -> list[Outgoing]:
        """Let those held dead refute it themselves, without telling others."""
        asked = self._doubted[:_DOUBTED_PER_TICK]
        del self._doubted[:_DOUBTED_PER_TICK]
        return [self._ask(entry) for entry in asked]

    def _ask(self, entry: MemberEntry) -> Outgoing:
        held = self.table.by_instance[entry.instance].entry
        ping = Ping(self.own, self._probes.untracked(), (held,))
        return Outgoing(held.gossip, ping)

    def _learn_of_own(self, entry: MemberEntry, now: float) -> None:
        if entry.incarnation > self.own.incarnation:
            self.displaced = True
            self._apply(entry, now)
            return
        if self.displaced or entry.incarnation < self.own.incarnation:
            return
        if entry.fact > self.own.fact:
            self.own = replace(self.own, version=entry.version + 1)
            self._learn([self.own], now)

    def _take_news(self, entry: MemberEntry, now: float) -> None:
        self._updates.add(entry)
        self._suspicions.note(entry, now)

    def _wake_up(self) -> None:
        """Trust nothing that was about to be said before a pause."""
        self._updates.clear()
        self._updates.add(self.own)
        self._probes.clear()
        self._suspicions.clear()
        self.wants_sync = True

    def _end_suspicions(self, now: float) -> None:
        for suspicion in self._suspicions.take_due(now):
            entry = self.table.by_instance[suspicion.instance].entry
            if entry.fact != suspicion.fact:
                continue
            self._learn([replace(entry, status=Status.DEAD)], now)
            if self._suspicions.is_unheard(suspicion.instance):
                self._updates.drop(suspicion.instance)

    def _end_avoidance(self, now: float) -> None:
        for instance, until in list(self._avoided_until_by_instance.items()):
            if now >= until:
                del self._avoided_until_by_instance[instance]
                self.table.mark_changed(instance)

    def _advance_probes(self, now: float) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        options = self._options
        for probe in self._probes.due_indirect(now, options.direct_timeout_s):
            outgoing += self._probe_through_others(probe)
        for probe in self._probes.expired(now, options.probe_timeout_s):
            self._mark_suspect(probe, now)
        return outgoing

    def _probe_through_others(self, probe: Probe) -> list[Outgoing]:
        others = [item for item in self._others() if item.instance != probe.instance]
        count = min(self._options.indirect_probes, len(others))
        return [
            Outgoing(
                item.gossip,
                IndirectPing(self.own, probe.number, probe.address, self._news()),
            )
            for item in self._rng.sample(others, count)
        ]

    def _mark_suspect(self, probe: Probe, now: float) -> None:
        record = self.table.by_instance.get(probe.instance)
        if record is None or record.entry.incarnation != probe.incarnation:
            return
        if record.entry.status is not Status.ALIVE:
            return
        self._learn([replace(record.entry, status=Status.SUSPECT)], now)
        if now - self._last_heard >= self._options.probe_timeout_s:
            self._suspicions.conclude_unheard(record.entry)
            self._updates.drop(probe.instance)

    def _probe_next(self, now: float) -> list[Outgoing]:
        entry = self._probes.next_target(self._others)
        return [] if entry is None else [self._probe(entry, now)]

    def _probe(self, entry: MemberEntry, now: float) -> Outgoing:
        number = self._probes.start(entry, now)
        return Outgoing(entry.gossip, Ping(self.own, number, self._news()))

    def _reconnect(self) -> list[Outgoing]:
        """Try a crashed member and a seed, so that two halves find each other."""
        lost = [
            item.entry
            for item in self.table.by_instance.values()
            if not item.entry.live and item.entry.state is not ServerState.GONE
        ]
        known = {entry.gossip for entry in self.table.live()}
        seeds = [seed for seed in self._seeds if seed not in known]
        outgoing = [self._ask(self._rng.choice(lost))] if lost else []
        if seeds:
            ping = Ping(self.own, self._probes.untracked(), self._news())
            outgoing.append(Outgoing(self._rng.choice(seeds), ping))
        return outgoing

    def _rumors(self) -> list[Outgoing]:
        """Tell fresh news to some members, within the budget for it."""
        if not self._updates.fresh or self._rumor_bytes <= 0:
            return []
        count = min(self._options.rumor_fanout, len(self._others()))
        if not count:
            return []
        fresh = self._updates.take_fresh(limit_bytes=self._options.updates_bytes)
        size_bytes = self.own.size_bytes + sum(item.size_bytes for item in fresh)
        self._rumor_bytes -= count * size_bytes
        return self._tell(fresh)

    def _tell(self, news: tuple[MemberEntry, ...]) -> list[Outgoing]:
        """Tell some members; what the sender says of itself is news as well."""
        others = self._others()
        count = min(self._options.rumor_fanout, len(others))
        rumor = Rumor(self.own, news)
        return [
            Outgoing(item.gossip, rumor) for item in self._rng.sample(others, count)
        ]

    def _refill(self, elapsed_s: float) -> None:
        filled = self._rumor_bytes + elapsed_s * self._options.rumor_bytes_per_s
        self._rumor_bytes = min(self._options.rumor_burst_bytes, filled)

    def _news(self) -> tuple[MemberEntry, ...]:
        members = len(self.table.by_instance)
        sends = self._options.retransmit_factor * math.ceil(math.log2(members + 1))
        return self._updates.take(
            limit_bytes=self._options.updates_bytes, limit_sends=sends
        )

    def _others(self) -> list[MemberEntry]:
        own = self.own.instance
        return [entry for entry in self.table.live() if entry.instance != own]
