"""Drops datagrams that were taken before."""

from dataclasses import dataclass

from damaskbay.adapters.gossip_udp.const import MAX_SENDERS, WINDOW_DATAGRAMS


@dataclass(slots=True)
class _Window:
    incarnation: int
    highest: int
    seen: int


class ReplayFilter:
    """Remembers for each sender which of its last datagrams came."""

    def __init__(self) -> None:
        self._by_instance: dict[str, _Window] = {}

    def fresh(self, instance: str, incarnation: int, sequence: int) -> bool:
        """Tell whether a proven datagram was not taken before, and remember it."""
        window = self._by_instance.get(instance)
        if window is None or incarnation > window.incarnation:
            self._remember(instance, _Window(incarnation, sequence, 1))
            return True
        if incarnation < window.incarnation:
            return False
        if sequence > window.highest:
            ahead = min(sequence - window.highest, WINDOW_DATAGRAMS)
            mask = (1 << WINDOW_DATAGRAMS) - 1
            window.seen = (window.seen << ahead | 1) & mask
            window.highest = sequence
            return True
        behind = window.highest - sequence
        if behind >= WINDOW_DATAGRAMS or window.seen >> behind & 1:
            return False
        window.seen |= 1 << behind
        return True

    def _remember(self, instance: str, window: _Window) -> None:
        self._by_instance.pop(instance, None)
        if len(self._by_instance) >= MAX_SENDERS:
            del self._by_instance[next(iter(self._by_instance))]
        self._by_instance[instance] = window
