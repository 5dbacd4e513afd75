"""What a holder writes next: how much of each bucket it claims or gives up."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from damaskbay.core.rates.bucket import Share
from damaskbay.core.rates.const import (
    MILLIS,
    NEED_GRID,
    SHRINK_FACTOR,
    SILENT_RENEWALS,
)
from damaskbay.core.rates.demand import fair_parts
from damaskbay.core.rates.ledger import BucketRecord
from damaskbay.core.rates.names import Total
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.view import LedgerView


@dataclass(frozen=True, slots=True)
class Need:
    """
    What a holder needs of one bucket now.

    `rate_millis` in thousandths/s with headroom; `unmet_tokens` were asked for
    in vain since the last write; `unmet_lately` keeps a burst that was claimed
    for such; `used_lately` earns the floor.
    """

    rate_millis: int
    unmet_tokens: int = 0
    unmet_lately: bool = False
    used_lately: bool = False


def need_millis(rate_per_s: float, total: Total, options: ShareOptions) -> int:
    """
    Return the rate to ask for with headroom, in thousandths/s, at most the total.

    Rounded up to a coarse grid, so that small changes cost no write.
    """
    wanted = rate_per_s * options.headroom * MILLIS
    if wanted < 1:
        return 0
    steps = math.ceil(math.log(wanted, NEED_GRID))
    return min(int(NEED_GRID**steps), total.rate_millis)


def target_share(
    record: BucketRecord,
    holder: str,
    need: Need,
    *,
    silent: frozenset[str],
    options: ShareOptions,
) -> Share:
    """
    Return the share that the holder should have next.

    While the live holders' needs fit, each gets its need and keeps somewhat
    more than that; else each gets its max-min fair part.
    """
    needs = _live_needs(record, holder, need, silent)
    locked = sum(record.share_of(other).rate_millis for other in silent)
    available = max(0, record.total.rate_millis - locked)
    part = fair_parts(available, needs)[holder]
    if _pressed(record, needs, available):
        return Share(part, _burst_for(part, record))
    return _unpressed(record, holder, need, part, options)


def _live_needs(
    record: BucketRecord, holder: str, need: Need, silent: frozenset[str]
) -> dict[str, int]:
    needs = {
        other: holding.need_millis
        for other, holding in record.holdings_by_holder.items()
        if other not in silent
    }
    needs[holder] = need.rate_millis
    return needs


def _pressed(record: BucketRecord, needs: Mapping[str, int], available: int) -> bool:
    """Tell whether someone lacks what the free part cannot give."""
    if sum(needs.values()) > available:
        return True
    lacking = [
        max(0, needed - record.share_of(holder).rate_millis)
        for holder, needed in needs.items()
    ]
    if sum(lacking) > record.free.rate_millis:
        return True
    without_token = [
        holder
        for holder, needed in needs.items()
        if needed and record.share_of(holder).burst_millis < MILLIS
    ]
    return len(without_token) * MILLIS > record.free.burst_millis


def _unpressed(
    record: BucketRecord, holder: str, need: Need, part: int, options: ShareOptions
) -> Share:
    current = record.share_of(holder)
    floor = int(record.total.rate_millis * options.floor_share)
    rate = max(part, floor) if need.used_lately else part
    if rate <= current.rate_millis <= rate * SHRINK_FACTOR:
        rate = current.rate_millis
    burst = _burst_for(rate, record)
    if rate >= current.rate_millis and need.unmet_lately:
        burst = max(burst, current.burst_millis)
    if need.unmet_tokens:
        free = record.free.burst_millis
        claimed = max(need.unmet_tokens * MILLIS, free // 2)
        burst = max(burst, current.burst_millis + min(claimed, free))
    return Share(rate, min(burst, record.total.burst_millis))


def _burst_for(rate: int, record: BucketRecord) -> int:
    """Size the burst with the rate, in whole tokens, at least one if any."""
    if rate <= 0:
        return 0
    total = record.total
    tokens = total.burst_millis * rate // total.rate_millis // MILLIS
    return min(max(1, tokens) * MILLIS, total.burst_millis)


def silent_holders(
    view: LedgerView, options: ShareOptions, now: float
) -> frozenset[str]:
    """Name the holders that missed renewals: their shares are out of use."""
    limit_s = options.renew_s * SILENT_RENEWALS
    return frozenset(
        holder
        for holder in view.ledger.holders_by_id
        if view.unchanged_s(holder, now) > limit_s
    )
