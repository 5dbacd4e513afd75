"""The work of call trees: calls and slot seconds at each pool, by route."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from damaskbay.core.call import PoolReport
from damaskbay.core.trees.const import (
    MAX_POOLS,
    MAX_ROUTES,
    MIN_CALLS,
    WORK_EXPIRY_S,
    WORK_GAIN,
)


@dataclass(slots=True)
class PoolWork:
    """Mean calls of a tree at one pool, and the seconds for which they hold a slot."""

    calls: float
    slot_s: float


@dataclass(slots=True)
class _RouteWork:
    by_pool: dict[str, PoolWork] = field(default_factory=dict)
    completed: bool = False
    updated_at: float = 0.0


class TreeWork:
    """
    What a call of a route needs at each pool, with all calls below it.

    It is a moving average over the calls that complete. Of a call that fails, only what
    exceeds the average counts, since it would have needed more. Holds at most
    MAX_ROUTES routes with MAX_POOLS pools. Made for some thousand results per second.
    Times are in seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self._by_route: OrderedDict[str, _RouteWork] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_route)

    def record(
        self, route: str, pools: Iterable[PoolReport], now: float, *, completed: bool
    ) -> None:
        """Record what one call of a route needed."""
        work = self._by_route.get(route)
        if work is None or now - work.updated_at >= WORK_EXPIRY_S:
            work = self._by_route[route] = _RouteWork()
            if len(self._by_route) > MAX_ROUTES:
                self._by_route.popitem(last=False)
        self._by_route.move_to_end(route)
        work.updated_at = now
        first = completed and not work.completed
        if first:
            work.completed = True
            work.by_pool.clear()
        measured = {item.pool: item for item in pools if item.calls > 0.0}
        by_pool = work.by_pool
        for pool, item in measured.items():
            known = by_pool.get(pool)
            if known is None:
                if len(by_pool) < MAX_POOLS:
                    share = 1.0 if first or not work.completed else WORK_GAIN
                    by_pool[pool] = PoolWork(share * item.calls, share * item.slot_s)
            elif completed or item.calls > known.calls:
                # Until a call completes, the longest one says most.
                gain = WORK_GAIN if work.completed else 1.0
                known.calls += gain * (item.calls - known.calls)
                known.slot_s += gain * (item.slot_s - known.slot_s)
        if completed and len(by_pool) > len(measured):
            self._record_missing(by_pool, measured)

    def by_pool(self, route: str, now: float) -> Mapping[str, PoolWork]:
        """Return the work of a call of a route, empty if it is unknown."""
        work = self._by_route.get(route)
        if work is None or now - work.updated_at >= WORK_EXPIRY_S:
            return {}
        return work.by_pool

    def _record_missing(
        self, by_pool: dict[str, PoolWork], measured: Mapping[str, PoolReport]
    ) -> None:
        """Record that a call needed nothing at the pools that it did not reach."""
        for pool in tuple(by_pool):
            if pool in measured:
                continue
            known = by_pool[pool]
            known.calls *= 1.0 - WORK_GAIN
            known.slot_s *= 1.0 - WORK_GAIN
            if known.calls < MIN_CALLS:
                del by_pool[pool]
