"""
The ledger of one group of buckets, as the platform keeps it.

A share belongs to one holder process. What no holder has is free: total less all
shares, computed and never stored. The free part accrues tokens as a holder's
would; `spare_millis` are those that were surely there when the record's free part
last changed, which `mark` tells apart.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from damaskbay.core.rates.bucket import NO_SHARE, Share
from damaskbay.core.rates.names import Total


@dataclass(frozen=True, slots=True)
class Holding:
    """One holder's share of a bucket and what it needs."""

    share: Share
    need: Share = NO_SHARE


@dataclass(frozen=True, slots=True)
class BucketRecord:
    """One bucket: total, free tokens and the holdings."""

    total: Total
    spare_millis: int = 0
    mark: int = 0
    holdings_by_holder: Mapping[str, Holding] = field(default_factory=dict)

    @property
    def free(self) -> Share:
        """Return what no holder has; never below zero."""
        held = [item.share for item in self.holdings_by_holder.values()]
        rate = self.total.rate_millis - sum(item.rate_millis for item in held)
        burst = self.total.burst_millis - sum(item.burst_millis for item in held)
        return Share(max(0, rate), max(0, burst))

    def share_of(self, holder: str) -> Share:
        """Return a holder's share."""
        holding = self.holdings_by_holder.get(holder)
        return holding.share if holding else NO_SHARE


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """A holder's last renewal; each of its writes has a sequence of its own."""

    sequence: int
    validity_s: float


@dataclass(frozen=True, slots=True)
class GroupLedger:
    """All buckets of one group and the holders that have shares of them."""

    holders_by_id: Mapping[str, HolderRecord] = field(default_factory=dict)
    buckets_by_name: Mapping[str, BucketRecord] = field(default_factory=dict)

    def share(self, bucket: str, holder: str) -> Share:
        """Return a holder's share of a bucket."""
        record = self.buckets_by_name.get(bucket)
        return record.share_of(holder) if record else NO_SHARE


class LedgerDraft:
    """
    A ledger being changed by one holder, to be written by compare-and-swap.

    `observed_s` gives, for a bucket, for how many seconds the writer has known
    its record's mark: the free part has surely accrued for that long.
    """

    def __init__(self, ledger: GroupLedger, observed_s: Callable[[str], float]) -> None:
        self._holders_by_id = dict(ledger.holders_by_id)
        self._buckets_by_name = dict(ledger.buckets_by_name)
        self._observed_s = observed_s
        self._opened: set[str] = set()

    def finish(self) -> GroupLedger:
        """Return the changed ledger."""
        return GroupLedger(self._holders_by_id, self._buckets_by_name)

    def record(self, bucket: str) -> BucketRecord | None:
        """Return a bucket's record as it stands in the draft."""
        return self._buckets_by_name.get(bucket)

    def renew(self, holder: str, sequence: int, validity_s: float) -> None:
        """Write the holder's next sequence."""
        self._holders_by_id[holder] = HolderRecord(sequence, validity_s)

    def adopt_total(self, bucket: str, total: Total, *, first_tokens: bool) -> None:
        """
        Take a newer total; an older or equal version changes nothing.

        A bucket without a record starts with its whole burst in the free part
        if `first_tokens`. A larger total brings no tokens.
        """
        record = self.record(bucket)
        if record is None:
            spare = total.burst_millis if first_tokens else 0
            self._buckets_by_name[bucket] = BucketRecord(total, spare)
            self._opened.add(bucket)
            return
        if total.version <= record.total.version:
            return
        record = replace(self._open(bucket), total=total)
        self._put(bucket, record)

    def claim(self, bucket: str, holder: str, wanted: Share) -> tuple[Share, int]:
        """
        Move up to `wanted` from the free part to the holder's share.

        Return what was moved and the tokens (thousandths) that came with it.
        """
        record = self._open(bucket)
        moved = wanted.within(record.free)
        tokens = min(moved.burst_millis, record.spare_millis)
        old = record.share_of(holder)
        share = Share(
            old.rate_millis + moved.rate_millis,
            old.burst_millis + moved.burst_millis,
        )
        record = replace(record, spare_millis=record.spare_millis - tokens)
        self._put(bucket, self._held(record, holder, share))
        return moved, tokens

    def lower(self, bucket: str, holder: str, share: Share, tokens: int) -> None:
        """Move the holder's share down to `share`, with tokens (thousandths)."""
        record = self._open(bucket)
        share = share.within(record.share_of(holder))
        spare = record.spare_millis + tokens
        record = self._held(record, holder, share)
        self._put(bucket, replace(record, spare_millis=spare))

    def set_need(self, bucket: str, holder: str, need: Share) -> None:
        """Tell the others what the holder needs."""
        record = self._buckets_by_name[bucket]
        holding = record.holdings_by_holder.get(holder, Holding(NO_SHARE))
        holdings = dict(record.holdings_by_holder)
        holdings[holder] = replace(holding, need=need)
        self._buckets_by_name[bucket] = replace(record, holdings_by_holder=holdings)

    def need_of(self, bucket: str, holder: str) -> Share:
        """Return what the holder's record says it needs."""
        holding = self._buckets_by_name[bucket].holdings_by_holder.get(holder)
        return holding.need if holding else NO_SHARE

    def remove_holder(self, holder: str) -> None:
        """Free all shares of a holder, without tokens."""
        for bucket, record in list(self._buckets_by_name.items()):
            if holder not in record.holdings_by_holder:
                continue
            record = self._open(bucket)
            holdings = dict(record.holdings_by_holder)
            del holdings[holder]
            self._put(bucket, replace(record, holdings_by_holder=holdings))
        self._holders_by_id.pop(holder, None)

    def _open(self, bucket: str) -> BucketRecord:
        """Bring the free part's tokens up to date, once in a draft."""
        record = self._buckets_by_name[bucket]
        if bucket in self._opened:
            return record
        self._opened.add(bucket)
        accrued = int(record.free.rate_millis * self._observed_s(bucket))
        spare = min(record.free.burst_millis, record.spare_millis + accrued)
        record = replace(record, spare_millis=spare, mark=record.mark + 1)
        self._buckets_by_name[bucket] = record
        return record

    def _put(self, bucket: str, record: BucketRecord) -> None:
        spare = min(record.spare_millis, record.free.burst_millis)
        self._buckets_by_name[bucket] = replace(record, spare_millis=spare)

    def _held(self, record: BucketRecord, holder: str, share: Share) -> BucketRecord:
        holdings = dict(record.holdings_by_holder)
        old = holdings.get(holder, Holding(NO_SHARE))
        holdings[holder] = replace(old, share=share)
        return replace(record, holdings_by_holder=holdings)
