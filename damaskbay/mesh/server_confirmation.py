"""Confirms that the local server is ready before it gets its first call."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from damaskbay.adapters.peer_link.client import PeerLinks
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.mesh.departures import Departures
from damaskbay.mesh.local_server import Heartbeat, LocalServer, ServerStart
from damaskbay.mesh.server_check import ServerCheck
from damaskbay.ports.fleet import ServerState
from damaskbay.ports.peer import PeerAddress

_LOGGER = logging.getLogger(__name__)

MAX_REPORT_DELAY_S = 4.0
"""
Longest time that a report is expected to be under way, seconds.

One that arrives later than that after the start of the daemon was sent since.
"""

CONFIRM_WAIT_S = 0.3
"""Time for which a report waits for the health check before its response, seconds."""

CHECK_INTERVAL_S = 0.5
"""Seconds between health checks while a report is held back."""

POLL_INTERVAL_S = 0.05
"""Seconds between looks for the configuration, and for peers that are linked."""


@dataclass(frozen=True, slots=True)
class ConfirmationParts:
    """Dependencies of ServerConfirmation."""

    local: LocalServer
    check: ServerCheck
    departures: Departures
    links: PeerLinks
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class _Held:
    """
    A report that is held back.

    `stored` is one from the record of an earlier daemon, `fresh` one that was sent
    since this daemon started.
    """

    report: Heartbeat
    stored: bool
    fresh: bool

    @property
    def start(self) -> ServerStart:
        """Return the start of the server that the report is of."""
        return self.report.server, self.report.started_ms

    @property
    def order(self) -> tuple[int, int]:
        """Return the order among the reports."""
        return self.report.started_ms, self.report.sequence


class ServerConfirmation:
    """
    Holds back the first report that a start of the local server is ready.

    An earlier daemon may have acknowledged that the server leaves, and have ended. Its
    record may lack that or not be readable yet, and a report from before may be late.
    So the report counts once the server confirms it in its health check; it is dropped
    if a peer or the record knows that the server leaves. Where the check can't tell,
    only a report counts that was sent since this daemon started, or any if the store
    has no record of an earlier one.
    """

    def __init__(self, parts: ConfirmationParts) -> None:
        self._parts = parts
        self._fresh_from = parts.clock() + MAX_REPORT_DELAY_S
        self._is_successor = True
        self._held: _Held | None = None
        self._has_held = asyncio.Event()
        self._decided = asyncio.Event()
        self._asked_peers: set[PeerAddress] = set()
        self._check_at = 0.0

    def register_gauges(self, telemetry: BoundTelemetry) -> None:
        """Register the gauge of a report that is held back."""
        telemetry.gauge(
            "server_unconfirmed",
            "1: its first report is held back",
            lambda: float(self._held is not None),
        )

    def held_born_ms(self, server: str) -> int | None:
        """Return the start of a server in a held report, None if there is none."""
        held = self._held
        if held is None or held.report.server != server:
            return None
        return held.report.started_ms

    def hold(self, report: Heartbeat, now: float, *, stored: bool = False) -> bool:
        """Hold back a report that needs confirmation; return False if it needs none."""
        fresh = not stored and now >= self._fresh_from
        held = _Held(report, stored, fresh)
        if report.state is not ServerState.READY or self._is_known(held.start):
            return False
        if report.started_ms < self._parts.local.born_ms:
            return False
        if self._held is None or held.order > self._held.order:
            self._held = held
        self._decided.clear()
        self._has_held.set()
        return True

    def record_first_reading(self, *, is_successor: bool) -> None:
        """Record whether the store has a record of an earlier daemon here."""
        self._is_successor = is_successor

    async def wait(self) -> None:
        """Wait a short while until no report is held back."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_WAIT_S):
                await self._decided.wait()

    async def run(self) -> None:
        """Confirm the reports that are held back, until cancelled."""
        while True:
            await self._has_held.wait()
            if self._held is None:
                self._has_held.clear()
                continue
            await self._confirm(self._held)
            if self._held is not None:
                await asyncio.sleep(POLL_INTERVAL_S)

    def drop_known(self) -> None:
        """Drop a held report of a start that is known by now."""
        held = self._held
        if held is not None and self._is_known(held.start):
            self._drop()

    async def _confirm(self, held: _Held) -> None:
        """Ask the server and peers; decide on a report if that is possible now."""
        _, denied = await asyncio.gather(self._ask_peers(), self._ask_server(held))
        if self._held is not held or denied is None:
            return
        counts = held.fresh or not self._is_successor
        if counts and not denied:
            self._release(held)
        elif counts or self._parts.clock() >= self._fresh_from:
            _LOGGER.warning(
                "backend: report is not confirmed, the next one is awaited.",
                extra={
                    "server": held.report.server,
                    "stored": held.stored,
                    "denied": denied,
                },
            )
            self._drop()

    async def _ask_peers(self) -> None:
        """Ask the peers that were not asked yet whether the server was leaving."""
        peers = set(self._parts.links.up_peers()) - self._asked_peers
        if peers:
            self._asked_peers |= peers
            await self._parts.departures.ask(peers, self._restore_departure)

    def _restore_departure(self, start: ServerStart) -> None:
        server, born_ms = start
        _LOGGER.info("backend: peer knows of a departure.", extra={"server": server})
        departed = Heartbeat(server, ServerState.DRAINING, 0, 0, born_ms)
        self._parts.local.restore(departed, self._parts.clock())
        self.drop_known()

    async def _ask_server(self, held: _Held) -> bool | None:
        """Return whether the server denies a report, None if it is yet to be asked."""
        parts, now = self._parts, self._parts.clock()
        if not parts.check.is_configured:
            return None
        if not parts.check.is_possible:
            return False
        if now < self._check_at:
            return None
        self._check_at = now + CHECK_INTERVAL_S
        checked = await parts.check.check(held.report.server)
        now = parts.clock()
        if checked.state is ServerState.DRAINING:
            parts.local.restore(replace(held.report, state=checked.state), now)
            self.drop_known()
        elif checked.state is ServerState.READY:
            self._release(held)
        if checked.limit_per_s is not None and parts.local.start == held.start:
            parts.check.gate.record_response(checked.limit_per_s, now)
        return checked.denies

    def _release(self, held: _Held) -> None:
        """Let a report count, or a later one of the same start that came meanwhile."""
        now = self._parts.clock()
        if self._held is not None and self._held.start == held.start:
            held = self._held
        if held.stored:
            self._parts.local.restore(held.report, now)
        else:
            self._parts.local.record_heartbeat(held.report, now)
        if self._held is held:
            self._drop()

    def _drop(self) -> None:
        self._held = None
        self._decided.set()

    def _is_known(self, start: ServerStart) -> bool:
        """Return whether it is known without a report whether a start takes calls."""
        local = self._parts.local
        return start in (local.start, local.restored_draining)
