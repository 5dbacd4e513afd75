"""SWIM state machine of one member: probes, suspicion, refutation, updates."""

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
from damaskbay.core.membership.probes import Probe, ProbeTracker
from damaskbay.core.membership.suspicions import Suspicions
from damaskbay.core.membership.table import MemberTable
from damaskbay.core.membership.updates import UpdateQueue
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_DISPUTED_PINGS_PER_TICK = 20
_SYNC_RETRY_S = 1.0


class Swim:
    """
    View of one member of its failure domain.

    Call `tick` often (about every 0.1 s) and `receive` for each datagram; both
    return the datagrams to send. `table` holds the entries. `displaced` is True when
    a newer process uses the instance name of this one.
    """

    def __init__(
        self, own: MemberEntry, options: MembershipOptions, rng: Random, now: float
    ) -> None:
        self.own = own
        self.table = MemberTable(own.failure_domain)
        self.displaced = False
        self.sync_needed = True
        self._options = options
        self._rng = rng
        self._updates = UpdateQueue()
        self._probes = ProbeTracker(rng)
        self._suspicions = Suspicions(options.suspicion_s)
        self._avoided_until_by_instance: dict[str, float] = {}
        self._seeds: tuple[PeerAddress, ...] = ()
        self._disputed: list[MemberEntry] = []
        self._last_receipt_at = now
        self._last_tick_at = now
        self._next_probe_at = now
        self._next_reconnect_at = now
        self._next_sync_at = now
        self._rumor_budget_bytes = options.rumor_burst_bytes
        self._merge_entries([own], now)

    def set_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Set gossip addresses to contact while they are not among the live members."""
        previous = self._seeds
        self._seeds = tuple(seed for seed in seeds if seed != self.own.gossip)
        if set(self._seeds) - set(previous):
            self._next_reconnect_at = self._last_tick_at

    def announce(
        self, *, pool: str, state: ServerState, slots: int, load: float, now: float
    ) -> list[Outgoing]:
        """Update the state of the local backend server; send a change at once."""
        own = self.own
        if (pool, state, slots) == (own.pool, own.state, own.slots):
            self.own = replace(own, load=load)
            self.table.update_load(self.own)
            return []
        version = own.version + 1
        self.own = replace(
            own, version=version, pool=pool, state=state, slots=slots, load=load
        )
        self._merge_entries([self.own], now)
        return self._rumors_with(())

    def announce_stop(self, now: float) -> list[Outgoing]:
        """Announce that this daemon stops."""
        version = self.own.version + 1
        self.own = replace(
            self.own, version=version, status=Status.DEAD, state=ServerState.GONE
        )
        self._merge_entries([self.own], now)
        return self._rumors_with(())

    def suspect(self, instance: str, incarnation: int, now: float) -> list[Outgoing]:
        """Avoid a member after a failed call, and probe it at once."""
        record = self.table.by_instance.get(instance)
        if record is None or record.entry.incarnation != incarnation:
            return []
        if not record.entry.live or instance == self.own.instance:
            return []
        self._avoided_until_by_instance[instance] = now + self._options.avoid_s
        self.table.mark_changed(instance)
        return [self._probe(record.entry, now)]

    def is_avoided(self, instance: str) -> bool:
        """Return whether a member gets no new calls although it may be alive."""
        record = self.table.by_instance.get(instance)
        if record is None or record.entry.status is not Status.ALIVE:
            return True
        return instance in self._avoided_until_by_instance

    def merge(self, entries: Iterable[MemberEntry], now: float) -> None:
        """Merge entries of another member's table."""
        entries = tuple(entries)
        self._merge_entries(entries, now)
        self._disputed += [item for item in entries if self._is_disputed(item)]

    def sync_target(self, now: float) -> MemberEntry | None:
        """Return the member to synchronize tables with, or None if no sync is due."""
        if now < self._next_sync_at and not self.sync_needed:
            return None
        peers = self._live_peers()
        if not peers:
            return None
        self.sync_needed = False
        self._next_sync_at = now + self._options.sync_period_s
        return self._rng.choice(peers)

    def sync_failed(self, now: float) -> None:
        """Schedule a retry with another member after a table sync failed."""
        self._next_sync_at = now + _SYNC_RETRY_S

    def tick(self, now: float) -> list[Outgoing]:
        """Run all due timers; return the datagrams to send."""
        elapsed_s = now - self._last_tick_at
        self._last_tick_at = now
        if elapsed_s >= self._options.pause_detection_s:
            self._reset_after_pause()
        self._refill_rumor_budget(elapsed_s)
        outgoing = self._advance_probes(now)
        self._end_suspicions(now)
        self._end_avoidance(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._options.probe_period_s
            outgoing += self._probe_next(now)
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + self._options.reconnect_period_s
            self.table.purge(now, tombstone_s=self._options.tombstone_s)
            outgoing += self._reconnect()
        outgoing += self._ping_disputed()
        return outgoing + self._send_rumors()

    def receive(self, packet: Packet, now: float) -> list[Outgoing]:
        """Handle one datagram; return the datagrams to send."""
        sender = packet.sender
        if sender.failure_domain != self.own.failure_domain:
            return []
        self._record_receipt(now)
        self._merge_entries([sender, *packet.updates], now)
        self.table.update_load(sender)
        match packet:
            case Ping():
                return [self._make_ack(sender, sender.gossip, packet.probe)]
            case IndirectPing():
                probe = self._probes.start_relayed(sender.gossip, packet.probe, now)
                return [
                    Outgoing(
                        packet.target,
                        Ping(self.own, probe, self._piggybacked_updates()),
                    )
                ]
            case Ack():
                return self._handle_ack(packet)
            case Rumor():
                return []

    def _make_ack(self, sender: MemberEntry, to: PeerAddress, probe: int) -> Outgoing:
        """Return the ack of a probe, with a newer entry about the sender if known."""
        known = self.table.by_instance.get(sender.instance)
        updates = self._piggybacked_updates()
        if known is not None and known.entry.precedence > sender.precedence:
            updates = (known.entry, *updates)
        return Outgoing(to, Ack(self.own, probe, updates))

    def _handle_ack(self, packet: Ack) -> list[Outgoing]:
        self._probes.remove(packet.probe)
        relayed = self._probes.take_relayed(packet.probe)
        if relayed is None:
            return []
        forwarded = Ack(self.own, relayed.probe, (packet.sender,))
        return [Outgoing(relayed.requester, forwarded)]

    def _merge_entries(self, entries: Iterable[MemberEntry], now: float) -> None:
        for entry in entries:
            if entry.instance == self.own.instance and entry is not self.own:
                self._merge_own_entry(entry, now)
                continue
            self._apply_entry(entry, now)

    def _apply_entry(self, entry: MemberEntry, now: float) -> None:
        previous = self.table.by_instance.get(entry.instance)
        revived = previous is not None and entry.live and not previous.entry.live
        for changed in self.table.apply(entry, now):
            self._record_update(changed, now)
            self.sync_needed = self.sync_needed or revived

    def _record_receipt(self, now: float) -> None:
        """Record the receipt of a datagram; undo provisional conclusions."""
        self._last_receipt_at = now
        for previous in self._suspicions.take_provisional():
            known = self.table.by_instance[previous.instance].entry
            if known.precedence[:2] == previous.precedence[:2]:
                self.table.restore(previous, now)
                self._suspicions.end(previous.instance)
                self.sync_needed = True

    def _is_disputed(self, entry: MemberEntry) -> bool:
        """Return whether this member considers the process of a live entry dead."""
        record = self.table.by_instance.get(entry.instance)
        if record is None or not entry.live or record.entry.live:
            return False
        return record.entry.incarnation == entry.incarnation

    def _ping_disputed(self) -> list[Outgoing]:
        """Ping members with a disputed death, so that they can refute it themselves."""
        disputed = self._disputed[:_DISPUTED_PINGS_PER_TICK]
        del self._disputed[:_DISPUTED_PINGS_PER_TICK]
        return [self._ping_dead_member(entry) for entry in disputed]

    def _ping_dead_member(self, entry: MemberEntry) -> Outgoing:
        known = self.table.by_instance[entry.instance].entry
        ping = Ping(self.own, self._probes.untracked_number(), (known,))
        return Outgoing(known.gossip, ping)

    def _merge_own_entry(self, entry: MemberEntry, now: float) -> None:
        """Refute a peer's entry about this process, or record that it is displaced."""
        if entry.incarnation > self.own.incarnation:
            self.displaced = True
            self._apply_entry(entry, now)
            return
        if self.displaced or entry.incarnation < self.own.incarnation:
            return
        if entry.precedence > self.own.precedence:
            self.own = replace(self.own, version=entry.version + 1)
            self._merge_entries([self.own], now)

    def _record_update(self, entry: MemberEntry, now: float) -> None:
        self._updates.add(entry)
        self._suspicions.update(entry, now)

    def _reset_after_pause(self) -> None:
        """Discard updates, probes and suspicions that are outdated after a pause."""
        self._updates.clear()
        self._updates.add(self.own)
        self._probes.clear()
        self._suspicions.clear()
        self.sync_needed = True

    def _end_suspicions(self, now: float) -> None:
        for suspicion in self._suspicions.take_due(now):
            entry = self.table.by_instance[suspicion.instance].entry
            if entry.precedence != suspicion.precedence:
                continue
            self._merge_entries([replace(entry, status=Status.DEAD)], now)
            if self._suspicions.is_provisional(suspicion.instance):
                self._updates.drop(suspicion.instance)

    def _end_avoidance(self, now: float) -> None:
        for instance, until in list(self._avoided_until_by_instance.items()):
            if now >= until:
                del self._avoided_until_by_instance[instance]
                self.table.mark_changed(instance)

    def _advance_probes(self, now: float) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        options = self._options
        for probe in self._probes.take_due_indirect(now, options.direct_timeout_s):
            outgoing += self._probe_through_others(probe)
        for probe in self._probes.take_expired(now, options.probe_timeout_s):
            self._mark_suspect(probe, now)
        return outgoing

    def _probe_through_others(self, probe: Probe) -> list[Outgoing]:
        helpers = [
            item for item in self._live_peers() if item.instance != probe.instance
        ]
        count = min(self._options.indirect_probes, len(helpers))
        return [
            Outgoing(
                item.gossip,
                IndirectPing(
                    self.own, probe.number, probe.address, self._piggybacked_updates()
                ),
            )
            for item in self._rng.sample(helpers, count)
        ]

    def _mark_suspect(self, probe: Probe, now: float) -> None:
        record = self.table.by_instance.get(probe.instance)
        if record is None or record.entry.incarnation != probe.incarnation:
            return
        if record.entry.status is not Status.ALIVE:
            return
        self._merge_entries([replace(record.entry, status=Status.SUSPECT)], now)
        if now - self._last_receipt_at >= self._options.probe_timeout_s:
            self._suspicions.record_provisional(record.entry)
            self._updates.drop(probe.instance)

    def _probe_next(self, now: float) -> list[Outgoing]:
        entry = self._probes.next_target(self._live_peers)
        return [] if entry is None else [self._probe(entry, now)]

    def _probe(self, entry: MemberEntry, now: float) -> Outgoing:
        number = self._probes.start(entry, now)
        return Outgoing(
            entry.gossip, Ping(self.own, number, self._piggybacked_updates())
        )

    def _reconnect(self) -> list[Outgoing]:
        """Ping a crashed member and a seed, so that two partitions can merge again."""
        crashed = [
            item.entry
            for item in self.table.by_instance.values()
            if not item.entry.live and item.entry.state is not ServerState.GONE
        ]
        known = {entry.gossip for entry in self.table.live()}
        seeds = [seed for seed in self._seeds if seed not in known]
        outgoing = (
            [self._ping_dead_member(self._rng.choice(crashed))] if crashed else []
        )
        if seeds:
            ping = Ping(
                self.own, self._probes.untracked_number(), self._piggybacked_updates()
            )
            outgoing.append(Outgoing(self._rng.choice(seeds), ping))
        return outgoing

    def _send_rumors(self) -> list[Outgoing]:
        """Send new updates to some members, within the rumor budget."""
        if not self._updates.has_unrumored or self._rumor_budget_bytes <= 0:
            return []
        count = min(self._options.rumor_fanout, len(self._live_peers()))
        if not count:
            return []
        updates = self._updates.take_unrumored(
            limit_bytes=self._options.max_updates_bytes
        )
        size_bytes = self.own.size_bytes + sum(item.size_bytes for item in updates)
        self._rumor_budget_bytes -= count * size_bytes
        return self._rumors_with(updates)

    def _rumors_with(self, updates: tuple[MemberEntry, ...]) -> list[Outgoing]:
        """Return rumors to random members; they also carry the sender's own entry."""
        peers = self._live_peers()
        count = min(self._options.rumor_fanout, len(peers))
        rumor = Rumor(self.own, updates)
        return [Outgoing(item.gossip, rumor) for item in self._rng.sample(peers, count)]

    def _refill_rumor_budget(self, elapsed_s: float) -> None:
        filled = self._rumor_budget_bytes + elapsed_s * self._options.rumor_bytes_per_s
        self._rumor_budget_bytes = min(self._options.rumor_burst_bytes, filled)

    def _piggybacked_updates(self) -> tuple[MemberEntry, ...]:
        members = len(self.table.by_instance)
        sends = self._options.retransmit_factor * math.ceil(math.log2(members + 1))
        return self._updates.take(
            limit_bytes=self._options.max_updates_bytes, limit_sends=sends
        )

    def _live_peers(self) -> list[MemberEntry]:
        own = self.own.instance
        return [entry for entry in self.table.live() if entry.instance != own]
