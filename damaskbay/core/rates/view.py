"""A process's view of a group's ledger, and how long its parts are unchanged."""

from dataclasses import dataclass

from damaskbay.core.rates.ledger import GroupLedger


@dataclass(frozen=True, slots=True)
class _Seen:
    value: int
    since: float


class LedgerView:
    """
    The newest ledger read, and for how long each of its parts is unchanged.

    Times are taken when a reply has arrived, so that a part has been unchanged for
    at least as long as this view returns. Contact with the platform is lost
    `contact_s` seconds after its last reply.
    """

    def __init__(self, *, contact_s: float) -> None:
        self.ledger = GroupLedger()
        self.revision = 0
        self.has_existed = False
        self.last_contact_at = float("-inf")
        self._contact_s = contact_s
        self._marks_by_bucket: dict[str, _Seen] = {}
        self._sequences_by_holder: dict[str, _Seen] = {}

    def update(self, ledger: GroupLedger, revision: int, now: float) -> None:
        """Record the ledger after a read or a successful write."""
        in_contact = now - self.last_contact_at <= self._contact_s
        self.ledger = ledger
        self.revision = revision
        self.has_existed = self.has_existed or revision > 0
        self.last_contact_at = now
        marks = {
            name: item.free_version for name, item in ledger.buckets_by_name.items()
        }
        self._marks_by_bucket = _track_changes(self._marks_by_bucket, marks, now)
        sequences = {name: item.sequence for name, item in ledger.holders_by_id.items()}
        known = self._sequences_by_holder if in_contact else {}
        self._sequences_by_holder = _track_changes(known, sequences, now)

    @property
    def lost(self) -> bool:
        """Return whether the platform lost a ledger that existed before."""
        return self.has_existed and self.revision == 0

    def in_contact(self, now: float) -> bool:
        """Return whether the platform replied within `contact_s`."""
        return now - self.last_contact_at <= self._contact_s

    def observed_s(self, bucket: str, now: float) -> float:
        """Return the least number of seconds for which the `mark` is unchanged."""
        seen = self._marks_by_bucket.get(bucket)
        return max(0.0, now - seen.since) if seen else 0.0

    def unchanged_s(self, holder: str, now: float) -> float:
        """
        Return for how many seconds at least the holder has not renewed.

        0.0 without contact to the platform.
        """
        seen = self._sequences_by_holder.get(holder)
        if seen is None or not self.in_contact(now):
            return 0.0
        return now - seen.since

    def lapsed(self, margin_s: float, now: float) -> tuple[str, ...]:
        """Return the holders without renewal for their validity plus `margin_s`."""
        return tuple(
            holder
            for holder, record in self.ledger.holders_by_id.items()
            if self.unchanged_s(holder, now) > record.validity_s + margin_s
        )


def _track_changes(
    known: dict[str, _Seen], values: dict[str, int], now: float
) -> dict[str, _Seen]:
    """Return the values with their last change times, `now` for new or changed ones."""
    tracked = {}
    for name, value in values.items():
        seen = known.get(name)
        same = seen is not None and seen.value == value
        tracked[name] = seen if same and seen else _Seen(value, now)
    return tracked
