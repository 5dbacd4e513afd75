"""The tokens that one daemon has at hand, in lots with a short validity."""

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.rates.const import (
    BLOCK_MAX_S,
    BLOCK_MIN_S,
    IDLE_LOT_S,
    MAX_NEEDED_TOKENS,
    PREFETCH_RETRY_S,
    PREFETCH_S,
    STOCK_DECAY_S,
)
from damaskbay.core.rates.demand import Demand
from damaskbay.core.rates.messages import BucketAsk, BucketGrant, GrantClose
from damaskbay.ports.peer import PeerAddress


@dataclass(slots=True)
class _Lot:
    grant_number: int
    holder: PeerAddress | None
    count: int
    taken_in_at: float
    expires_at: float


@dataclass(slots=True)
class _Stocked:
    """One bucket at this daemon."""

    demand: Demand
    lots: deque[_Lot] = field(default_factory=deque)
    asking: bool = False
    blocked_until: float = float("-inf")
    prefetch_at: float = float("-inf")
    exceeded: bool = False
    retry_after_s: float = 0.0
    requests: int = 0
    turn: int = 0
    attempt: int = 0

    def count(self, now: float) -> int:
        """Return the tokens that may still be spent."""
        return sum(lot.count for lot in self.lots if now < lot.expires_at)


@dataclass(frozen=True, slots=True)
class Missing:
    """Buckets that have no token at hand and may be asked for some."""

    buckets: tuple[str, ...]


class Stock:
    """
    Spends one token of each bucket of a request, or none at all.

    A request that any of its buckets refuses spends nothing: tokens that came
    for it serve others or move back unused.
    """

    def __init__(
        self, token_validity_s: float, holders: int, rng: random.Random
    ) -> None:
        self._token_validity_s = token_validity_s
        self._holders = holders
        self._rng = rng
        self._stocked_by_bucket: dict[str, _Stocked] = {}
        self._grant_number = 0

    def arrive(self, buckets: tuple[str, ...], now: float) -> None:
        """Take note of a request for these buckets."""
        for bucket in buckets:
            stocked = self._stocked(bucket, now)
            stocked.requests += 1
            stocked.demand.add(1, 0.0, 1.0, now)

    def take(self, buckets: tuple[str, ...], now: float) -> Refusal | Missing | None:
        """
        Spend one token of each bucket; None tells that it was done.

        Buckets are looked at in their order, so that a request refused by an
        earlier one asks nothing of later ones.
        """
        missing = []
        for bucket in buckets:
            stocked = self._stocked(bucket, now)
            if stocked.count(now) > 0:
                continue
            if now < stocked.blocked_until:
                return self._refusal(stocked)
            missing.append(bucket)
        if missing:
            return Missing(tuple(missing))
        for bucket in buckets:
            self._spend(self._stocked(bucket, now), now)
        return None

    def due_asks(
        self, waiting_by_bucket: Mapping[str, int], now: float
    ) -> tuple[BucketAsk, ...]:
        """Return the asks to send now; each is then answered or failed."""
        asks = []
        for bucket, stocked in self._stocked_by_bucket.items():
            if stocked.asking or now < stocked.blocked_until:
                continue
            ask = self._ask(bucket, stocked, waiting_by_bucket.get(bucket, 0), now)
            if ask is not None:
                asks.append(ask)
        return tuple(asks)

    def granted(
        self,
        grant: BucketGrant,
        holder: PeerAddress | None,
        *,
        needed: int,
        asked_at: float,
        now: float,
    ) -> None:
        """Take in an answer. Validity counts from before the ask was sent."""
        stocked = self._stocked(grant.bucket, now)
        stocked.asking = False
        expires_at = asked_at + self._token_validity_s
        if grant.count > 0:
            stocked.attempt = 0
            lot = _Lot(grant.grant_number, holder, grant.count, now, expires_at)
            stocked.lots.append(lot)
        else:
            stocked.prefetch_at = now + PREFETCH_RETRY_S
        if grant.count == 0 and needed > 0 and not self._asks_next(stocked):
            stocked.exceeded = grant.exceeded
            stocked.retry_after_s = grant.retry_after_s
            block_s = min(max(grant.retry_after_s, BLOCK_MIN_S), BLOCK_MAX_S)
            stocked.blocked_until = now + block_s * self._rng.uniform(0.5, 1.0)

    def turn(self, bucket: str) -> int:
        """
        Return which of the group's holders the last due ask is for.

        Asks go round, so that holders share a domain's demand evenly.
        """
        stocked = self._stocked_by_bucket.get(bucket)
        return (stocked.turn + stocked.attempt) % self._holders if stocked else 0

    def ask_failed(self, bucket: str, now: float) -> None:
        """Take in that an ask brought no answer."""
        self._stocked(bucket, now).asking = False

    def block(self, bucket: str, now: float) -> None:
        """Refuse for a short time: no holder can be reached."""
        stocked = self._stocked(bucket, now)
        stocked.exceeded = False
        stocked.retry_after_s = BLOCK_MAX_S
        stocked.blocked_until = now + BLOCK_MAX_S

    def due_closes(
        self, now: float, *, everything: bool = False
    ) -> dict[PeerAddress | None, list[GrantClose]]:
        """Drop lots that are spent, idle or expired; return them by holder."""
        closes: dict[PeerAddress | None, list[GrantClose]] = {}
        for bucket, stocked in self._stocked_by_bucket.items():
            for lot in list(stocked.lots):
                if everything or _done(lot, now):
                    stocked.lots.remove(lot)
                    close = GrantClose(bucket, lot.grant_number, lot.count)
                    closes.setdefault(lot.holder, []).append(close)
        return closes

    def _stocked(self, bucket: str, now: float) -> _Stocked:
        stocked = self._stocked_by_bucket.get(bucket)
        if stocked is None:
            stocked = _Stocked(Demand(STOCK_DECAY_S, STOCK_DECAY_S, now))
            self._stocked_by_bucket[bucket] = stocked
        return stocked

    def _asks_next(self, stocked: _Stocked) -> bool:
        """Turn to the group's next holder, if there is one that was not asked."""
        stocked.attempt = (stocked.attempt + 1) % self._holders
        return stocked.attempt > 0

    def _spend(self, stocked: _Stocked, now: float) -> None:
        for lot in stocked.lots:
            if lot.count > 0 and now < lot.expires_at:
                lot.count -= 1
                return

    def _ask(
        self, bucket: str, stocked: _Stocked, waiting: int, now: float
    ) -> BucketAsk | None:
        count = stocked.count(now)
        needed = min(max(0, waiting - count), MAX_NEEDED_TOKENS)
        ahead = round(stocked.demand.rate_per_s(now) * PREFETCH_S)
        low = ahead > 0 and count <= ahead // 2 and now >= stocked.prefetch_at
        if needed == 0 and not low:
            return None
        self._grant_number += 1
        requests = stocked.requests
        stocked.requests = 0
        stocked.asking = True
        stocked.turn += stocked.attempt == 0
        wanted = min(waiting + ahead - count, MAX_NEEDED_TOKENS)
        return BucketAsk(bucket, self._grant_number, needed, wanted, requests)

    def _refusal(self, stocked: _Stocked) -> Refusal:
        reason = Reason.SHARE_UNAVAILABLE
        if stocked.exceeded:
            reason = Reason.RATE_EXCEEDED
        spread = self._rng.uniform(1.0, 2.0)
        return not_run(reason, retry_after_s=stocked.retry_after_s * spread)


def _done(lot: _Lot, now: float) -> bool:
    idle = now - lot.taken_in_at >= IDLE_LOT_S
    return lot.count == 0 or idle or now >= lot.expires_at
