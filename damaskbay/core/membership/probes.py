"""Probes that wait for an answer, for this member and for others."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from damaskbay.core.membership.entry import MemberEntry
from damaskbay.ports.peer import PeerAddress

_RELAY_S = 2.0
_MAX_RELAYS = 1_000


@dataclass(slots=True)
class Probe:
    """A probe of one process. `sent_at` in seconds."""

    number: int
    instance: str
    incarnation: int
    address: PeerAddress
    sent_at: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A probe sent for another member."""

    requester: PeerAddress
    probe: int
    sent_at: float


class ProbeBook:
    """Numbers probes, remembers open ones and picks whom to probe next."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._number = rng.getrandbits(32)
        self._by_number: dict[int, Probe] = {}
        self._relays_by_number: dict[int, Relay] = {}
        self._round: list[MemberEntry] = []

    def next_target(
        self, members: Callable[[], list[MemberEntry]]
    ) -> MemberEntry | None:
        """Return the next member of a shuffled round, None where there is none."""
        if not self._round:
            self._round = members()
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def start(self, entry: MemberEntry, now: float) -> int:
        """Open a probe and return its number."""
        number = self.untracked()
        self._by_number[number] = Probe(
            number, entry.instance, entry.incarnation, entry.gossip, now
        )
        return number

    def untracked(self) -> int:
        """Return a number for a probe whose failure tells nothing."""
        self._number += 1
        return self._number

    def relay(self, requester: PeerAddress, probe: int, now: float) -> int:
        """Open a probe for another member and return its number."""
        self._drop_old_relays(now)
        number = self.untracked()
        if len(self._relays_by_number) < _MAX_RELAYS:
            self._relays_by_number[number] = Relay(requester, probe, now)
        return number

    def acknowledged(self, number: int) -> None:
        """Close a probe that was answered."""
        self._by_number.pop(number, None)

    def take_relay(self, number: int) -> Relay | None:
        """Return for whom a probe was sent, once."""
        return self._relays_by_number.pop(number, None)

    def due_indirect(self, now: float, timeout_s: float) -> list[Probe]:
        """Return the probes to be sent through others, each once."""
        due = [
            item
            for item in self._by_number.values()
            if not item.indirect and now - item.sent_at >= timeout_s
        ]
        for item in due:
            item.indirect = True
        return due

    def expired(self, now: float, timeout_s: float) -> list[Probe]:
        """Close and return the probes that brought no answer in time."""
        late = [
            item for item in self._by_number.values() if now - item.sent_at >= timeout_s
        ]
        for item in late:
            del self._by_number[item.number]
        return late

    def clear(self) -> None:
        """Forget all open probes."""
        self._by_number.clear()
        self._relays_by_number.clear()

    def _drop_old_relays(self, now: float) -> None:
        late = [
            number
            for number, item in self._relays_by_number.items()
            if now - item.sent_at >= _RELAY_S
        ]
        for number in late:
            del self._relays_by_number[number]
