"""What a daemon knows of call trees and pools, from the results of calls."""

from collections.abc import Iterable

from damaskbay.core.call import CallContext, CallResult, PoolReport
from damaskbay.core.http_status import is_success
from damaskbay.core.outcome import Reason, Refusal
from damaskbay.core.pressure import AverageLevels
from damaskbay.core.trees.const import MAX_POOLS
from damaskbay.core.trees.room import PoolRoom
from damaskbay.core.trees.work import TreeWork

_FULL_REASONS = frozenset({Reason.QUEUE_FULL, Reason.OVERLOADED})


def lacks_room(result: CallResult) -> bool:
    """
    Return whether the daemons of a pool refused a call for want of capacity.

    What a server itself rejects was sent to it, and counts in the accepted share.
    """
    outcome = result.result
    return (
        isinstance(outcome, Refusal)
        and outcome.reason in _FULL_REASONS
        and not result.attempts
    )


class TreeReports:
    """
    Work by route and room by pool, from the results of root and nested calls.

    Results of daemons that report no pools count by `levels` of their route.
    """

    def __init__(self) -> None:
        self.work = TreeWork()
        self.room = PoolRoom()
        self.levels = AverageLevels()

    def record_result(
        self, context: CallContext, result: CallResult, now: float
    ) -> None:
        """Record the result of a call that this daemon sent."""
        rank = context.priority_rank
        if result.pools is None:
            self.levels.record_result(context.route, rank, result, now)
            return
        room = self.room
        room.record_rank(rank, now)
        full_pool = context.pool if lacks_room(result) else None
        for item in result.pools:
            refused_rank = rank if item.pool == full_pool else None
            room.record(item.pool, item.level, item.accepted, now, refused_rank)
        completed = is_success(result.result)
        self.work.record(context.route, result.pools, now, completed=completed)

    def pools_of(
        self, route: str, own: PoolReport, nested: Iterable[PoolReport], now: float
    ) -> tuple[PoolReport, ...]:
        """
        Return the reports to send with the result of a call of a route.

        `own` are those of the local pool, `nested` what nested calls needed. Pools that
        the route usually needs are reported also if this call did not reach them.
        """
        needed = {own.pool: own}
        for item in nested:
            known = needed.get(item.pool)
            if known is not None:
                calls, slot_s = known.calls + item.calls, known.slot_s + item.slot_s
                needed[item.pool] = known._replace(calls=calls, slot_s=slot_s)
            else:
                needed[item.pool] = self._with_room(item, now)
        for pool in self.work.by_pool(route, now):
            if pool not in needed:
                needed[pool] = self._with_room(PoolReport(pool), now)
        return tuple(needed.values())[:MAX_POOLS]

    def _with_room(self, item: PoolReport, now: float) -> PoolReport:
        level, accepted = self.room.report(item.pool, now)
        return PoolReport(item.pool, item.calls, item.slot_s, level, accepted)
