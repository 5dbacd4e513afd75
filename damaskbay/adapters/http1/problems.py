"""Why a request to a server got no complete response."""

from dataclasses import dataclass
from enum import Enum


class HttpProblem(Enum):
    """Reason why a request got no complete response."""

    NOT_SENT = "not_sent"
    """No connection could be established; nothing was sent."""

    REJECTED = "rejected"
    """The server closed a new connection at once; nothing was sent."""

    EXPIRED = "expired"
    """A connection was established too late; nothing was sent."""

    LOST = "lost"
    """The connection closed before a complete response; the request may have run."""

    STALE = "stale"
    """A reused connection closed before any byte of the response."""

    TIMED_OUT = "timed_out"
    """No complete response within the timeout; the request may have run."""

    GARBLED = "garbled"
    """The received bytes are not a valid response to this request."""


NOT_SENT_PROBLEMS = frozenset(
    {HttpProblem.NOT_SENT, HttpProblem.REJECTED, HttpProblem.EXPIRED}
)
"""Problems after which the request has certainly not run."""


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A request that got no complete response."""

    problem: HttpProblem
    detail: str = ""
