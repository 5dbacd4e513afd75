"""A request of a caller with its response."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from damaskbay.adapters.http1.response_encoding import EncodedResponse
from damaskbay.core.call import Request, Response
from damaskbay.core.memory_account import Holding


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """
    A complete request and the monotonic time at which its last byte was read.

    What arrived while reading was paused counts from the beginning of the pause.
    """

    request: Request
    arrived_at: float


Handler = Callable[[ReceivedRequest], Awaitable[Response]]
"""Serves one request; cancelled when the caller disconnects."""


@dataclass(frozen=True, slots=True)
class EarlyRefusal:
    """
    Response to a request that is refused as soon as it was read.

    The caller is to come back after `retry_after_s`; its time limit was `timeout_s`.
    With `pauses`, its next request is read later in any case.
    """

    response: Response
    retry_after_s: float
    timeout_s: float
    pauses: bool = False


RefuseEarly = Callable[[ReceivedRequest], EarlyRefusal | None]
"""Refuses a request, or returns None to let the handler serve it."""


@dataclass(slots=True, eq=False)
class Exchange:
    """
    A request of a connection with its response, once available.

    `holding` counts the request, then its response until that is written. The request
    itself is not kept: its response may wait for those before.
    """

    holding: Holding
    keep_alive: bool
    task: "asyncio.Task[None] | None" = None
    response: EncodedResponse | None = None

    @property
    def response_bytes(self) -> int:
        """Return the size of the response, 0 before it is available."""
        return self.response.size_bytes if self.response is not None else 0
