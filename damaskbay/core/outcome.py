"""Refusals as return values: the reason, and whether the request may have run."""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Whether a refused request may have run."""

    NOT_RUN = "not_run"
    """No byte of the request can have reached a backend server's handler."""

    UNKNOWN = "unknown"
    """The request may have run, completely or in part."""


class Reason(Enum):
    """Reason of a refusal; the values are stable because callers may match on them."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    NO_CONFIGURATION = "no_configuration"
    CONFIGURATION_UNPROVEN = "configuration_unproven"
    NO_ROUTE = "no_route"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    CALL_TOKEN_UNKNOWN = "call_token_unknown"
    CALL_TOO_DEEP = "call_too_deep"
    RATE_EXCEEDED = "rate_exceeded"
    SHARE_UNAVAILABLE = "share_unavailable"
    OVERLOADED = "overloaded"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    QUEUE_FULL = "queue_full"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED = "deadline_passed"
    CANCELLED = "cancelled"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_DRAINING = "backend_server_draining"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ALREADY_RUNNING = "already_running"
    REQUEST_ID_NOT_ISSUED = "request_id_not_issued"
    REQUEST_ID_EXPIRED = "request_id_expired"
    REQUEST_OWNER_GONE = "request_owner_gone"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    Result of a call that has no response from a backend server.

    `retry_after_s` is in seconds, None if waiting does not help. `detail` is a
    message for humans and never contains a key or a request body.
    """

    reason: Reason
    outcome: Outcome
    retry_after_s: float | None = None
    detail: str = ""

    @property
    def not_run(self) -> bool:
        """Return whether the request certainly did not run."""
        return self.outcome is Outcome.NOT_RUN


def not_run(
    reason: Reason, *, retry_after_s: float | None = None, detail: str = ""
) -> Refusal:
    """Return a refusal of a request that certainly did not run."""
    return Refusal(reason, Outcome.NOT_RUN, retry_after_s, detail)


def unknown(reason: Reason, *, detail: str = "") -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(reason, Outcome.UNKNOWN, None, detail)
