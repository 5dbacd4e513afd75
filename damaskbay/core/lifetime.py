"""The end of a daemon's life: how long it serves after SIGTERM, and which calls."""

from dataclasses import dataclass

ANNOUNCEMENT_S = 2.3
"""Time to serve all callers after SIGTERM, seconds: two readiness checks, 1 s apart."""

ANNOUNCEMENT_SHARE = 0.4
"""Limit of ANNOUNCEMENT_S as a part of the grace time; running calls need the rest."""

WORK_MARGIN_S = 0.95
"""Margin between the last results of servers and the end of the grace time, seconds."""

INTERRUPT_MARGIN_S = 0.8
"""Margin, in seconds, from which calls without a result are ended and answered.

Less than WORK_MARGIN_S: a server answers by itself when its time limit has passed.
"""

EXIT_MARGIN_S = 0.6
"""Margin for the end of the process before the platform kills it, seconds."""

LINKS_CLOSE_S = 1.0
"""Limit of the wait for peers that read slowly while links close, seconds."""

MAX_MARGIN_SHARE = 1.0 / 6.0
"""
Limit of WORK_MARGIN_S as a part of the grace time; the other margins shrink with it.

Callers expect that a running call is cut only in the last sixth of the grace time.
"""

MIN_LINKS_CLOSE_S = 0.1
"""Time to close links after a stop that used all of its time, seconds."""

PASSES_FROM_INTERRUPT = 12
"""Passes of the event loop from the interruption of calls to the daemon's end."""


@dataclass(frozen=True, slots=True)
class StopPlan:
    """
    Steps of a graceful stop, in monotonic seconds.

    Callers have learned of the stop by `announced_at`. Servers may work until
    `work_until`, what is left is interrupted at `interrupts_at`, and responses are
    sent until `exits_at`. The platform kills the process at `killed_at`.
    """

    began_at: float
    announced_at: float
    work_until: float
    interrupts_at: float
    exits_at: float
    killed_at: float

    def interrupts_from(self, late_s: float) -> float:
        """
        Return when calls are interrupted if the event loop is late.

        Each pass of the loop is expected to take `late_s` seconds.
        """
        grace_s = self.killed_at - self.began_at
        margin_s = min(PASSES_FROM_INTERRUPT * late_s, MAX_MARGIN_SHARE * grace_s)
        return min(self.interrupts_at, self.killed_at - margin_s)


def plan_stop(grace_s: float, now: float) -> StopPlan:
    """Return the steps of a stop that begins now, `grace_s` before the kill."""
    announcement_s = min(ANNOUNCEMENT_S, ANNOUNCEMENT_SHARE * grace_s)
    margin_scale = min(1.0, MAX_MARGIN_SHARE * grace_s / WORK_MARGIN_S)
    kill_at = now + grace_s
    return StopPlan(
        now,
        now + announcement_s,
        kill_at - margin_scale * WORK_MARGIN_S,
        kill_at - margin_scale * INTERRUPT_MARGIN_S,
        kill_at - margin_scale * EXIT_MARGIN_S,
        kill_at,
    )


def links_close_timeout_s(plan: StopPlan, now: float) -> float:
    """Return how long links to peers may take to close at the end of a stop."""
    return max(MIN_LINKS_CLOSE_S, min(LINKS_CLOSE_S, plan.exits_at - now))


@dataclass(slots=True)
class Lifetime:
    """
    Bounds the work of a daemon by its own end.

    `plan` is None while the daemon isn't stopping. `peer_calls` is the number of calls
    of peers that run here. `busy_until` is when the calls that were taken are expected
    to have ended. `ended` is set when the daemon waits for no call any more.
    """

    plan: StopPlan | None = None
    peer_calls: int = 0
    busy_until: float = 0.0
    ended: bool = False

    def begin_stop(self, grace_s: float, now: float) -> None:
        """Plan the stop; a second SIGTERM changes nothing."""
        if self.plan is None:
            self.plan = plan_stop(grace_s, now)

    def require_plan(self) -> StopPlan:
        """Return the plan of a daemon that is stopping."""
        assert self.plan is not None
        return self.plan

    def limit(self, deadline: float) -> float:
        """Return the earlier of a deadline and the end of work here."""
        if self.plan is None:
            return deadline
        return min(deadline, self.plan.work_until)

    def outlasts(self, expected_s: float, now: float) -> bool:
        """Return whether a call of `expected_s` would end after the work here."""
        return self.plan is not None and now + expected_s > self.plan.work_until

    def expect_end(self, moment: float) -> None:
        """Record when a call that was taken is expected to end."""
        self.busy_until = max(self.busy_until, moment)

    def expected_left_s(self, now: float, *, has_calls: bool) -> float:
        """Return the seconds until a stopping daemon is expected to end its work."""
        if self.plan is None:
            return 0.0
        until = self.plan.announced_at
        if has_calls:
            until = max(until, min(self.busy_until, self.plan.work_until))
        return max(0.0, until - now)

    def announced(self, now: float) -> bool:
        """Return whether callers know by now that the daemon is leaving."""
        return self.plan is not None and now >= self.plan.announced_at

    def since_stop_s(self, moment: float) -> float | None:
        """Return the seconds from the start of the stop to a moment, None before it."""
        if self.plan is None:
            return None
        return round(moment - self.plan.began_at, 3)
