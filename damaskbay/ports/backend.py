"""Port to the local backend server."""

from typing import Protocol

from damaskbay.core.call import Answer, Request
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.cancellation import Cancellation


class BackendServer(Protocol):
    """The one backend server beside this daemon."""

    def call(
        self,
        request: Request,
        *,
        call_token: str,
        deadline: float,
        cancellation: Cancellation,
    ) -> Answer | Refusal:
        """
        Send once and block until a whole answer, a refusal or the deadline.

        A refusal is `not_run` only when no byte of the request was written.
        `deadline` is in seconds of the monotonic clock. A cancellation closes
        the connection, which the backend server takes as a cancellation.
        """
        ...
