"""What the connection of a caller needs of its server."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from damaskbay.adapters.http1.const import MAX_PIPELINED_REQUESTS, MAX_UNREAD_BYTES
from damaskbay.adapters.http1.exchange import Handler, RefuseEarly
from damaskbay.config.objects import CallerLimits
from damaskbay.core.memory_account import MemoryAccount

if TYPE_CHECKING:
    from damaskbay.adapters.http1.server_connection import ServerConnection


@dataclass(frozen=True, slots=True)
class PipelineLimits:
    """Requests in flight, and response bytes unread, before a connection pauses."""

    requests: int = MAX_PIPELINED_REQUESTS
    unread_bytes: int = MAX_UNREAD_BYTES


class ConnectionServer(Protocol):
    """What a connection needs of its server, see HttpServer."""

    handler: Handler
    refuse_early: RefuseEarly | None
    accept_pause_s: Callable[[], float]
    limits: CallerLimits
    pipeline: PipelineLimits
    memory: MemoryAccount
    draining: bool
    ending: bool

    @property
    def exceeds_connections(self) -> bool:
        """Return whether more connections are open than may be served."""

    @property
    def needs_room(self) -> bool:
        """Return whether idle connections have to make room for others."""

    def is_scarce(self, own_bytes: int) -> bool:
        """
        Return whether a caller that makes no progress has to make room for others.

        `own_bytes` is what its incomplete request holds.
        """

    @property
    def connections_left(self) -> int:
        """Return how many more connections may be served; negative beyond the limit."""

    def connection_leaves(
        self, connection: "ServerConnection", *, lingers: bool = False
    ) -> None:
        """Count a connection that is about to close as no longer served."""

    def remove_connection(self, connection: "ServerConnection") -> None:
        """Remove a connection that has ended."""

    def reopen_if_unread(self, descriptor: int) -> None:
        """Go on with a connection that is about to be closed over unread bytes."""
