"""Probes that wait for an ack, sent for this member and for others."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damaskbay.core.membership.entry import MemberEntry
from damaskbay.ports.peer import PeerAddress

_RELAYED_PROBE_TIMEOUT_S = 2.0
_MAX_RELAYED_PROBES = 1_000


@dataclass(slots=True)
class Probe:
    """A probe of one process; `sent_at` is in seconds."""

    number: int
    instance: str
    incarnation: int
    address: PeerAddress
    sent_at: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent on behalf of another member."""

    requester: PeerAddress
    probe: int
    sent_at: float


class ProbeTracker:
    """Open probes by number, and the choice of the next probe target."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._number = rng.getrandbits(32)
        self._by_number: dict[int, Probe] = {}
        self._relayed_by_number: dict[int, RelayedProbe] = {}
        self._remaining_targets: list[MemberEntry] = []

    def next_target(
        self, members: Callable[[], list[MemberEntry]]
    ) -> MemberEntry | None:
        """Return the next member of a shuffled round, or None without other members."""
        if not self._remaining_targets:
            self._remaining_targets = members()
            self._rng.shuffle(self._remaining_targets)
        return self._remaining_targets.pop() if self._remaining_targets else None

    def start(self, entry: MemberEntry, now: float) -> int:
        """Record a new probe and return its number."""
        number = self.untracked_number()
        self._by_number[number] = Probe(
            number, entry.instance, entry.incarnation, entry.gossip, now
        )
        return number

    def untracked_number(self) -> int:
        """Return a number for a probe whose timeout is ignored."""
        self._number += 1
        return self._number

    def start_relayed(self, requester: PeerAddress, probe: int, now: float) -> int:
        """Record a probe for another member, up to a limit; return its number."""
        self._drop_expired_relayed(now)
        number = self.untracked_number()
        if len(self._relayed_by_number) < _MAX_RELAYED_PROBES:
            self._relayed_by_number[number] = RelayedProbe(requester, probe, now)
        return number

    def remove(self, number: int) -> None:
        """Remove a probe that was acknowledged."""
        self._by_number.pop(number, None)

    def take_relayed(self, number: int) -> RelayedProbe | None:
        """Remove and return a relayed probe, or None if there is none."""
        return self._relayed_by_number.pop(number, None)

    def take_due_indirect(self, now: float, timeout_s: float) -> list[Probe]:
        """Return probes to send through other members now; each is returned once."""
        due = [
            item
            for item in self._by_number.values()
            if not item.indirect and now - item.sent_at >= timeout_s
        ]
        for item in due:
            item.indirect = True
        return due

    def take_expired(self, now: float, timeout_s: float) -> list[Probe]:
        """Remove and return the probes without an ack in time."""
        overdue = [
            item for item in self._by_number.values() if now - item.sent_at >= timeout_s
        ]
        for item in overdue:
            del self._by_number[item.number]
        return overdue

    def clear(self) -> None:
        """Remove all open probes."""
        self._by_number.clear()
        self._relayed_by_number.clear()

    def _drop_expired_relayed(self, now: float) -> None:
        overdue = [
            number
            for number, item in self._relayed_by_number.items()
            if now - item.sent_at >= _RELAYED_PROBE_TIMEOUT_S
        ]
        for number in overdue:
            del self._relayed_by_number[number]
