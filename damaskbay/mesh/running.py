"""Calls that run at the local server, found again by the calls they make."""

from dataclasses import dataclass

from damaskbay.core.call import Answer, CallContext, CallResult
from damaskbay.core.http_status import FIRST_SERVER_ERROR
from damaskbay.core.pressure import PathLevels

SEPARATOR = "."
"""Between the id of a call and what its nested calls add to it."""


@dataclass(slots=True, eq=False)
class RunningCall:
    """A call at the server; `nested_failed` once a call that it made has failed."""

    context: CallContext
    nested_failed: bool = False


class RunningCalls:
    """
    The running calls by request id.

    A nested call whose id begins with that of a running call belongs to it. That
    is a hint only: it lends a call its root's importance, never any right.
    """

    def __init__(self) -> None:
        self._by_request_id: dict[str, RunningCall] = {}
        self._levels = PathLevels()

    def open(self, context: CallContext) -> RunningCall:
        """Enter a call that is sent to the server."""
        call = RunningCall(context)
        if context.request_id is not None:
            self._by_request_id[context.request_id] = call
        return call

    def close(self, call: RunningCall) -> None:
        """Take a call out that has ended."""
        request_id = call.context.request_id
        if request_id is not None and self._by_request_id.get(request_id) is call:
            del self._by_request_id[request_id]

    def nested_ended(self, call: RunningCall, result: CallResult, now: float) -> None:
        """Take what came back on a call that a running call made."""
        outcome = result.result
        if not isinstance(outcome, Answer) or outcome.status >= FIRST_SERVER_ERROR:
            call.nested_failed = True
        self._levels.heard(call.context.route, result.admission_level, now)

    def level(self, route: str, own: int, now: float) -> int:
        """Return the level to put on answers of a route: what its calls meet, too."""
        return min(own, self._levels.level(route, now))

    def caller_of(self, request_id: str | None) -> RunningCall | None:
        """Return the running call that made a call, None where it is not known."""
        if request_id is None:
            return None
        end = request_id.rfind(SEPARATOR)
        while end > 0:
            found = self._by_request_id.get(request_id[:end])
            if found is not None:
                return found
            end = request_id.rfind(SEPARATOR, 0, end)
        return None
