"""Running calls of the local server, found by the ids of their nested calls."""

from dataclasses import dataclass

from damaskbay.core.call import CallContext, CallResult, Response
from damaskbay.core.http_status import FIRST_SERVER_ERROR
from damaskbay.core.pressure import RouteLevels

SEPARATOR = "."
"""Separates the request id of a call from the suffix of its nested calls."""


@dataclass(slots=True, eq=False)
class RunningCall:
    """
    A running call.

    `has_nested` is set once a nested call of it has ended, `nested_failed` once one
    has failed.
    """

    context: CallContext
    nested_failed: bool = False
    has_nested: bool = False


class RunningCalls:
    """
    The running calls by request id, of which a caller's repeats have the same.

    A nested call belongs to the running call whose id is a prefix of its id. Callers
    choose ids, so a nested call inherits its caller's priority but no access rights.
    """

    def __init__(self) -> None:
        self._by_request_id: dict[str, list[RunningCall]] = {}
        self._levels = RouteLevels()

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
        self._levels.record_level(call.context.route, result.admission_level, now)

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
