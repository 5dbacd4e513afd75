"""Tell the fleet the state of the local backend server."""

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.daemon.settings import BackendServerSettings
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import Membership, ServerState

_LOGGER = logging.getLogger(__name__)

ANNOUNCE_TICK_S = 0.5
SILENT_AFTER_S = 5.0
PROBE_TIMEOUT_S = 0.3


@dataclass(frozen=True, slots=True)
class Announced:
    """What the backend server said of itself."""

    state: ServerState
    slots: int
    load: float


class Announcer(Task):
    """
    Repeats the local backend server's state to the membership.

    Without announcements (setting `announced` false) the server counts as ready
    as soon as it accepts a connection. One that is silent for `SILENT_AFTER_S`,
    or that this daemon is draining for, gets no new work.
    """

    def __init__(
        self,
        settings: BackendServerSettings,
        membership: Membership,
        *,
        set_slots: Callable[[int], None],
        load: Callable[[], float],
    ) -> None:
        super().__init__("announcing", tick_s=ANNOUNCE_TICK_S)
        self._settings = settings
        self._membership = membership
        self._set_slots = set_slots
        self._load = load
        self._announced: Announced | None = None
        self._heard_at = 0.0
        self._draining = False
        self.state = ServerState.STARTING

    def handle(self, message: object, now: float) -> None:
        """Take an announcement."""
        if isinstance(message, Announced):
            self._announced = message
            self._heard_at = now
            self._set_slots(min(message.slots, self._settings.slots))
            self._tell(now)

    def drain(self) -> None:
        """Tell the fleet at once that this server gets no new work."""
        self._draining = True
        self.state = ServerState.DRAINING
        self._membership.announce(
            pool=self._settings.pool,
            state=ServerState.DRAINING,
            slots=self._settings.slots,
            load=0.0,
        )

    def tick(self, now: float) -> None:
        """Repeat the state."""
        self._tell(now)

    def _tell(self, now: float) -> None:
        state = self._current(now)
        if state is not self.state:
            _LOGGER.info("announcing: backend server is %s.", state.value)
        self.state = state
        slots = self._settings.slots
        if self._announced is not None:
            slots = min(slots, self._announced.slots)
        self._membership.announce(
            pool=self._settings.pool, state=state, slots=slots, load=self._load()
        )

    def _current(self, now: float) -> ServerState:
        if self._draining:
            return ServerState.DRAINING
        if self._settings.announced:
            if self._announced is None:
                return ServerState.STARTING
            if now - self._heard_at > SILENT_AFTER_S:
                return ServerState.GONE
            return self._announced.state
        if self._announced is not None and now - self._heard_at <= SILENT_AFTER_S:
            return self._announced.state
        return ServerState.READY if self._accepts() else ServerState.GONE

    def _accepts(self) -> bool:
        address = (self._settings.host, self._settings.port)
        try:
            with socket.create_connection(address, PROBE_TIMEOUT_S):
                return True
        except OSError:
            return False
