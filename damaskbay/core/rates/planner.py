"""Target shares of a holder: how much of each bucket it claims or gives up."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from damaskbay.core.rates.bucket import NO_SHARE, Share
from damaskbay.core.rates.const import (
    EXCESS_SHARE_FACTOR,
    FAIR_SHARE_MAX_FACTOR,
    FAIR_SHARE_MIN_FACTOR,
    MILLIS,
    NEED_STEP_FACTOR,
    TOKEN_HOLD_S,
    UNRESPONSIVE_AFTER_RENEWALS,
)
from damaskbay.core.rates.demand import max_min_fair_shares
from damaskbay.core.rates.ledger import BucketRecord, Holding
from damaskbay.core.rates.names import BucketLimit
from damaskbay.core.rates.options import ShareOptions
from damaskbay.core.rates.view import LedgerView


@dataclass(frozen=True, slots=True)
class Need:
    """
    The share of one bucket that a holder needs.

    `current` includes headroom; under scarcity a holder gets only a fair share of it.
    `retained` is the peak of a longer time, kept while there is no scarcity.
    `unmet_tokens` were needed and not granted since the last write. If
    `used_recently`, the holder keeps a minimum share (`floor_share`).
    """

    current: Share
    retained: Share
    unmet_tokens: int = 0
    used_recently: bool = False


def needed_share(
    rate_per_s: float, spike_tokens: float, total: BucketLimit, options: ShareOptions
) -> Share:
    """
    Return the share needed for a demand, with headroom, at most the limit.

    Values are rounded up in coarse steps, so that small changes cause no write.
    """
    rate = _round_up_to_step(rate_per_s * options.headroom * MILLIS)
    occupied_tokens = max(spike_tokens, rate_per_s * TOKEN_HOLD_S)
    burst = _whole_tokens(_round_up_to_step(occupied_tokens * MILLIS), up=True)
    return Share(min(rate, total.rate_millis), min(burst, total.burst_millis))


@dataclass(frozen=True, slots=True)
class Target:
    """A holder's next share, and whether live holders need more than is free."""

    share: Share
    is_scarce: bool


def target_share(
    record: BucketRecord,
    holder: str,
    need: Need,
    *,
    unresponsive: frozenset[str],
    options: ShareOptions,
) -> Target:
    """
    Return the next share of a holder, with rate and burst decided separately.

    While the needs of the live holders fit, each gets its need and may keep more;
    otherwise each gets its max-min fair share.
    """
    live = {
        other: holding
        for other, holding in record.holdings_by_holder.items()
        if other not in unresponsive
    }
    own = live.get(holder, Holding(NO_SHARE))
    live[holder] = Holding(own.share, need.current)
    floor_share = options.floor_share if need.used_recently else 0.0
    rate = _Resource(
        total=record.total.rate_millis,
        free=record.free.rate_millis,
        held_by_holder={name: item.share.rate_millis for name, item in live.items()},
        need_by_holder={name: item.need.rate_millis for name, item in live.items()},
        minimum=int(record.total.rate_millis * floor_share),
        retained=need.retained.rate_millis,
    )
    burst = _Resource(
        total=record.total.burst_millis,
        free=record.free.burst_millis,
        held_by_holder={name: item.share.burst_millis for name, item in live.items()},
        need_by_holder={name: item.need.burst_millis for name, item in live.items()},
        minimum=_whole_tokens(record.total.burst_millis * floor_share, up=True),
        retained=need.retained.burst_millis,
    )
    tokens = _whole_tokens(burst.target(holder, need.unmet_tokens * MILLIS))
    is_scarce = rate.is_scarce() or burst.is_scarce()
    return Target(Share(rate.target(holder, 0), tokens), is_scarce)


@dataclass(frozen=True, slots=True)
class _Resource:
    """Rate or burst of one bucket, in thousandths."""

    total: int
    free: int
    held_by_holder: Mapping[str, int]
    need_by_holder: Mapping[str, int]
    minimum: int
    retained: int

    def target(self, holder: str, unmet: int) -> int:
        """
        Return the holder's next value.

        If `unmet` thousandths were needed but not granted, the holder claims that many
        or half of what is free, whichever is more.
        """
        available = min(self.free + sum(self.held_by_holder.values()), self.total)
        fair = max_min_fair_shares(available, self.need_by_holder)[holder]
        current = self.held_by_holder[holder]
        if self.is_scarce():
            is_near = (
                fair * FAIR_SHARE_MIN_FACTOR <= current <= fair * FAIR_SHARE_MAX_FACTOR
            )
            return current if is_near else fair
        wanted = max(fair, self.minimum)
        if unmet:
            claimed = max(unmet, self.free // 2)
            wanted = max(wanted, current + min(claimed, self.free))
        if wanted >= current:
            return wanted
        kept = max(wanted, self.retained)
        return kept if current > kept * EXCESS_SHARE_FACTOR else current

    def is_scarce(self) -> bool:
        """Return whether live holders lack more than is free."""
        lacking = (
            max(0, need - self.held_by_holder[holder])
            for holder, need in self.need_by_holder.items()
        )
        return sum(lacking) > self.free


def _round_up_to_step(millis: float) -> int:
    """Return the next power of `NEED_STEP_FACTOR`, or 0 below one thousandth."""
    if millis < 1:
        return 0
    return int(NEED_STEP_FACTOR ** math.ceil(math.log(millis, NEED_STEP_FACTOR)))


def _whole_tokens(millis: float, *, up: bool = False) -> int:
    """Return thousandths rounded to whole tokens, down unless `up`."""
    tokens = math.ceil(millis / MILLIS) if up else int(millis // MILLIS)
    return tokens * MILLIS


def unresponsive_holders(
    view: LedgerView, options: ShareOptions, now: float
) -> frozenset[str]:
    """Return the holders that missed several renewals and don't use their shares."""
    limit_s = options.renew_s * UNRESPONSIVE_AFTER_RENEWALS
    return frozenset(
        holder
        for holder in view.ledger.holders_by_id
        if view.unchanged_s(holder, now) > limit_s
    )
