"""Port through which the caller-facing edge passes on calls."""

from dataclasses import dataclass
from typing import Protocol

from damaskbay.core.call import CallResult, Request
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.cancellation import Cancellation


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """
    One received call, with the values of its request headers.

    A call with a `call_token` is nested: it comes from the local backend server.
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
    """Result of a call, with the call id that operators look it up by."""

    call_id: str
    result: CallResult


@dataclass(frozen=True, slots=True)
class IssuedIds:
    """New request ids and their validity in seconds."""

    request_ids: tuple[str, ...]
    valid_s: float


class CallerService(Protocol):
    """Service for callers; thread-safe, and `serve` blocks until the call ends."""

    def serve(self, call: IncomingCall, cancellation: Cancellation) -> ServedCall:
        """Run one call and return its result."""
        ...

    def issue_request_ids(self, count: int) -> IssuedIds | Refusal:
        """Issue up to `count` ids for requests that must run at most once."""
        ...
