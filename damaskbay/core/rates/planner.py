"""What a holder writes next: how much of each bucket it claims or gives up."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from damaskbay.core.rates.bucket import NO_SHARE, Share
from damaskbay.core.rates.const import (
    IN_USE_S,
    MILLIS,
    NEAR_ABOVE,
    NEAR_BELOW,
    NEED_GRID,
    SHRINK_FACTOR,
    SILENT_RENEWALS,
)
from damaskbay.core.rates.demand import fair_parts
from damaskbay.core.rates.ledger import BucketRecord, Holding
from damaskbay.core.rates.names import Total
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.view import LedgerView


@dataclass(frozen=True, slots=True)
class Need:
    """
    What a holder needs of one bucket now.

    `now` with headroom, which others may press it down to a fair part of; `keep`
    likewise of a longer time, not given up unasked; `unmet_tokens` were asked for
    in vain since the last write; `used_lately` earns the floor.
    """

    now: Share
    keep: Share
    unmet_tokens: int = 0
    used_lately: bool = False


def need_share(
    rate_per_s: float, spike_tokens: float, total: Total, options: ShareOptions
) -> Share:
    """
    Return what to ask for with headroom, at most the total.

    Rounded up to a coarse grid, so that small changes cost no write.
    """
    rate = _on_grid(rate_per_s * options.headroom * MILLIS)
    in_use = max(spike_tokens, rate_per_s * IN_USE_S)
    burst = _whole(_on_grid(in_use * MILLIS), up=True)
    return Share(min(rate, total.rate_millis), min(burst, total.burst_millis))


@dataclass(frozen=True, slots=True)
class Target:
    """The share to have next, and whether live holders lack rate or burst."""

    share: Share
    pressed: bool


def target_share(
    record: BucketRecord,
    holder: str,
    need: Need,
    *,
    silent: frozenset[str],
    options: ShareOptions,
) -> Target:
    """
    Return the share that the holder should have next.

    Rate and burst each: while the live holders' needs fit, each gets its need
    and keeps somewhat more than that; else each gets its max-min fair part.
    """
    live = {
        other: holding
        for other, holding in record.holdings_by_holder.items()
        if other not in silent
    }
    own = live.get(holder, Holding(NO_SHARE))
    live[holder] = Holding(own.share, need.now)
    floor_share = options.floor_share if need.used_lately else 0.0
    rate = _Part(
        total=record.total.rate_millis,
        free=record.free.rate_millis,
        held_by_holder={name: item.share.rate_millis for name, item in live.items()},
        need_by_holder={name: item.need.rate_millis for name, item in live.items()},
        floor=int(record.total.rate_millis * floor_share),
        keep=need.keep.rate_millis,
    )
    burst = _Part(
        total=record.total.burst_millis,
        free=record.free.burst_millis,
        held_by_holder={name: item.share.burst_millis for name, item in live.items()},
        need_by_holder={name: item.need.burst_millis for name, item in live.items()},
        floor=_whole(record.total.burst_millis * floor_share, up=True),
        keep=need.keep.burst_millis,
    )
    tokens = _whole(burst.target(holder, need.unmet_tokens * MILLIS))
    pressed = rate.pressed() or burst.pressed()
    return Target(Share(rate.target(holder, 0), tokens), pressed)


@dataclass(frozen=True, slots=True)
class _Part:
    """Either rate or burst of one bucket, in thousandths."""

    total: int
    free: int
    held_by_holder: Mapping[str, int]
    need_by_holder: Mapping[str, int]
    floor: int
    keep: int

    def target(self, holder: str, unmet: int) -> int:
        """Return what the holder should have next."""
        available = min(self.free + sum(self.held_by_holder.values()), self.total)
        part = fair_parts(available, self.need_by_holder)[holder]
        current = self.held_by_holder[holder]
        if self.pressed():
            near = part * NEAR_BELOW <= current <= part * NEAR_ABOVE
            return current if near else part
        wanted = max(part, self.floor)
        if unmet:
            claimed = max(unmet, self.free // 2)
            wanted = max(wanted, current + min(claimed, self.free))
        if wanted >= current:
            return wanted
        kept = max(wanted, self.keep)
        return kept if current > kept * SHRINK_FACTOR else current

    def pressed(self) -> bool:
        """Tell whether someone lacks what the free part cannot give."""
        lacking = (
            max(0, need - self.held_by_holder[holder])
            for holder, need in self.need_by_holder.items()
        )
        return sum(lacking) > self.free


def _on_grid(millis: float) -> int:
    if millis < 1:
        return 0
    return int(NEED_GRID ** math.ceil(math.log(millis, NEED_GRID)))


def _whole(millis: float, *, up: bool = False) -> int:
    """Round to whole tokens."""
    tokens = math.ceil(millis / MILLIS) if up else int(millis // MILLIS)
    return tokens * MILLIS


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
