"""Decides when a stream is pinged, suspect or silent."""

from enum import Enum

from damaskbay.adapters.peer_stream.options import PeerStreamOptions


class Verdict(Enum):
    """What is due on a stream."""

    ALIVE = "alive"
    PING = "ping"
    SILENT = "silent"


class Liveness:
    """
    Follows the bytes heard on one stream.

    A ping is answered by the task that owns the peer's socket, so that an
    unanswered one tells of the path and never of a slow request.
    """

    def __init__(self, options: PeerStreamOptions, now: float) -> None:
        self._options = options
        self._heard_at = now
        self._asked_at = now
        self._ping_at: float | None = None
        self._quiet_pings = 0

    def heard(self, now: float) -> None:
        """Take note of bytes from the peer."""
        self._heard_at = now
        self._ping_at = None

    def asked(self, now: float) -> None:
        """
        Take note of a request that was sent; the peer gets time to answer.

        Only the first one since the last byte counts: later ones must not put
        off the ping.
        """
        if self._asked_at <= self._heard_at:
            self._asked_at = now
        self._quiet_pings = 0

    def suspect(self, now: float) -> bool:
        """Tell whether new requests should avoid the stream."""
        limit_s = self._options.suspect_heartbeats * self._options.heartbeat_s
        return self._ping_at is not None and now - self._ping_at > limit_s

    def forgive(self, now: float) -> None:
        """Start the wait anew, after this process itself was paused."""
        if self._ping_at is not None:
            self._ping_at = now

    def due(self, now: float, *, busy: bool) -> Verdict:
        """Return what is due; `busy` while requests are under way."""
        if self._ping_at is not None:
            limit_s = self._options.silent_heartbeats * self._options.heartbeat_s
            late = now - self._ping_at > limit_s
            return Verdict.SILENT if late else Verdict.ALIVE
        options = self._options
        pause_s = self._busy_pause_s() if busy else options.idle_heartbeat_s
        if now - max(self._heard_at, self._asked_at) < pause_s:
            return Verdict.ALIVE
        self._ping_at = now
        self._quiet_pings = self._quiet_pings + 1 if busy else 0
        return Verdict.PING

    def _busy_pause_s(self) -> float:
        """Return the pause before a ping; it doubles while requests run on."""
        options = self._options
        pause_s: float = options.heartbeat_s * 2.0 ** min(self._quiet_pings, 16)
        return min(pause_s, options.busy_heartbeat_max_s)
