"""What the soak observes: requests of callers, executions at servers, stops."""

import time
from dataclasses import dataclass, field
from typing import Protocol

from damaskbay.core.call import Response
from damaskbay.ports.peer import PeerAddress


class CalledMachine(Protocol):
    """What callers know of a machine."""

    @property
    def name(self) -> str:
        """Return the name of the machine."""

    @property
    def pool(self) -> str:
        """Return the pool of its server."""

    @property
    def caller_address(self) -> PeerAddress:
        """Return the address at which its daemon takes requests."""

    @property
    def stopping(self) -> bool:
        """Return whether its daemon was asked to stop."""


@dataclass
class Execution:
    """
    One execution of a request at a backend server.

    `status` stays None if the server's connection closed before its response.
    """

    server: str
    machine: str
    arrived_at: float
    headers: dict[str, str]
    method: str
    body_bytes: int = 0
    status: int | None = None
    ended_at: float | None = None


@dataclass
class ExecutionLog:
    """Executions at all backend servers, by request id."""

    executions: dict[str, list[Execution]] = field(default_factory=dict)

    def of_request(self, request_id: str) -> list[Execution]:
        """Return the executions of a request, in order of arrival."""
        return self.executions.get(request_id, [])


@dataclass
class SentRequest:
    """
    Request as its caller observed it; times in seconds.

    `last_byte_at` stays 0 if the request wasn't sent completely, `ended_at` if the
    caller was cancelled at the end of the soak. `is_behind` means that an earlier
    request on the connection had no response yet. `connection` is its address at the
    caller's end, `idle_s` how long it had been idle, `body_bytes` the size of the
    request's body. `read_s` is the time that the
    caller takes to read the response; `response_began` that a part of it arrived.
    `response` is None if no complete one arrived; `failure` then gives the reason.
    """

    request_id: str
    kind: str
    key: str | None
    pool: str
    machine: str
    limit_s: float
    sent_at: float = field(default_factory=time.monotonic)
    last_byte_at: float = 0.0
    is_behind: bool = False
    connection: str = ""
    idle_s: float = 0.0
    body_bytes: int = 0
    read_s: float = 0.0
    response_began: bool = False
    response: Response | None = None
    failure: str = ""
    ended_at: float = 0.0

    @property
    def status(self) -> int:
        """Return the status of the response, 0 if no complete one arrived."""
        return self.response.status if self.response is not None else 0


@dataclass
class Disturbance:
    """Time in which a machine, or the way to its server, is not sound; seconds."""

    started_at: float
    ended_at: float | None = None

    def touches(self, start: float, end: float) -> bool:
        """Return whether it overlaps the time between two moments."""
        return self.started_at <= end and (
            self.ended_at is None or self.ended_at >= start
        )


@dataclass
class Stop:
    """SIGTERM of a daemon; `exited_at` is None while it runs; times in seconds."""

    started_at: float
    grace_s: float
    exited_at: float | None = None

    def overlaps(self, sent: SentRequest) -> bool:
        """Return whether the stop was under way while the request waited."""
        exited_before = self.exited_at is not None and self.exited_at < sent.sent_at
        return self.started_at <= sent.ended_at and not exited_before
