"""The graceful stop: tell all, go on serving, end what runs."""

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
"""Seconds between looks whether all calls have ended."""

LAST_CALLS_SHARE = 0.4
"""Part of the waiting time in which no more callers are let in, 0 to 1.

Without it callers that go on coming are cut at the end. The own server, while it
runs a call, may still need a connection for a call of its own.
"""


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """What is told and waited for when a daemon stops."""

    callers: HttpServer
    ingress: Ingress
    target: Target
    links: PeerLinks

    async def run(self, grace_s: float) -> None:
        """Return when nothing runs any more, or shortly before the time is up."""
        began = monotonic_s()
        end = began + grace_s - STOP_MARGIN_S
        _LOGGER.info("daemon: graceful stop begins.")
        self.callers.draining = True
        ready_s = min(SERVE_AFTER_SIGTERM_S, SERVE_AFTER_SIGTERM_SHARE * grace_s)
        while monotonic_s() < began + ready_s:
            await asyncio.sleep(POLL_S)
        self.target.draining = True
        self.links.tell_all()
        await asyncio.sleep(POLL_S)
        self.callers.close_idle()
        closing_at = end - LAST_CALLS_SHARE * (end - monotonic_s())
        while monotonic_s() < end and self._busy():
            if monotonic_s() >= closing_at and not self.target.in_flight:
                break
            await asyncio.sleep(POLL_S)
            self.callers.close_idle()
        self.callers.stop_listening()
        await asyncio.sleep(POLL_S)
        self.callers.close_idle()
        while monotonic_s() < end and self._busy():
            await asyncio.sleep(POLL_S)
            self.callers.close_idle()
        _LOGGER.info(
            "daemon: graceful stop ends.",
            extra={
                "callers": self.ingress.in_flight,
                "at_server": self.target.in_flight,
            },
        )

    def _busy(self) -> bool:
        return bool(
            self.ingress.in_flight or self.target.in_flight or self.callers.under_way
        )
