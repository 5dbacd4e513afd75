"""State of the local backend server, from its heartbeats."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.mesh.const import DRAIN_MARGIN_S
from damaskbay.ports.fleet import ServerState

_LOGGER = logging.getLogger(__name__)

ServerStart = tuple[str, int]
"""A start of a backend server: its id and the time in milliseconds since 1970."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    One report of a backend server; `started_ms` and `sequence` order the reports.

    `started_ms` is the server's start in milliseconds since 1970, `slow_start_left_s`
    the rest of its slow start in seconds.
    """

    server: str
    state: ServerState
    slots: int
    sequence: int
    started_ms: int
    slow_start_left_s: float = 0.0


class LocalServer:
    """
    Tracks the state of the local backend server from its start to its drain.

    `on_report` is called with each report that is newer than the last one, whether it
    is the first of a start of the server, and the time. An `evacuated` server gets no
    calls, whatever its state.
    """

    def __init__(self, drain_s: float, on_change: Callable[[], None]) -> None:
        self.server = ""
        self.slots = 0
        self.state = ServerState.STARTING
        self.slow_until = 0.0
        self.drain_s = drain_s
        self._born_ms = -1
        self._sequence = -1
        self._send_until: float | None = None
        self._restored_draining: tuple[str, int] | None = None
        self._left_unknown = ""
        self._on_change = on_change
        self.evacuated = False
        self.on_report: Callable[[Heartbeat, bool, float], None] | None = None

    @property
    def born_ms(self) -> int:
        """Return when the server started, in milliseconds since 1970."""
        return max(0, self._born_ms)

    @property
    def start(self) -> ServerStart:
        """Return the start of the server that is known now."""
        return self.server, self._born_ms

    @property
    def restored_draining(self) -> tuple[str, int] | None:
        """Return the server that must not become ready, and its start."""
        return self._restored_draining if self.state is ServerState.STARTING else None

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a report; return False if it is older than the last one."""
        order = (heartbeat.started_ms, heartbeat.sequence)
        if order <= (self._born_ms, self._sequence):
            return False
        restarted = heartbeat.started_ms != self._born_ms
        self._born_ms, self._sequence = order
        if self.on_report is not None:
            self.on_report(heartbeat, restarted, now)
        if not restarted and self.state in (ServerState.DRAINING, ServerState.GONE):
            return True
        changed = restarted or (heartbeat.server, heartbeat.slots, heartbeat.state) != (
            self.server,
            self.slots,
            self.state,
        )
        self.server = heartbeat.server
        self.slots = heartbeat.slots
        self.slow_until = now + heartbeat.slow_start_left_s
        if restarted:
            self._send_until = None
        was_draining = self._restored_draining == (
            heartbeat.server,
            heartbeat.started_ms,
        )
        self._set_state(ServerState.DRAINING if was_draining else heartbeat.state, now)
        if changed:
            self._on_change()
        return True

    def restore(self, known: Heartbeat, now: float) -> None:
        """
        Restore the server's last report from an earlier start of the daemon.

        A server that was draining or has deregistered gets no calls any more, also if
        a report of the same start has come before. If another server now listens at the
        address, it refuses calls, which name the known server, until its report.
        """
        later = known.started_ms > self._born_ms
        same = (known.server, known.started_ms) == self.start
        if not known.server or not (later or same):
            return
        if known.server == self._left_unknown and later:
            self.deregister(known.server, known.started_ms, now)
        elif known.state is not ServerState.READY:
            self._restore_leaving((known.server, known.started_ms), now)
        elif later and self.state in (ServerState.STARTING, ServerState.GONE):
            self._begin_start(known.server, known.started_ms)
            self.slots = known.slots
            self._set_state(ServerState.READY, now)
            self._on_change()

    def _restore_leaving(self, start: ServerStart, now: float) -> None:
        """Restore that a start was leaving at an earlier start of the daemon."""
        if self.state is ServerState.STARTING:
            self._restored_draining = start
            return
        if start != self.start:
            self._begin_start(*start)
        elif self.state is not ServerState.READY:
            return
        _LOGGER.warning(
            "backend: server was leaving before its last report.",
            extra={"server": self.server, "sequence": self._sequence},
        )
        # The time for which admitted calls may be sent began with the earlier report.
        self._send_until = now
        self._set_state(ServerState.DRAINING, now)
        self._on_change()

    def deregister(self, server: str, born_ms: int | None, now: float) -> bool:
        """
        Record a deregistration; return False for an older or another server.

        A later start than the last known one is recorded as gone, too, so that neither
        its late heartbeats nor a record of an earlier one revive the server. Without
        `born_ms` and a known server, only `restore` can tell which start has left.
        """
        if born_ms is None and self.state is ServerState.STARTING:
            restored, started_ms = self._restored_draining or ("", 0)
            if server != restored:
                self._left_unknown = server
                return True
            born_ms = started_ms
        later = born_ms is not None and born_ms > self._born_ms
        known = server == self.server and born_ms in (None, self._born_ms)
        if not later and not known:
            return False
        if later and born_ms is not None:
            self._begin_start(server, born_ms)
        if later or self.state is not ServerState.GONE:
            self._set_state(ServerState.GONE, now)
            self._on_change()
        return True

    def record_leaving(self, start: ServerStart, now: float) -> None:
        """Record that a response of this start says that the server leaves."""
        if start != self.start or self.state is not ServerState.READY:
            return
        _LOGGER.info(
            "backend: response says that the server leaves.",
            extra={"server": self.server},
        )
        self._set_state(ServerState.DRAINING, now)
        self._on_change()

    def may_send(self, now: float) -> bool:
        """Return whether an admitted call may still be sent to the server."""
        in_time = self._send_until is None or now < self._send_until
        return in_time and not self.evacuated

    def _begin_start(self, server: str, started_ms: int) -> None:
        self.server = server
        self._born_ms, self._sequence = started_ms, -1
        self._send_until = None

    def _set_state(self, state: ServerState, now: float) -> None:
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
        draining = state in (ServerState.DRAINING, ServerState.GONE)
        if draining and self._send_until is None:
            self._send_until = now + max(0.0, self.drain_s - DRAIN_MARGIN_S)
