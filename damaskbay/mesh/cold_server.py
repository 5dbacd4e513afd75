"""Finds out whether the local server is cold, and limits the requests to it then."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Final

from damaskbay.adapters.http1.client import HttpProblem
from damaskbay.adapters.telemetry.bound import BoundTelemetry
from damaskbay.config.objects import ConfigSet, HealthCheckedPool
from damaskbay.core.admission.cold_limit import ColdOptions
from damaskbay.mesh.local_server import Heartbeat
from damaskbay.mesh.server_check import ServerCheck
from damaskbay.mesh.settings import MeshSettings
from damaskbay.ports.fleet import ServerState

_LOGGER = logging.getLogger(__name__)

STEP_S: Final = 0.1
"""Seconds between the checks of a limit that holds."""

ASK_INTERVAL_S: Final = 0.5
"""Seconds between health checks; each takes the server some milliseconds."""

REPORT_DELAY_S: Final = 0.1
"""Time that a report may take; one from before a restart says nothing of it."""

LOST_TOGETHER_S: Final = 0.1
"""Requests whose connections are lost within this time were lost by one event."""

LOST_TOGETHER: Final = 2

MIN_CHANGE_RATIO: Final = 1.5
"""Ratio of two numbers of slots from which the peers are told at once."""


class ColdServer:
    """
    Starts and ends the limit of a cold server.

    The server says in its reports and in its health check how long it stays cold.
    Without its word it is assumed to be cold: when the daemon starts, and when its
    connections are refused or lost together, since it may have been started again.
    The health check is asked then. `on_capacity_change` is called when the server takes
    clearly more or fewer calls.
    """

    def __init__(
        self,
        settings: MeshSettings,
        check: ServerCheck,
        on_capacity_change: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._pool = settings.pool
        self._local, self._gate, self._check = check.local, check.gate, check
        self._limit = check.gate.cold_limit
        self._on_capacity_change = on_capacity_change
        self._clock = clock
        self._overage, self._slack = settings.cold_overage, settings.cold_slack
        self._lost_at: deque[float] = deque(maxlen=LOST_TOGETHER)
        self._changed = asyncio.Event()
        self._ask = False
        self._ask_at = 0.0
        self._slots = 0
        self._logged_cold = False
        self._cause = "daemon starts"
        # Without a bound of the platform, only the configuration can name a limit.
        self._set_rate(None if settings.limits_cold_servers else 0.0)
        # An earlier daemon may have known that the server is cold. No report is older
        # than this start, so that the first one counts at once.
        self._limit.assume(clock() - REPORT_DELAY_S)
        self._changed.set()
        self._local.on_report = self.record_report
        check.on_cold = self._record_announcement

    def register_gauges(self, telemetry: BoundTelemetry) -> None:
        """Register the gauges of the cold phase."""
        clock, limit, gauge = self._clock, self._limit, telemetry.gauge
        gauge("server_warmup_per_second", "0: none", lambda: limit.options.rate_per_s)
        gauge("server_cold", "1: limited or assumed", self._is_limited)
        gauge("server_cold_assumed", "1: no word", lambda: float(limit.is_assumed))
        gauge("server_sent", "In the last second", lambda: limit.sent_lately(clock()))

    def config_changed(self, config: ConfigSet) -> None:
        """Take the warm-up rate of the pool from the active configuration."""
        pool = config.pools_by_name.get(self._pool)
        self._set_rate(
            pool.warmup_per_s if isinstance(pool, HealthCheckedPool) else 0.0
        )

    def set_bounds(self, overage: float, slack: float) -> None:
        """Change how far a second may exceed the warm-up rate."""
        self._overage, self._slack = overage, slack
        self._set_rate(self._limit.options.per_s)

    def record_report(self, heartbeat: Heartbeat, restarted: bool, now: float) -> None:
        """Record what the server reports of its cold phase."""
        as_of = now if restarted else now - REPORT_DELAY_S
        self._record_announcement(heartbeat.slow_start_left_s, as_of)

    def record_failure(self, problem: HttpProblem) -> None:
        """Record that a request to the server got no response."""
        now = self._clock()
        if problem in (HttpProblem.NOT_SENT, HttpProblem.REJECTED):
            self._assume(problem.value, now)
        elif problem in (HttpProblem.LOST, HttpProblem.STALE):
            self._lost_at.append(now)
            together = [at for at in self._lost_at if now - at < LOST_TOGETHER_S]
            only_call = problem is HttpProblem.LOST and self._gate.running <= 1
            if len(together) >= LOST_TOGETHER or only_call:
                self._assume("connections are lost", now)

    async def run(self) -> None:
        """Follow the limit while it holds, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._limit.rate_per_s(self._clock()) is not None:
                if self._ask_is_due():
                    # Most assumptions end with the response, and cost no call then.
                    await self._ask_server()
                self._follow_limit()
                await asyncio.sleep(STEP_S)
            self._follow_limit()

    def _set_rate(self, per_s: float | None) -> None:
        options = ColdOptions(per_s, self._overage, self._slack)
        if options != self._limit.options:
            self._limit.set_options(options)
            self._changed.set()

    def _record_announcement(self, cold_s: float, as_of: float) -> None:
        """Record that the server says how long it stays cold, at `as_of` or later."""
        now = self._clock()
        self._limit.announce(cold_s, now, as_of=as_of)
        self._changed.set()
        self._cause = "server says so"
        self._log_change(self._cause, now)

    def _assume(self, why: str, now: float) -> None:
        if not self._limit.options.limits:
            return
        self._limit.assume(now)
        self._ask = True
        self._changed.set()
        self._cause = why
        self._log_change(why, now)

    def _is_limited(self) -> float:
        return float(self._limit.rate_per_s(self._clock()) is not None)

    def _follow_limit(self) -> None:
        """Tell peers if the server takes clearly more or fewer calls than before."""
        now = self._clock()
        self._gate.apply_cold(now)
        slots = min(self._local.slots, self._gate.announced_slots(now))
        fewer, more = sorted((slots, self._slots))
        if slots != self._slots and more >= MIN_CHANGE_RATIO * fewer:
            self._slots = slots
            self._on_capacity_change()
        self._log_change("time is over", now)

    def _ask_is_due(self) -> bool:
        now = self._clock()
        return (
            self._ask
            and self._limit.is_assumed
            and self._local.state is ServerState.READY
            and now >= self._ask_at
            and self._limit.allows_write(now)
        )

    async def _ask_server(self) -> None:
        self._ask_at = self._clock() + ASK_INTERVAL_S
        self._ask = False
        if not await self._check.ask_cold():
            self._ask = True

    def _log_change(self, why: str, now: float) -> None:
        """Log the begin and the end of a cold phase in a pool with a warm-up rate."""
        is_cold = self._limit.is_cold(now) and bool(self._limit.options.per_s)
        if is_cold == self._logged_cold:
            return
        self._logged_cold = is_cold
        state = "begins" if is_cold else "has ended"
        left_s = self._limit.left_s(now)
        _LOGGER.info(
            f"backend: cold phase {state}.",
            extra={
                "server": self._local.server,
                "why": self._cause if is_cold else why,
                "left_s": None if self._limit.is_assumed else round(left_s, 3),
                "warmup_per_s": self._limit.options.per_s,
                "sent_last_s": self._limit.sent_lately(now),
            },
        )
