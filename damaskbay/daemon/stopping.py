"""Graceful stop: announce it, keep serving, finish or interrupt running calls."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

from damaskbay.adapters.peer_stream import PeerStreams
from damaskbay.core.lifetime import StopPlan
from damaskbay.daemon.announcing import Announcer
from damaskbay.daemon.ingress import Ingress
from damaskbay.daemon.peer_calls import PeerCalls
from damaskbay.helpers.clock import monotonic_s
from damaskbay.helpers.wsgi_server import WsgiServer

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.05
IDLE_CONNECTIONS_GRACE_S = 3.0
"""Time for callers to use or close their idle connections, seconds."""


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """Stops a daemon: the components that are notified and waited for."""

    announcer: Announcer
    callers: WsgiServer
    ingress: Ingress
    peer_calls: PeerCalls
    link: PeerStreams

    def run(self, plan: StopPlan) -> None:
        """Return when all calls have their responses, or at the end of the plan."""
        _LOGGER.info("daemon: graceful stop begins.")
        self.announcer.drain()
        _wait(plan.announced_at, lambda: False)
        self.callers.drain()
        _wait(plan.interrupts_at, lambda: not self._has_calls())
        _wait(
            min(plan.interrupts_at, monotonic_s() + IDLE_CONNECTIONS_GRACE_S),
            lambda: not self.callers.open_connections(),
        )
        self.ingress.drain()
        self.callers.close_idle()
        _wait(plan.interrupts_at, lambda: not self._has_calls())
        if self._has_calls():
            self._interrupt()
        _wait(plan.exits_at, self._has_sent_all)
        self.link.drain(max(0.0, plan.exits_at - monotonic_s()))
        _LOGGER.info(
            "daemon: graceful stop ends, %d calls of callers, %d of peers and %d "
            "connections left.",
            self.ingress.in_flight,
            self.peer_calls.in_flight,
            self.callers.open_connections(),
        )

    def _has_calls(self) -> bool:
        """Return whether a call runs or waits for a thread of the listener."""
        return bool(
            self.ingress.in_flight
            or self.peer_calls.in_flight
            or self.callers.unanswered_connections()
        )

    def _has_sent_all(self) -> bool:
        """Return whether all responses are sent; close connections without one."""
        self.callers.reject_incomplete()
        self.callers.close_idle()
        return not (self._has_calls() or self.callers.open_connections())

    def _interrupt(self) -> None:
        """End the calls that have no result; their callers get a response."""
        _LOGGER.warning(
            "daemon: running calls are interrupted, %d of callers and %d of peers.",
            self.ingress.in_flight,
            self.peer_calls.in_flight,
        )
        self.ingress.interrupt()
        self.peer_calls.interrupt()


def _wait(until: float, is_over: Callable[[], bool]) -> None:
    """Wait for a condition, at most until a time."""
    while not is_over() and monotonic_s() < until:
        time.sleep(POLL_S)
