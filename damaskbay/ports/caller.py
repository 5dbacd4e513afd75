"""Port that the caller-facing edge hands calls to."""

from dataclasses import dataclass
from typing import Protocol

from damaskbay.core.call import CallResult, Request
from damaskbay.helpers.cancellation import Cancellation


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """
    One call as it came in, with what its headers claim.

    A call with `call_token` is nested: it comes from the local backend server.
    `deadline_s` is in seconds from now.
    """

    request: Request
    key: str | None = None
    call_token: str | None = None
    deadline_s: float | None = None
    request_id: str | None = None
    idempotent: bool | None = None


@dataclass(frozen=True, slots=True)
class ServedCall:
    """A result with the id that operators find the call by."""

    call_id: str
    result: CallResult


@dataclass(frozen=True, slots=True)
class IssuedIds:
    """Fresh request ids and how long they are good for, in seconds."""

    request_ids: tuple[str, ...]
    valid_s: float


class CallerService(Protocol):
    """Serves callers. Safe from any thread; `serve` blocks until the call ends."""

    def serve(self, call: IncomingCall, cancellation: Cancellation) -> ServedCall:
        """Serve one call to its end."""
        ...

    def issue_request_ids(self, count: int) -> IssuedIds:
        """Issue ids for requests that must run at most once."""
        ...
