"""Announces the state of the local backend server to the other daemons."""

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.daemon.settings import BackendServerSettings
from damaskbay.helpers.task import Task
from damaskbay.ports.fleet import Membership, ServerState

_LOGGER = logging.getLogger(__name__)

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCEMENT_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 0.3


@dataclass(frozen=True, slots=True)
class ServerAnnouncement:
    """State, slots and load that the backend server reported."""

    state: ServerState
    slots: int
    load: float


class Announcer(Task):
    """
    Publishes the local backend server's state to the membership periodically.

    With the setting `announced` false, a server without a recent announcement
    counts as ready if it accepts a connection. With the setting true, a server
    that has announced nothing for `ANNOUNCEMENT_TIMEOUT_S` gets no new calls.
    No server gets new calls while its daemon is draining.
    """

    def __init__(
        self,
        settings: BackendServerSettings,
        membership: Membership,
        *,
        set_slots: Callable[[int], None],
        load: Callable[[], float],
    ) -> None:
        super().__init__("announcing", tick_s=ANNOUNCE_INTERVAL_S)
        self._settings = settings
        self._membership = membership
        self._set_slots = set_slots
        self._load = load
        self._announcement: ServerAnnouncement | None = None
        self._announced_at = 0.0
        self._draining = False
        self.state = ServerState.STARTING

    def handle(self, message: object, now: float) -> None:
        """Record an announcement of the backend server and publish its state."""
        if isinstance(message, ServerAnnouncement):
            self._announcement = message
            self._announced_at = now
            self._set_slots(min(message.slots, self._settings.slots))
            self._publish_state(now)

    def drain(self) -> None:
        """Announce immediately that this server takes no new calls."""
        self._draining = True
        self.state = ServerState.DRAINING
        self._membership.announce(
            pool=self._settings.pool,
            state=ServerState.DRAINING,
            slots=self._settings.slots,
            load=0.0,
        )

    def tick(self, now: float) -> None:
        """Determine the current state and publish it."""
        self._publish_state(now)

    def _publish_state(self, now: float) -> None:
        state = self._current_state(now)
        if state is not self.state:
            _LOGGER.info("announcing: backend server is %s.", state.value)
        self.state = state
        slots = self._settings.slots
        if self._announcement is not None:
            slots = min(slots, self._announcement.slots)
        self._membership.announce(
            pool=self._settings.pool, state=state, slots=slots, load=self._load()
        )

    def _current_state(self, now: float) -> ServerState:
        if self._draining:
            return ServerState.DRAINING
        if self._settings.announced:
            if self._announcement is None:
                return ServerState.STARTING
            if now - self._announced_at > ANNOUNCEMENT_TIMEOUT_S:
                return ServerState.GONE
            return self._announcement.state
        if (
            self._announcement is not None
            and now - self._announced_at <= ANNOUNCEMENT_TIMEOUT_S
        ):
            return self._announcement.state
        return ServerState.READY if self._accepts_connections() else ServerState.GONE

    def _accepts_connections(self) -> bool:
        address = (self._settings.host, self._settings.port)
        try:
            with socket.create_connection(address, PROBE_TIMEOUT_S):
                return True
        except OSError:
            return False
