"""The daemon's tokens at hand, shared by request threads and the rates task."""

import threading
from collections import Counter
from concurrent.futures import Future
from dataclasses import dataclass, field

from damaskbay.core.outcome import Reason, Refusal, not_run
from damaskbay.core.rates.messages import BucketAsk, BucketGrant, GrantClose
from damaskbay.core.rates.stock import Missing, Stock
from damaskbay.ports.peer import PeerAddress

MAX_WAITERS = 2_000


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for tokens; the future holds what acquire returns."""

    buckets: tuple[str, ...]
    future: "Future[Refusal | None]" = field(default_factory=Future)


class SharedStock:
    """A stock and its waiters under one lock, which is never held across I/O."""

    def __init__(self, stock: Stock) -> None:
        self._stock = stock
        self._lock = threading.Lock()
        self._waiters: list[Waiter] = []

    def acquire(self, buckets: tuple[str, ...], now: float) -> Refusal | Waiter | None:
        """Spend at once, refuse at once, or return a waiter."""
        with self._lock:
            self._stock.arrive(buckets, now)
            taken = self._stock.take(buckets, now)
            if not isinstance(taken, Missing):
                return taken
            if len(self._waiters) >= MAX_WAITERS:
                return not_run(Reason.SHARE_UNAVAILABLE, retry_after_s=1.0)
            waiter = Waiter(buckets)
            self._waiters.append(waiter)
            return waiter

    def give_up(self, waiter: Waiter) -> Refusal | None:
        """End a wait; tokens that came at the last moment still count."""
        with self._lock:
            if waiter.future.done():
                return waiter.future.result()
            self._waiters.remove(waiter)
        detail = "no answer from the share's holder"
        return not_run(Reason.SHARE_UNAVAILABLE, retry_after_s=1.0, detail=detail)

    def due_asks(self, now: float) -> tuple[BucketAsk, ...]:
        """Return the asks to send now."""
        with self._lock:
            waiting = Counter(
                bucket for waiter in self._waiters for bucket in waiter.buckets
            )
            return self._stock.due_asks(waiting, now)

    def turn(self, bucket: str) -> int:
        """Return which of the group's holders the last due ask is for."""
        with self._lock:
            return self._stock.turn(bucket)

    def granted(
        self,
        grants: tuple[BucketGrant, ...],
        asks: tuple[BucketAsk, ...],
        holder: PeerAddress | None,
        *,
        asked_at: float,
        now: float,
    ) -> None:
        """Take in an answer and serve the waiters."""
        needed_by_bucket = {ask.bucket: ask.needed for ask in asks}
        with self._lock:
            for grant in grants:
                needed = needed_by_bucket.get(grant.bucket, 0)
                self._stock.granted(
                    grant, holder, needed=needed, asked_at=asked_at, now=now
                )
            self._serve(now)

    def failed(self, asks: tuple[BucketAsk, ...], now: float) -> None:
        """Take in that asks brought no answer."""
        with self._lock:
            for ask in asks:
                self._stock.ask_failed(ask.bucket, now)

    def due_closes(
        self, now: float, *, everything: bool = False
    ) -> dict[PeerAddress | None, list[GrantClose]]:
        """Return the grants that this daemon is done with, by holder."""
        with self._lock:
            return self._stock.due_closes(now, everything=everything)

    def _serve(self, now: float) -> None:
        """Spend for the waiters in their order, with the lock held."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            taken = self._stock.take(waiter.buckets, now)
            if isinstance(taken, Missing):
                self._waiters.append(waiter)
            else:
                waiter.future.set_result(taken)
