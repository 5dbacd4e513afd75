"""Port to the local backend server."""

from concurrent.futures import Future
from typing import Protocol

from damaskbay.core.call import Answer, Request
from damaskbay.core.outcome import Refusal


class BackendServer(Protocol):
    """The one backend server beside this daemon."""

    def send(
        self, request: Request, *, call_token: str, deadline: float, now: float
    ) -> "Future[Answer | Refusal]":
        """
        Send once; the future holds a whole answer or a refusal.

        A refusal is `not_run` only when no byte of the request was written.
        `deadline` and `now` are in seconds of the monotonic clock. Cancelling
        the future closes the connection, which the backend server takes as a
        cancellation.
        """
        ...
