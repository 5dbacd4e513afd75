"""What one observer knows of a group's ledger, and since when."""

from dataclasses import dataclass

from damaskbay.core.rates.ledger import GroupLedger


@dataclass(frozen=True, slots=True)
class _Seen:
    value: int
    since: float


class LedgerView:
    """
    The newest ledger seen, with the time since which each part stands unchanged.

    Times are taken after an answer came, so that what stands in the ledger was
    there at least as long as this view says.
    """

    def __init__(self, *, contact_s: float) -> None:
        self.ledger = GroupLedger()
        self.revision = 0
        self.seen_once = False
        self.contact_at = float("-inf")
        self._contact_s = contact_s
        self._marks_by_bucket: dict[str, _Seen] = {}
        self._sequences_by_holder: dict[str, _Seen] = {}

    def update(self, ledger: GroupLedger, revision: int, now: float) -> None:
        """Take in what a read or an own write showed."""
        in_contact = now - self.contact_at <= self._contact_s
        self.ledger = ledger
        self.revision = revision
        self.seen_once = self.seen_once or revision > 0
        self.contact_at = now
        marks = {name: item.mark for name, item in ledger.buckets_by_name.items()}
        self._marks_by_bucket = _follow(self._marks_by_bucket, marks, now)
        sequences = {name: item.sequence for name, item in ledger.holders_by_id.items()}
        known = self._sequences_by_holder if in_contact else {}
        self._sequences_by_holder = _follow(known, sequences, now)

    @property
    def lost(self) -> bool:
        """Tell whether the platform lost a ledger that was there before."""
        return self.seen_once and self.revision == 0

    def in_contact(self, now: float) -> bool:
        """Tell whether the platform answered lately."""
        return now - self.contact_at <= self._contact_s

    def observed_s(self, bucket: str, now: float) -> float:
        """Return for how long the bucket's free part surely stands unchanged."""
        seen = self._marks_by_bucket.get(bucket)
        return max(0.0, now - seen.since) if seen else 0.0

    def unchanged_s(self, holder: str, now: float) -> float:
        """Return for how long the holder has surely not renewed, while in contact."""
        seen = self._sequences_by_holder.get(holder)
        if seen is None or not self.in_contact(now):
            return 0.0
        return now - seen.since

    def lapsed(self, margin_s: float, now: float) -> tuple[str, ...]:
        """Name the holders that surely stopped: validity and margin have passed."""
        return tuple(
            holder
            for holder, record in self.ledger.holders_by_id.items()
            if self.unchanged_s(holder, now) > record.validity_s + margin_s
        )


def _follow(
    known: dict[str, _Seen], values: dict[str, int], now: float
) -> dict[str, _Seen]:
    followed = {}
    for name, value in values.items():
        seen = known.get(name)
        same = seen is not None and seen.value == value
        followed[name] = seen if same and seen else _Seen(value, now)
    return followed
