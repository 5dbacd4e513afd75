"""News that still has to be told, each a bounded number of times."""

from dataclasses import dataclass

from damaskbay.core.membership.entry import MemberEntry


@dataclass(slots=True)
class _Pending:
    entry: MemberEntry
    sends: int = 0
    rumored: bool = False


class UpdateQueue:
    """Holds the newest entry of each instance until it was told often enough."""

    def __init__(self) -> None:
        self._by_instance: dict[str, _Pending] = {}

    @property
    def fresh(self) -> bool:
        """Tell whether there are news that no rumor has told yet."""
        return any(not item.rumored for item in self._by_instance.values())

    def add(self, entry: MemberEntry) -> None:
        """Queue news; an older entry of the same instance is dropped."""
        self._by_instance[entry.instance] = _Pending(entry)

    def drop(self, instance: str) -> None:
        """Drop the news of one instance."""
        self._by_instance.pop(instance, None)

    def clear(self) -> None:
        """Drop all news."""
        self._by_instance.clear()

    def take(self, *, limit_bytes: int, limit_sends: int) -> tuple[MemberEntry, ...]:
        """Return what fits into a datagram, the least told first."""
        waiting = sorted(self._by_instance.values(), key=lambda item: item.sends)
        taken = _fitting(waiting, limit_bytes)
        for item in taken:
            item.sends += 1
            if item.sends >= limit_sends:
                del self._by_instance[item.entry.instance]
        return tuple(item.entry for item in taken)

    def take_fresh(self, *, limit_bytes: int) -> tuple[MemberEntry, ...]:
        """Return what fits of the news that no rumor has told yet."""
        fresh = [item for item in self._by_instance.values() if not item.rumored]
        taken = _fitting(fresh, limit_bytes)
        for item in taken:
            item.rumored = True
        return tuple(item.entry for item in taken)


def _fitting(items: list[_Pending], limit_bytes: int) -> list[_Pending]:
    taken: list[_Pending] = []
    left = limit_bytes
    for item in items:
        left -= item.entry.size_bytes
        if left < 0:
            break
        taken.append(item)
    return taken
