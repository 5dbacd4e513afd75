"""Graceful shutdown: announce it, keep serving, finish running calls."""

import asyncio
import logging
from dataclasses import dataclass

from damaskbay.adapters.http1.server import HttpServer
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.const import (
    SERVE_AFTER_SIGTERM_S,
    SERVE_AFTER_SIGTERM_SHARE,
    STOP_MARGIN_S,
)
from damaskbay.mesh.ingress import Ingress
from damaskbay.mesh.target import Target

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.05
"""Seconds between checks whether all calls have ended."""

NOT_ACCEPTING_SHARE = 0.4
"""Last part, 0 to 1, of the wait for running calls, without new connections.

Without it, callers that keep connecting are cut off at the end. Connections are
still accepted while the local server runs a call, which may make nested calls.
"""


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """Shuts a daemon down: the components that are notified and waited for."""

    callers: HttpServer
    ingress: Ingress
    target: Target
    links: PeerLinks

    async def run(self, grace_s: float) -> None:
        """Return when no call runs any more, or shortly before `grace_s` is over."""
        started_at = monotonic_s()
        ends_at = started_at + grace_s - STOP_MARGIN_S
        _LOGGER.info("daemon: graceful stop begins.")
        self.callers.draining = True
        ready_s = min(SERVE_AFTER_SIGTERM_S, SERVE_AFTER_SIGTERM_SHARE * grace_s)
        while monotonic_s() < started_at + ready_s:
            await asyncio.sleep(POLL_S)
        self.target.draining = True
        self.links.broadcast_note()
        await asyncio.sleep(POLL_S)
        self.callers.close_idle()
        stop_accepting_at = ends_at - NOT_ACCEPTING_SHARE * (ends_at - monotonic_s())
        while monotonic_s() < ends_at and self._has_calls():
            if monotonic_s() >= stop_accepting_at and not self.target.in_flight:
                break
            await asyncio.sleep(POLL_S)
            self.callers.close_idle()
        self.callers.stop_listening()
        await asyncio.sleep(POLL_S)
        self.callers.close_idle()
        while monotonic_s() < ends_at and self._has_calls():
            await asyncio.sleep(POLL_S)
            self.callers.close_idle()
        _LOGGER.info(
            "daemon: graceful stop ends.",
            extra={
                "callers": self.ingress.in_flight,
                "at_server": self.target.in_flight,
            },
        )

    def _has_calls(self) -> bool:
        return bool(
            self.ingress.in_flight or self.target.in_flight or self.callers.in_flight
        )
