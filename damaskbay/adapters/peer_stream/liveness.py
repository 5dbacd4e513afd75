"""Liveness of a stream: when to ping it, avoid it or close it."""

from enum import Enum

from damaskbay.adapters.peer_stream.options import PeerStreamOptions


class LivenessStatus(Enum):
    """Result of a liveness check."""

    ALIVE = "alive"
    PING_DUE = "ping"
    UNRESPONSIVE = "silent"


class Liveness:
    """
    Liveness of one stream, from the times of received bytes and of pings.

    The event loop of the peer replies to a ping itself, so a missing reply points
    to the network or the process, never to a slow request handler.
    """

    def __init__(self, options: PeerStreamOptions, now: float) -> None:
        self._options = options
        self._received_at = now
        self._request_sent_at = now
        self._ping_sent_at: float | None = None
        self._busy_pings = 0

    def record_received(self, now: float) -> None:
        """Record that bytes arrived from the peer."""
        self._received_at = now
        self._ping_sent_at = None

    def record_request_sent(self, now: float) -> None:
        """
        Record that a request was sent; the next ping is due an interval later.

        Only the first request since the last received byte counts: later ones
        must not delay the ping.
        """
        if self._request_sent_at <= self._received_at:
            self._request_sent_at = now
        self._busy_pings = 0

    def is_suspect(self, now: float) -> bool:
        """Return whether new requests should avoid the stream."""
        timeout_s = self._options.suspect_heartbeats * self._options.heartbeat_s
        return self._ping_sent_at is not None and now - self._ping_sent_at > timeout_s

    def restart_ping_timeout(self, now: float) -> None:
        """Restart the wait for a ping's reply, after this process itself was paused."""
        if self._ping_sent_at is not None:
            self._ping_sent_at = now

    def check(self, now: float, *, busy: bool) -> LivenessStatus:
        """
        Return the status; `busy` if requests are in flight.

        PING_DUE also records that the caller sends the ping.
        """
        if self._ping_sent_at is not None:
            timeout_s = (
                self._options.unresponsive_heartbeats * self._options.heartbeat_s
            )
            timed_out = now - self._ping_sent_at > timeout_s
            return LivenessStatus.UNRESPONSIVE if timed_out else LivenessStatus.ALIVE
        options = self._options
        interval_s = self._busy_ping_interval_s() if busy else options.idle_heartbeat_s
        if now - max(self._received_at, self._request_sent_at) < interval_s:
            return LivenessStatus.ALIVE
        self._ping_sent_at = now
        self._busy_pings = self._busy_pings + 1 if busy else 0
        return LivenessStatus.PING_DUE

    def _busy_ping_interval_s(self) -> float:
        """Return the interval before the next ping; it doubles with each one."""
        options = self._options
        interval_s: float = options.heartbeat_s * 2.0 ** min(self._busy_pings, 16)
        return min(interval_s, options.busy_heartbeat_max_s)
