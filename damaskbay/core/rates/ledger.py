"""
The ledger of one group of buckets, as stored in the platform.

A share belongs to one holder process. The free share, which no holder has, is the
limit minus all shares; it is computed and never stored. It accrues tokens like the
share of a holder: `spare_millis` are the tokens it had for certain when it last
changed, and `mark` is incremented with each such change.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from damaskbay.core.rates.bucket import NO_SHARE, Share
from damaskbay.core.rates.names import BucketLimit


@dataclass(frozen=True, slots=True)
class Holding:
    """A holder's share of a bucket and the share that it needs."""

    share: Share
    need: Share = NO_SHARE


@dataclass(frozen=True, slots=True)
class BucketRecord:
    """One bucket: its limit, its free tokens and the shares of its holders."""

    total: BucketLimit
    spare_millis: int = 0
    free_version: int = 0
    holdings_by_holder: Mapping[str, Holding] = field(default_factory=dict)

    @property
    def free(self) -> Share:
        """Return the share that no holder has, at least zero."""
        shares = [item.share for item in self.holdings_by_holder.values()]
        rate = self.total.rate_millis - sum(item.rate_millis for item in shares)
        burst = self.total.burst_millis - sum(item.burst_millis for item in shares)
        return Share(max(0, rate), max(0, burst))

    def share_of(self, holder: str) -> Share:
        """Return the share of a holder, or `NO_SHARE`."""
        holding = self.holdings_by_holder.get(holder)
        return holding.share if holding else NO_SHARE


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """A holder's last renewal; `sequence` differs for each of its writes."""

    sequence: int
    validity_s: float


@dataclass(frozen=True, slots=True)
class GroupLedger:
    """All buckets of one group and their holders."""

    holders_by_id: Mapping[str, HolderRecord] = field(default_factory=dict)
    buckets_by_name: Mapping[str, BucketRecord] = field(default_factory=dict)

    def share(self, bucket: str, holder: str) -> Share:
        """Return a holder's share of a bucket, or `NO_SHARE`."""
        record = self.buckets_by_name.get(bucket)
        return record.share_of(holder) if record else NO_SHARE


class LedgerDraft:
    """
    Changes of one holder to a ledger, to be written by compare-and-swap.

    `observed_s` returns for how many seconds the writer has seen a bucket's `mark`
    unchanged: the free share has accrued tokens for at least that long.
    """

    def __init__(self, ledger: GroupLedger, observed_s: Callable[[str], float]) -> None:
        self._holders_by_id = dict(ledger.holders_by_id)
        self._buckets_by_name = dict(ledger.buckets_by_name)
        self._observed_s = observed_s
        self._accrued_buckets: set[str] = set()

    def finish(self) -> GroupLedger:
        """Return the ledger with all changes."""
        return GroupLedger(self._holders_by_id, self._buckets_by_name)

    def record(self, bucket: str) -> BucketRecord | None:
        """Return a bucket's record with the changes so far, or None."""
        return self._buckets_by_name.get(bucket)

    def renew(self, holder: str, sequence: int, validity_s: float) -> None:
        """Set the holder's sequence and validity."""
        self._holders_by_id[holder] = HolderRecord(sequence, validity_s)

    def set_limit(self, bucket: str, total: BucketLimit, *, first_tokens: bool) -> None:
        """
        Set the limit of a bucket; ignore a version that is not newer.

        A new bucket starts with the complete burst as free tokens if `first_tokens`,
        else with none. Raising a limit adds no tokens.
        """
        record = self.record(bucket)
        if record is None:
            spare = total.burst_millis if first_tokens else 0
            self._buckets_by_name[bucket] = BucketRecord(total, spare)
            self._accrued_buckets.add(bucket)
            return
        if total.version <= record.total.version:
            return
        record = replace(self._accrue_free(bucket), total=total)
        self._store(bucket, record)

    def claim(self, bucket: str, holder: str, wanted: Share) -> tuple[Share, int]:
        """
        Move up to `wanted` from the free share to the holder's share.

        Return the moved share and the tokens (thousandths) moved with it.
        """
        record = self._accrue_free(bucket)
        moved = wanted.minimum(record.free)
        tokens = min(moved.burst_millis, record.spare_millis)
        old = record.share_of(holder)
        share = Share(
            old.rate_millis + moved.rate_millis,
            old.burst_millis + moved.burst_millis,
        )
        record = replace(record, spare_millis=record.spare_millis - tokens)
        self._store(bucket, self._with_share(record, holder, share))
        return moved, tokens

    def lower(self, bucket: str, holder: str, share: Share, tokens: int) -> None:
        """Reduce the holder's share to `share` and free `tokens` (thousandths)."""
        record = self._accrue_free(bucket)
        share = share.minimum(record.share_of(holder))
        spare = record.spare_millis + tokens
        record = self._with_share(record, holder, share)
        self._store(bucket, replace(record, spare_millis=spare))

    def set_need(self, bucket: str, holder: str, need: Share) -> None:
        """Set the share that the holder needs, for its peers to read."""
        record = self._buckets_by_name[bucket]
        holding = record.holdings_by_holder.get(holder, Holding(NO_SHARE))
        holdings = dict(record.holdings_by_holder)
        holdings[holder] = replace(holding, need=need)
        self._buckets_by_name[bucket] = replace(record, holdings_by_holder=holdings)

    def need_of(self, bucket: str, holder: str) -> Share:
        """Return the share that the holder needs by its record, or `NO_SHARE`."""
        holding = self._buckets_by_name[bucket].holdings_by_holder.get(holder)
        return holding.need if holding else NO_SHARE

    def remove_holder(self, holder: str) -> None:
        """Remove a holder and free its shares, without tokens."""
        for bucket, record in list(self._buckets_by_name.items()):
            if holder not in record.holdings_by_holder:
                continue
            record = self._accrue_free(bucket)
            holdings = dict(record.holdings_by_holder)
            del holdings[holder]
            self._store(bucket, replace(record, holdings_by_holder=holdings))
        self._holders_by_id.pop(holder, None)

    def _accrue_free(self, bucket: str) -> BucketRecord:
        """Add the tokens that the free share has accrued; once per bucket and draft."""
        record = self._buckets_by_name[bucket]
        if bucket in self._accrued_buckets:
            return record
        self._accrued_buckets.add(bucket)
        accrued = int(record.free.rate_millis * self._observed_s(bucket))
        spare = min(record.free.burst_millis, record.spare_millis + accrued)
        record = replace(
            record, spare_millis=spare, free_version=record.free_version + 1
        )
        self._buckets_by_name[bucket] = record
        return record

    def _store(self, bucket: str, record: BucketRecord) -> None:
        """Set a bucket's record, with its free tokens limited to the free burst."""
        spare = min(record.spare_millis, record.free.burst_millis)
        self._buckets_by_name[bucket] = replace(record, spare_millis=spare)

    def _with_share(
        self, record: BucketRecord, holder: str, share: Share
    ) -> BucketRecord:
        """Return the record with a holder's share replaced."""
        holdings = dict(record.holdings_by_holder)
        old = holdings.get(holder, Holding(NO_SHARE))
        holdings[holder] = replace(old, share=share)
        return replace(record, holdings_by_holder=holdings)
