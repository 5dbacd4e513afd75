"""Graceful shutdown: announce it, keep serving, finish or interrupt running calls."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from damaskbay.adapters.http1.server import HttpServer
from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.core.lifetime import StopPlan, links_close_timeout_s
from damaskbay.helpers.clock import monotonic_s
from damaskbay.mesh.ingress import Ingress
from damaskbay.mesh.target import Target

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.05
"""Seconds between checks whether all calls have ended."""

LATENESS_DECAY = 0.5
"""What one poll in time leaves of the lateness of the polls before it."""

INTERRUPT_PASSES = 8
"""Passes of the event loop in which interrupted calls get their responses."""


@dataclass(slots=True)
class GracefulStop:
    """
    Shuts a daemon down: the components that are notified and waited for.

    `late_s` is how late its recent polls were, in seconds: a pass of the event loop
    takes that long if the process is short of processor.
    """

    callers: HttpServer
    ingress: Ingress
    target: Target
    links: PeerLinks
    late_s: float = field(default=0.0, init=False)

    async def run(self, plan: StopPlan) -> None:
        """Return when all calls have their responses, or at the end of the plan."""
        _LOGGER.info("daemon: graceful stop begins.")
        self.callers.draining = True
        self.callers.end_pauses()
        await asyncio.sleep(plan.announced_at - monotonic_s())
        self.target.draining = True
        self.links.broadcast_note()
        await self._poll()
        self.callers.close_idle()
        while (left_s := self._left_s(plan)) > 0.0 and self._has_calls():
            await self._poll(left_s)
            self.callers.close_idle()
        self.callers.stop_listening()
        await self.callers.read_new_connections()
        await self._wait_for_responses(lambda: self._left_s(plan))
        if self._has_calls():
            await self._interrupt()
        await self._wait_for_responses(lambda: plan.exits_at - monotonic_s())
        _LOGGER.info(
            "daemon: graceful stop ends.",
            extra={
                "callers": self.ingress.in_flight,
                "at_server": self.target.in_flight,
                "connections": self.callers.in_flight,
            },
        )

    def _left_s(self, plan: StopPlan) -> float:
        """Return the seconds until calls are interrupted, none left if negative."""
        return plan.interrupts_from(self.late_s) - monotonic_s()

    async def _poll(self, most_s: float = POLL_S) -> None:
        """Wait for POLL_S, `most_s` seconds at most, and measure the lateness."""
        delay_s = max(0.0, min(POLL_S, most_s - self.late_s))
        due_at = monotonic_s() + delay_s
        await asyncio.sleep(delay_s)
        self.late_s = max(LATENESS_DECAY * self.late_s, monotonic_s() - due_at)

    async def _wait_for_responses(self, left_s: Callable[[], float]) -> None:
        """
        Wait until no connection has a response in flight.

        A request may begin on a connection that was accepted before the listener
        closed; while it is incomplete there is nothing to wait for.
        """
        self.callers.reject_incomplete()
        if left_s() > 0.0:
            await self._poll()
            self._close_unused()
        while (wait_s := left_s()) > 0.0 and self._has_responses():
            await self._poll(wait_s)
            self._close_unused()

    def _close_unused(self) -> None:
        """Close idle connections and refuse requests that are still being read."""
        self.callers.close_idle()
        self.callers.reject_incomplete()

    async def _interrupt(self) -> None:
        """
        End the calls that have no result; their callers get a response.

        Results that have arrived are delivered, however late this step comes.
        """
        _LOGGER.warning(
            "daemon: running calls are interrupted.",
            extra={
                "callers": self.ingress.in_flight,
                "at_server": self.target.in_flight,
            },
        )
        self.target.interrupt()
        self.links.interrupt_requests()
        for _ in range(INTERRUPT_PASSES):
            if not self._has_calls():
                return
            await asyncio.sleep(0)

    def _has_responses(self) -> bool:
        return self._has_calls() or bool(self.callers.in_flight)

    def _has_calls(self) -> bool:
        return bool(self.ingress.in_flight or self.target.in_flight)


async def finish_messages(
    links: PeerLinks, control: HttpServer, others: Sequence[HttpServer], plan: StopPlan
) -> None:
    """
    Close the links to peers and answer the reports of the local server.

    The other servers close meanwhile, since each takes several passes of the loop.
    """
    loop = asyncio.get_running_loop()
    closing = [loop.create_task(server.close()) for server in others]
    await links.close(timeout_s=links_close_timeout_s(plan, monotonic_s()))
    await finish_reports(control, plan.exits_at)
    for task in closing:
        await task


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
