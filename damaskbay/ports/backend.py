"""Port to the local backend server."""

from typing import Protocol

from damaskbay.core.call import Request, Response
from damaskbay.core.outcome import Refusal
from damaskbay.helpers.cancellation import Cancellation


class BackendServer(Protocol):
    """The one backend server that runs next to this daemon."""

    def call(
        self,
        request: Request,
        *,
        call_token: str,
        deadline: float,
        cancellation: Cancellation,
    ) -> Response | Refusal:
        """
        Send the request once and block until the response, a refusal or the deadline.

        A refusal is `not_run` only if no byte of the request was written. `deadline`
        is in seconds of the monotonic clock. A cancellation closes the connection,
        which the backend server treats as a cancellation.
        """
        ...
