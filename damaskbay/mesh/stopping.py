"""Graceful shutdown: announce it, keep serving, finish or interrupt running calls."""

import asyncio
import logging
from dataclasses import dataclass

from damaskbay.adapters.http1.server import HttpServer
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.core.lifetime import StopPlan, links_close_timeout_s
from damaskbay.helpers.arrivals import read_new_connections
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.ingress import Ingress
from damaskbay.mesh.target import Target

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.05
"""Seconds between checks whether all calls have ended."""


@dataclass(frozen=True, slots=True)
class GracefulStop:
    """Shuts a daemon down: the components that are notified and waited for."""

    callers: HttpServer
    ingress: Ingress
    target: Target
    links: PeerLinks

    async def run(self, plan: StopPlan) -> None:
        """Return when all calls have their responses, or at the end of the plan."""
        _LOGGER.info("daemon: graceful stop begins.")
        self.callers.draining = True
        await asyncio.sleep(plan.announced_at - monotonic_s())
        self.target.draining = True
        self.links.broadcast_note()
        await asyncio.sleep(POLL_S)
        self.callers.close_idle()
        while monotonic_s() < plan.interrupts_at and self._has_calls():
            await asyncio.sleep(POLL_S)
            self.callers.close_idle()
        self.callers.stop_listening()
        await self._wait_for_responses(plan.interrupts_at)
        # Results that have arrived are delivered, however late this step comes.
        await read_new_connections()
        if self._has_calls():
            self._interrupt()
        await self._wait_for_responses(plan.exits_at)
        _LOGGER.info(
            "daemon: graceful stop ends.",
            extra={
                "callers": self.ingress.in_flight,
                "at_server": self.target.in_flight,
                "connections": self.callers.in_flight,
            },
        )

    async def _wait_for_responses(self, until: float) -> None:
        """
        Wait until no connection has a response in flight.

        A request may begin on a connection that was accepted before the listener
        closed; while it is incomplete there is nothing to wait for.
        """
        self.callers.reject_incomplete()
        await asyncio.sleep(POLL_S)
        self._close_unused()
        while monotonic_s() < until and (self._has_calls() or self.callers.in_flight):
            await asyncio.sleep(POLL_S)
            self._close_unused()

    def _close_unused(self) -> None:
        """Close idle connections and refuse requests that are still being read."""
        self.callers.close_idle()
        self.callers.reject_incomplete()

    def _interrupt(self) -> None:
        """End the calls that have no result; their callers get a response."""
        _LOGGER.warning(
            "daemon: running calls are interrupted.",
            extra={
                "callers": self.ingress.in_flight,
                "at_server": self.target.in_flight,
            },
        )
        self.target.interrupt()
        self.links.interrupt_requests()

    def _has_calls(self) -> bool:
        return bool(self.ingress.in_flight or self.target.in_flight)


async def finish_messages(
    links: PeerLinks, control: HttpServer, plan: StopPlan
) -> None:
    """Close the links to peers and answer the reports of the local server."""
    await links.close(timeout_s=links_close_timeout_s(plan, monotonic_s()))
    await finish_reports(control, plan.exits_at)


async def finish_reports(control: HttpServer, until: float) -> None:
    """Stop accepting reports of the local server and answer those that were read."""
    control.stop_listening()
    control.draining = True
    control.close_idle()
    while monotonic_s() < until and control.in_flight:
        await asyncio.sleep(POLL_S)
        control.close_idle()
    if control.in_flight:
        _LOGGER.warning(
            "daemon: reports end without a response.",
            extra={"connections": control.in_flight},
        )
