"""What the backend server beside this daemon says of itself."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.mesh.const import DRAIN_MARGIN_S
from damaskbay.ports.fleet import ServerState

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    One report of a backend server. `born_ms` and `sequence` order reports.

    `cold_s` is how much longer the server stays slow after its start.
    """

    server: str
    state: ServerState
    slots: int
    sequence: int
    born_ms: int
    cold_s: float = 0.0


class LocalServer:
    """Follows the backend server through starts, heartbeats and its leaving."""

    def __init__(self, drain_s: float, on_change: Callable[[], None]) -> None:
        self.server = ""
        self.slots = 0
        self.state = ServerState.STARTING
        self.cold_until = 0.0
        self.drain_s = drain_s
        self._born_ms = -1
        self._sequence = -1
        self._stops_at: float | None = None
        self._left: tuple[str, int] | None = None
        self._on_change = on_change

    @property
    def born_ms(self) -> int:
        """Return when the server started, in milliseconds since 1970."""
        return max(0, self._born_ms)

    def heartbeat(self, beat: Heartbeat, now: float) -> bool:
        """Take a report; return False for one that a newer one has overtaken."""
        order = (beat.born_ms, beat.sequence)
        if order <= (self._born_ms, self._sequence):
            return False
        new_boot = beat.born_ms != self._born_ms
        self._born_ms, self._sequence = order
        if not new_boot and self.state in (ServerState.DRAINING, ServerState.GONE):
            return True
        changed = (beat.server, beat.slots, beat.state) != (
            self.server,
            self.slots,
            self.state,
        )
        self.server = beat.server
        self.slots = beat.slots
        self.cold_until = now + beat.cold_s
        if new_boot:
            self._stops_at = None
        left = self._left == (beat.server, beat.born_ms)
        self._enter(ServerState.DRAINING if left else beat.state, now)
        if changed:
            self._on_change()
        return True

    def adopt(self, known: Heartbeat, now: float) -> None:
        """
        Take from an earlier start of the daemon what its server had last said.

        A leaving server stays so. Another one in its place is told by its next
        report, and refuses calls that name the known one.
        """
        if self.state is not ServerState.STARTING or not known.server:
            return
        if known.state is not ServerState.READY:
            self._left = (known.server, known.born_ms)
            return
        self.server, self.slots = known.server, known.slots
        self._born_ms = known.born_ms
        self._enter(ServerState.READY, now)
        self._on_change()

    def deregister(self, server: str, born_ms: int | None, now: float) -> bool:
        """Take note that a server leaves; return False for one that is not here."""
        if server != self.server or (born_ms is not None and born_ms < self._born_ms):
            return False
        if self.state is not ServerState.GONE:
            self._enter(ServerState.GONE, now)
            self._on_change()
        return True

    def may_send(self, now: float) -> bool:
        """Tell whether a call that was admitted may still go to the server."""
        return self._stops_at is None or now < self._stops_at

    def _enter(self, state: ServerState, now: float) -> None:
        if state is not self.state:
            _LOGGER.info(
                "backend: state has changed.",
                extra={
                    "server": self.server,
                    "state": state.value,
                    "sequence": self._sequence,
                },
            )
        self.state = state
        leaving = state in (ServerState.DRAINING, ServerState.GONE)
        if leaving and self._stops_at is None:
            self._stops_at = now + max(0.0, self.drain_s - DRAIN_MARGIN_S)
