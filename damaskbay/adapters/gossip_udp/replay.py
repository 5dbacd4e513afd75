"""Replay protection for datagrams."""

from dataclasses import dataclass

from damaskbay.adapters.gossip_udp.const import (
    MAX_TRACKED_SENDERS,
    REPLAY_WINDOW_DATAGRAMS,
)


@dataclass(slots=True)
class _ReplayWindow:
    """Window of a sender; bit n of `received_bits` stands for `highest` - n."""

    incarnation: int
    highest: int
    received_bits: int


class ReplayFilter:
    """Keeps a sliding window of received sequence numbers for each sender."""

    def __init__(self) -> None:
        self._windows_by_instance: dict[str, _ReplayWindow] = {}

    def accept(self, instance: str, incarnation: int, sequence: int) -> bool:
        """Record an authenticated datagram; return False if repeated or too old."""
        window = self._windows_by_instance.get(instance)
        if window is None or incarnation > window.incarnation:
            self._add_window(instance, _ReplayWindow(incarnation, sequence, 1))
            return True
        if incarnation < window.incarnation:
            return False
        if sequence > window.highest:
            ahead = min(sequence - window.highest, REPLAY_WINDOW_DATAGRAMS)
            mask = (1 << REPLAY_WINDOW_DATAGRAMS) - 1
            window.received_bits = (window.received_bits << ahead | 1) & mask
            window.highest = sequence
            return True
        behind = window.highest - sequence
        if behind >= REPLAY_WINDOW_DATAGRAMS or window.received_bits >> behind & 1:
            return False
        window.received_bits |= 1 << behind
        return True

    def _add_window(self, instance: str, window: _ReplayWindow) -> None:
        self._windows_by_instance.pop(instance, None)
        if len(self._windows_by_instance) >= MAX_TRACKED_SENDERS:
            del self._windows_by_instance[next(iter(self._windows_by_instance))]
        self._windows_by_instance[instance] = window
