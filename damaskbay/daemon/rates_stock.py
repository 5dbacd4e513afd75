"""Thread-safe token stock, shared by the request threads and the rates task."""

import threading
from collections import Counter
from concurrent.futures import Future
from dataclasses import dataclass, field

from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.rates.messages import BucketGrant, BucketRequest, GrantClose
from damaskbay.core.rates.stock import MissingTokens, Stock
from damaskbay.ports.peer import PeerAddress

MAX_WAITERS = 2_000


@dataclass(eq=False, slots=True)
class Waiter:
    """A call that waits for tokens; its future gives a refusal, or None if admitted."""

    buckets: tuple[str, ...]
    future: "Future[Refusal | None]" = field(default_factory=Future)


class SharedStock:
    """Token stock with a queue of waiters. The lock is never held during I/O."""

    def __init__(self, stock: Stock) -> None:
        self._stock = stock
        self._lock = threading.Lock()
        self._waiters: list[Waiter] = []

    def acquire(self, buckets: tuple[str, ...], now: float) -> Refusal | Waiter | None:
        """Spend one token of each bucket, or return a refusal or a queued waiter."""
        with self._lock:
            self._stock.count_call(buckets, now)
            acquired = self._stock.spend(buckets, now)
            if not isinstance(acquired, MissingTokens):
                return acquired
            if len(self._waiters) >= MAX_WAITERS:
                return not_run(Reason.SHARE_UNAVAILABLE, retry_after_s=1.0)
            waiter = Waiter(buckets)
            self._waiters.append(waiter)
            return waiter

    def give_up(self, waiter: Waiter) -> Refusal | None:
        """
        Remove a waiter from the queue and return its refusal.

        If it was served in the meantime, return that result instead.
        """
        with self._lock:
            if waiter.future.done():
                return waiter.future.result()
            self._waiters.remove(waiter)
        detail = "no answer from the share's holder"
        return not_run(Reason.SHARE_UNAVAILABLE, retry_after_s=1.0, detail=detail)

    def due_requests(self, now: float) -> tuple[BucketRequest, ...]:
        """Return the token requests to send now."""
        with self._lock:
            waiting = Counter(
                bucket for waiter in self._waiters for bucket in waiter.buckets
            )
            return self._stock.due_requests(waiting, now)

    def turn(self, bucket: str) -> int:
        """Return the index of the group's holder that gets the last due request."""
        with self._lock:
            return self._stock.turn(bucket)

    def granted(
        self,
        grants: tuple[BucketGrant, ...],
        asks: tuple[BucketRequest, ...],
        holder: PeerAddress | None,
        *,
        asked_at: float,
        now: float,
    ) -> None:
        """Add granted tokens to the stock and serve waiters."""
        needed_by_bucket = {ask.bucket: ask.needed for ask in asks}
        with self._lock:
            for grant in grants:
                needed = needed_by_bucket.get(grant.bucket, 0)
                self._stock.add_grant(
                    grant, holder, needed=needed, asked_at=asked_at, now=now
                )
            self._serve_waiters(now)

    def requests_failed(self, asks: tuple[BucketRequest, ...], now: float) -> None:
        """Record that token requests failed."""
        with self._lock:
            for ask in asks:
                self._stock.request_failed(ask.bucket, now)

    def due_closes(
        self, now: float, *, everything: bool = False
    ) -> dict[PeerAddress | None, list[GrantClose]]:
        """
        Remove finished token lots and return their closes by holder.

        With `everything` all lots are removed. The key None means this daemon.
        """
        with self._lock:
            return self._stock.due_closes(now, everything=everything)

    def _serve_waiters(self, now: float) -> None:
        """Serve waiters in order of arrival; the caller holds the lock."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            acquired = self._stock.spend(waiter.buckets, now)
            if isinstance(acquired, MissingTokens):
                self._waiters.append(waiter)
            else:
                waiter.future.set_result(acquired)
