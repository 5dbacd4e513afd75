"""The granted tokens of one daemon, in lots with a short validity."""

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.rates.const import (
    BLOCK_MAX_S,
    BLOCK_MIN_S,
    LOT_IDLE_TIMEOUT_S,
    MAX_NEEDED_TOKENS,
    PREFETCH_RETRY_S,
    PREFETCH_S,
    STOCK_DECAY_S,
)
from damaskbay.core.rates.demand import DemandEstimator
from damaskbay.core.rates.messages import BucketGrant, BucketRequest, GrantClose
from damaskbay.ports.peer import PeerAddress


@dataclass(slots=True)
class _Lot:
    grant_number: int
    holder: PeerAddress | None
    count: int
    received_at: float
    expires_at: float


@dataclass(slots=True)
class _BucketStock:
    """
    Granted tokens and the token request of one bucket at this daemon.

    Calls without a token are refused until `blocked_until`. `unreported_calls` is the
    number of calls since the last request. `rotation + holder_offset` selects the
    holder for a request: `rotation` advances with each series of requests,
    `holder_offset` within it.
    """

    demand: DemandEstimator
    lots: deque[_Lot] = field(default_factory=deque)
    request_in_flight: bool = False
    blocked_until: float = float("-inf")
    prefetch_not_before: float = float("-inf")
    exceeded: bool = False
    retry_after_s: float = 0.0
    unreported_calls: int = 0
    rotation: int = 0
    holder_offset: int = 0

    def count(self, now: float) -> int:
        """Return the number of tokens that may still be spent."""
        return sum(lot.count for lot in self.lots if now < lot.expires_at)


@dataclass(frozen=True, slots=True)
class MissingTokens:
    """Buckets without tokens for which a request may be sent."""

    buckets: tuple[str, ...]


class Stock:
    """
    Stock of granted tokens, which spends one of each bucket of a call or none.

    A call refused by any of its buckets spends nothing: tokens granted for it are
    spent by other calls or go back unused.
    """

    def __init__(
        self, token_validity_s: float, holders: int, rng: random.Random
    ) -> None:
        self._token_validity_s = token_validity_s
        self._holders = holders
        self._rng = rng
        self._stocks_by_bucket: dict[str, _BucketStock] = {}
        self._grant_number = 0

    def count_call(self, buckets: tuple[str, ...], now: float) -> None:
        """Count a call that needs tokens of these buckets."""
        for bucket in buckets:
            stock = self._bucket_stock(bucket, now)
            stock.unreported_calls += 1
            stock.demand.add(1, 0.0, 1.0, now)

    def spend(
        self, buckets: tuple[str, ...], now: float
    ) -> Refusal | MissingTokens | None:
        """
        Spend one token of each bucket and return None, or spend nothing.

        Buckets are checked in order, so that a call refused by an earlier bucket
        requests no tokens of a later one.
        """
        missing = []
        for bucket in buckets:
            stock = self._bucket_stock(bucket, now)
            if stock.count(now) > 0:
                continue
            if now < stock.blocked_until:
                return self._refusal(stock)
            missing.append(bucket)
        if missing:
            return MissingTokens(tuple(missing))
        for bucket in buckets:
            self._spend(self._bucket_stock(bucket, now), now)
        return None

    def due_requests(
        self, waiting_by_bucket: Mapping[str, int], now: float
    ) -> tuple[BucketRequest, ...]:
        """Return the token requests to send now; report each result afterwards."""
        asks = []
        for bucket, stock in self._stocks_by_bucket.items():
            if stock.request_in_flight or now < stock.blocked_until:
                continue
            ask = self._next_request(
                bucket, stock, waiting_by_bucket.get(bucket, 0), now
            )
            if ask is not None:
                asks.append(ask)
        return tuple(asks)

    def add_grant(
        self,
        grant: BucketGrant,
        holder: PeerAddress | None,
        *,
        needed: int,
        asked_at: float,
        now: float,
    ) -> None:
        """Add the tokens of a reply, valid from before the request was sent."""
        stock = self._bucket_stock(grant.bucket, now)
        stock.request_in_flight = False
        expires_at = asked_at + self._token_validity_s
        if grant.count > 0:
            stock.holder_offset = 0
            lot = _Lot(grant.grant_number, holder, grant.count, now, expires_at)
            stock.lots.append(lot)
        else:
            stock.prefetch_not_before = now + PREFETCH_RETRY_S
        if grant.count == 0 and needed > 0 and not self._select_next_holder(stock):
            stock.exceeded = grant.exceeded
            stock.retry_after_s = grant.retry_after_s
            block_s = min(max(grant.retry_after_s, BLOCK_MIN_S), BLOCK_MAX_S)
            stock.blocked_until = now + block_s * self._rng.uniform(0.5, 1.0)

    def turn(self, bucket: str) -> int:
        """
        Return the index of the group's holder for the last due request.

        Requests rotate over the holders, which spreads a domain's demand evenly.
        """
        stock = self._stocks_by_bucket.get(bucket)
        return (stock.rotation + stock.holder_offset) % self._holders if stock else 0

    def request_failed(self, bucket: str, now: float) -> None:
        """Record that a request got no reply."""
        self._bucket_stock(bucket, now).request_in_flight = False

    def block(self, bucket: str, now: float) -> None:
        """Refuse calls for a short time because no holder is reachable."""
        stock = self._bucket_stock(bucket, now)
        stock.exceeded = False
        stock.retry_after_s = BLOCK_MAX_S
        stock.blocked_until = now + BLOCK_MAX_S

    def due_closes(
        self, now: float, *, everything: bool = False
    ) -> dict[PeerAddress | None, list[GrantClose]]:
        """Remove spent, idle and expired lots; return the closes by holder."""
        closes: dict[PeerAddress | None, list[GrantClose]] = {}
        for bucket, stock in self._stocks_by_bucket.items():
            for lot in list(stock.lots):
                if everything or _is_finished(lot, now):
                    stock.lots.remove(lot)
                    close = GrantClose(bucket, lot.grant_number, lot.count)
                    closes.setdefault(lot.holder, []).append(close)
        return closes

    def _bucket_stock(self, bucket: str, now: float) -> _BucketStock:
        stock = self._stocks_by_bucket.get(bucket)
        if stock is None:
            stock = _BucketStock(DemandEstimator(STOCK_DECAY_S, STOCK_DECAY_S, now))
            self._stocks_by_bucket[bucket] = stock
        return stock

    def _select_next_holder(self, stock: _BucketStock) -> bool:
        """Select the group's next holder; return False if all had a request."""
        stock.holder_offset = (stock.holder_offset + 1) % self._holders
        return stock.holder_offset > 0

    def _spend(self, stock: _BucketStock, now: float) -> None:
        """Spend one token of the oldest lot that has one."""
        for lot in stock.lots:
            if lot.count > 0 and now < lot.expires_at:
                lot.count -= 1
                return

    def _next_request(
        self, bucket: str, stock: _BucketStock, waiting: int, now: float
    ) -> BucketRequest | None:
        """Return a request for needed tokens or a prefetch, or None if not due."""
        count = stock.count(now)
        needed = min(max(0, waiting - count), MAX_NEEDED_TOKENS)
        prefetch_count = round(stock.demand.rate_per_s(now) * PREFETCH_S)
        is_low = (
            prefetch_count > 0
            and count <= prefetch_count // 2
            and now >= stock.prefetch_not_before
        )
        if needed == 0 and not is_low:
            return None
        self._grant_number += 1
        unreported_calls = stock.unreported_calls
        stock.unreported_calls = 0
        stock.request_in_flight = True
        stock.rotation += stock.holder_offset == 0
        wanted = min(waiting + prefetch_count - count, MAX_NEEDED_TOKENS)
        return BucketRequest(
            bucket, self._grant_number, needed, wanted, unreported_calls
        )

    def _refusal(self, stock: _BucketStock) -> Refusal:
        reason = Reason.SHARE_UNAVAILABLE
        if stock.exceeded:
            reason = Reason.RATE_EXCEEDED
        spread = self._rng.uniform(1.0, 2.0)
        return not_run(reason, retry_after_s=stock.retry_after_s * spread)


def _is_finished(lot: _Lot, now: float) -> bool:
    """Return whether a lot is spent, idle or expired."""
    idle = now - lot.received_at >= LOT_IDLE_TIMEOUT_S
    return lot.count == 0 or idle or now >= lot.expires_at
