"""Running calls of the local server, found by the ids of their nested calls."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from damaskbay.core.call import CallContext, CallResult, PoolReport, Response
from damaskbay.core.http_status import FIRST_SERVER_ERROR
from damaskbay.core.pressure import AverageLevels
from damaskbay.core.trees.const import MAX_POOLS

SEPARATOR = "."
"""Separates the request id of a call from the suffix of its nested calls."""


@dataclass(slots=True, eq=False)
class RunningCall:
    """
    A running call.

    `has_nested` is set once a nested call of it has ended, `nested_failed` once one
    has failed. `needed` are the calls and slot seconds of its nested calls by pool.
    """

    context: CallContext
    nested_failed: bool = False
    has_nested: bool = False
    needed: dict[str, PoolReport] = field(default_factory=dict)

    def add_needed(self, pools: Iterable[PoolReport]) -> None:
        """Add what a nested call needed."""
        for item in pools:
            known = self.needed.get(item.pool)
            if known is not None:
                calls, slot_s = known.calls + item.calls, known.slot_s + item.slot_s
                self.needed[item.pool] = known._replace(calls=calls, slot_s=slot_s)
            elif len(self.needed) < MAX_POOLS:
                self.needed[item.pool] = item


class RunningCalls:
    """
    The running calls by request id, of which a caller's repeats have the same.

    A nested call belongs to the running call whose id is a prefix of its id. Callers
    choose ids, so a nested call inherits its caller's priority but no access rights.
    """

    def __init__(self) -> None:
        self._by_request_id: dict[str, list[RunningCall]] = {}
        self._levels = AverageLevels()

    def add(self, context: CallContext) -> RunningCall:
        """Add a call that is sent to the server."""
        call = RunningCall(context)
        if context.request_id is not None:
            self._by_request_id.setdefault(context.request_id, []).append(call)
        return call

    def remove(self, call: RunningCall) -> None:
        """Remove a call that has ended."""
        request_id = call.context.request_id
        if request_id is None:
            return
        same_id = self._by_request_id.get(request_id, [])
        if call in same_id:
            same_id.remove(call)
        if not same_id:
            self._by_request_id.pop(request_id, None)

    def record_nested_end(
        self, call: RunningCall, result: CallResult, now: float
    ) -> None:
        """Record the result of a nested call of a running call."""
        call.has_nested = True
        outcome = result.result
        if not isinstance(outcome, Response) or outcome.status >= FIRST_SERVER_ERROR:
            call.nested_failed = True
        if result.pools is not None:
            call.add_needed(result.pools)
        context = call.context
        self._levels.record_result(context.route, context.priority_rank, result, now)

    def level(self, route: str, local_level: int, now: float) -> int:
        """Return the lower of `local_level` and that of the route's nested calls."""
        return min(local_level, self._levels.level(route, now))

    def caller_of(self, request_id: str | None) -> RunningCall | None:
        """Return the running call that made a nested call, None if it is unknown."""
        if request_id is None:
            return None
        end = request_id.rfind(SEPARATOR)
        while end > 0:
            found = self._by_request_id.get(request_id[:end])
            if found is not None:
                return found[-1]
            end = request_id.rfind(SEPARATOR, 0, end)
        return None
