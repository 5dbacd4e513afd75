"""Members held for suspect, and what a member concluded without hearing anybody."""

from dataclasses import dataclass

from damaskbay.core.membership.entry import MemberEntry, Status

Fact = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A fact that becomes a death at `ends_at` unless a newer one comes."""

    instance: str
    fact: Fact
    ends_at: float


class Suspicions:
    """Suspicions by instance, and entries from before unheard conclusions."""

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._by_instance: dict[str, Suspicion] = {}
        self._unheard_by_instance: dict[str, MemberEntry] = {}

    def note(self, entry: MemberEntry, now: float) -> None:
        """Begin or end the suspicion of an instance by the newest entry."""
        self._by_instance.pop(entry.instance, None)
        if entry.status is Status.SUSPECT:
            suspicion = Suspicion(entry.instance, entry.fact, now + self._suspicion_s)
            self._by_instance[entry.instance] = suspicion

    def end(self, instance: str) -> None:
        """End the suspicion of an instance."""
        self._by_instance.pop(instance, None)

    def take_due(self, now: float) -> list[Suspicion]:
        """Return the suspicions whose time is over, each once."""
        due = [item for item in self._by_instance.values() if now >= item.ends_at]
        for item in due:
            del self._by_instance[item.instance]
        return due

    def clear(self) -> None:
        """Forget all suspicions."""
        self._by_instance.clear()

    def conclude_unheard(self, before: MemberEntry) -> None:
        """Remember an entry that was changed while nobody was heard."""
        self._unheard_by_instance.setdefault(before.instance, before)

    def is_unheard(self, instance: str) -> bool:
        """Tell whether what is held of an instance was concluded so."""
        return instance in self._unheard_by_instance

    def take_unheard(self) -> list[MemberEntry]:
        """Return the entries from before those conclusions, each once."""
        entries = list(self._unheard_by_instance.values())
        self._unheard_by_instance.clear()
        return entries
