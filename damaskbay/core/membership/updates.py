"""Queue of entries to send to other members, each a limited number of times."""

from dataclasses import dataclass

from damaskbay.core.membership.entry import MemberEntry


@dataclass(slots=True)
class _Pending:
    entry: MemberEntry
    sends: int = 0
    rumored: bool = False


class UpdateQueue:
    """Newest changed entry of each instance, until it was sent often enough."""

    def __init__(self) -> None:
        self._by_instance: dict[str, _Pending] = {}

    @property
    def has_unrumored(self) -> bool:
        """Return whether any update was not yet sent in a rumor."""
        return any(not item.rumored for item in self._by_instance.values())

    def add(self, entry: MemberEntry) -> None:
        """Queue an update; it replaces the queued one of the same instance."""
        self._by_instance[entry.instance] = _Pending(entry)

    def drop(self, instance: str) -> None:
        """Remove the update of one instance."""
        self._by_instance.pop(instance, None)

    def clear(self) -> None:
        """Remove all updates."""
        self._by_instance.clear()

    def take(self, *, limit_bytes: int, limit_sends: int) -> tuple[MemberEntry, ...]:
        """
        Return the updates that fit into `limit_bytes`, the least often sent first.

        An update is removed from the queue after it was returned `limit_sends` times.
        """
        waiting = sorted(self._by_instance.values(), key=lambda item: item.sends)
        taken = _fit_into(waiting, limit_bytes)
        for item in taken:
            item.sends += 1
            if item.sends >= limit_sends:
                del self._by_instance[item.entry.instance]
        return tuple(item.entry for item in taken)

    def take_unrumored(self, *, limit_bytes: int) -> tuple[MemberEntry, ...]:
        """Return the fitting updates that were not yet sent in a rumor."""
        unrumored = [item for item in self._by_instance.values() if not item.rumored]
        taken = _fit_into(unrumored, limit_bytes)
        for item in taken:
            item.rumored = True
        return tuple(item.entry for item in taken)


def _fit_into(items: list[_Pending], limit_bytes: int) -> list[_Pending]:
    taken: list[_Pending] = []
    remaining_bytes = limit_bytes
    for item in items:
        remaining_bytes -= item.entry.size_bytes
        if remaining_bytes < 0:
            break
        taken.append(item)
    return taken
