"""Concurrency limit of a server that slows down when nearly all slots are used."""

import math
from dataclasses import dataclass

from damaskbay.core.admission.limit import CallSample

USED_SHARE = 0.95
"""Share of the slots that is tried instead of all: 11 of 12, 21 of 23."""

MIN_USED_SHARE = 0.75
"""Smallest share of the slots that are used; fewer than four are always used."""

MIN_GAIN = 1.02
"""Ratio of the throughputs from which on fewer slots are better."""

MAX_SPEED_RATIO = 2.0
"""Ratio of the speeds above which something else has changed during a trial."""

CLEAR_ERRORS = 4.0
CHANGE_ERRORS = 2.0
KEEP_ERRORS = 1.5
"""
Standard errors between the measured ratio and the threshold.

They decide for a change of the limit at once, for a change after a second such trial,
or against it. A wrong change costs more than a trial that is repeated.
"""

MIN_CALLS = 20
"""Calls of which a speed is known well enough to be compared."""

MEMORY_S = 3.0
"""Time constant of the speed between trials, seconds."""

SATURATED_SHARE = 0.4
"""Share of the recent time that the server has to be full before a trial."""

TRIAL_MIN_S = 0.3
TRIAL_MIN_CALL_TIMES = 2.0
TRIAL_MAX_S = 2.0
TRIAL_MAX_CALL_TIMES = 6.0
"""
Limits of a trial in seconds, or in times of a call where that is more.

In less than two of them the calls that ran at its begin and end distort the speed.
"""

UNSATURATED_MAX_S = 0.3
"""Time without saturation after which a trial is given up, seconds."""

REPEAT_PAUSE_S = 0.5
FIRST_PAUSE_S = 2.0
PAUSE_GROWTH = 3.0
MAX_PAUSE_S = 30.0
MAX_REDUCED_PAUSE_S = 20.0
"""
Pauses before a trial is repeated, and between others while they confirm the limit.

With fewer slots the longest is shorter, as a server may have been replaced; seconds.
"""

MEAN_GAIN = 0.05
MAX_ROUTES = 1000
"""Routes with a usual time; bounds memory while sets with new route names follow."""


@dataclass(slots=True)
class _Arm:
    """
    Calls that ended while all slots of a limit were used; times in seconds.

    `work_s` is the sum of the usual times of their routes, `work2` and `work3` those of
    their squares and cubes. `slot_s` is the time of the slots, `excluded_s` that of the
    calls that don't count.
    """

    calls: float = 0.0
    work_s: float = 0.0
    work2: float = 0.0
    work3: float = 0.0
    slot_s: float = 0.0
    excluded_s: float = 0.0

    def add_time(self, slots: int, elapsed_s: float) -> None:
        self.slot_s += slots * elapsed_s

    def add_call(self, usual_s: float) -> None:
        self.calls += 1.0
        self.work_s += usual_s
        self.work2 += usual_s * usual_s
        self.work3 += usual_s * usual_s * usual_s

    def fade(self, factor: float) -> None:
        self.calls *= factor
        self.work_s *= factor
        self.work2 *= factor
        self.work3 *= factor
        self.slot_s *= factor
        self.excluded_s *= factor

    @property
    def counted_s(self) -> float:
        return self.slot_s - self.excluded_s

    @property
    def is_known(self) -> bool:
        """Return whether there are enough calls; most of the time has to be theirs."""
        return self.calls >= MIN_CALLS and self.counted_s > 0.5 * self.slot_s

    @property
    def speed(self) -> float:
        """Return the work done per second of a slot."""
        return self.work_s / self.counted_s

    @property
    def call_s(self) -> float:
        """Return the mean time of the call that uses a slot, seconds."""
        return self.work2 / self.work_s

    def relative_variance(self, variation2: float, slots: int) -> float:
        """
        Return the squared relative error of the speed.

        The first term is of the durations, which vary by `variation2`, the second one
        of the calls that were running at the begin and at the end.
        """
        of_durations = variation2 * self.work2 / (self.work_s * self.work_s)
        of_ends = slots * self.work3 / (6.0 * self.work_s * self.counted_s**2)
        return of_durations + of_ends


class UsefulLimit:
    """
    Limit that leaves a few slots free where calls take much longer with all in use.

    Compares the work that the server does per second with all slots in use and with
    USED_SHARE of them, both only while calls of a queue fill each slot at once. Calls
    count with the usual time of their route, so that the mix of routes has no effect;
    calls with nested calls don't count, as their time depends on other servers.

    While the server isn't full the limit has no effect and nothing is tried. Handles a
    server that is full for a second or more, from about 20 calls a second on. Times
    are in seconds of one monotonic clock.
    """

    def __init__(self, slots: int, now: float) -> None:
        self._usual_s_by_route: dict[str, float] = {}
        self._variation2 = 0.25
        self._last_end_at = now
        self._saturated_at = now
        self._reset(slots, now)

    def _reset(self, slots: int, now: float) -> None:
        self._slots = slots
        reduced = max(math.floor(USED_SHARE * slots), math.ceil(MIN_USED_SHARE * slots))
        self._reduced = min(slots, reduced)
        self._limit = slots
        self._base = _Arm()
        self._trial: _Arm | None = None
        self._trial_since = now
        self._trial_after = now
        self._pause_s = FIRST_PAUSE_S
        self._trials_for_change = 0

    def value(self) -> int:
        """Return the limit; the other one during a trial."""
        return self._limit if self._trial is None else self._other()

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; what was learned of another number is dropped."""
        if slots != self._slots:
            self._reset(slots, self._last_end_at)

    def forget(self, now: float) -> None:
        """Use all slots again and drop what was learned of an earlier server."""
        self._usual_s_by_route.clear()
        self._reset(self._slots, now)

    def observe(self, sample: CallSample, running: int, now: float) -> None:
        """Update from an ended call; `running` is the concurrency including it."""
        if self._reduced == self._slots:
            return
        elapsed_s, self._last_end_at = max(0.0, now - self._last_end_at), now
        limit = self.value()
        arm = self._base if self._trial is None else self._trial
        if self._trial is None:
            arm.fade(math.exp(-elapsed_s / MEMORY_S))
        if running == limit:
            self._saturated_at = now
            arm.add_time(running, elapsed_s)
            self._record(arm, sample)
        elif running < limit and sample.succeeded and not sample.cancelled:
            self._update_usual(sample)
        if self._trial is None:
            self._begin_trial(now)
        else:
            self._end_trial(self._trial, now)

    def _other(self) -> int:
        return self._reduced if self._limit == self._slots else self._slots

    def _record(self, arm: _Arm, sample: CallSample) -> None:
        """Add a call that ended while the limit was reached."""
        if sample.cancelled or not sample.succeeded or sample.has_nested:
            arm.excluded_s += sample.latency_s
            return
        usual_s = self._usual_s_by_route.get(sample.route)
        if usual_s is None:
            arm.excluded_s += sample.latency_s
        else:
            arm.add_call(usual_s)
        # During a trial the usual times have to stay as they are.
        if self._trial is None:
            self._update_usual(sample)

    def _update_usual(self, sample: CallSample) -> None:
        """Update the usual time of a route, and how much single calls vary from it."""
        if sample.has_nested or sample.latency_s <= 0.0:
            return
        usual_s = self._usual_s_by_route.get(sample.route)
        if usual_s is None:
            if len(self._usual_s_by_route) >= MAX_ROUTES:
                self._usual_s_by_route.clear()
            self._usual_s_by_route[sample.route] = sample.latency_s
            return
        error = sample.latency_s - usual_s
        self._usual_s_by_route[sample.route] = usual_s + MEAN_GAIN * error
        deviation2 = min(4.0, (error / usual_s) ** 2)
        self._variation2 += MEAN_GAIN * (deviation2 - self._variation2)

    def _begin_trial(self, now: float) -> None:
        base = self._base
        is_full = base.slot_s >= SATURATED_SHARE * MEMORY_S * self._limit
        if now >= self._trial_after and is_full and base.is_known:
            self._trial = _Arm()
            self._trial_since = self._saturated_at = now

    def _end_trial(self, trial: _Arm, now: float) -> None:
        """End a trial once it is decided, has lasted too long or is not saturated."""
        if now - self._saturated_at > UNSATURATED_MAX_S:
            self._trial, self._trial_after = None, now + self._pause_s
            return
        call_s, took_s = self._base.call_s, now - self._trial_since
        if took_s < max(TRIAL_MIN_S, TRIAL_MIN_CALL_TIMES * call_s):
            return
        is_last = took_s > max(TRIAL_MAX_S, TRIAL_MAX_CALL_TIMES * call_s)
        error_count = self._errors_for_reduced(trial) if trial.is_known else None
        if error_count is None:
            if is_last:
                self._finish_trial(self._slots, now, is_clear=False)
            return
        changes = (error_count > 0.0) == (self._limit == self._slots)
        needed = CHANGE_ERRORS if changes else KEEP_ERRORS
        if is_last or abs(error_count) >= needed:
            limit = self._reduced if error_count > 0.0 else self._slots
            is_clear = abs(error_count) >= CLEAR_ERRORS
            self._finish_trial(limit, now, is_clear=is_clear)

    def _finish_trial(self, better: int, now: float, *, is_clear: bool) -> None:
        """Change to the better limit if it is clear, or better for the second time."""
        trial, self._trial = self._trial, None
        if better == self._limit:
            self._trials_for_change = 0
            longest_s = MAX_REDUCED_PAUSE_S
            if self._limit == self._slots:
                longest_s = MAX_PAUSE_S
            self._pause_s = min(longest_s, PAUSE_GROWTH * self._pause_s)
            self._trial_after = now + self._pause_s
            return
        self._trials_for_change += 1
        self._trial_after = now + REPEAT_PAUSE_S
        if trial is not None and (is_clear or self._trials_for_change > 1):
            self._limit, self._base = better, trial
            self._trials_for_change = 0
            self._pause_s = FIRST_PAUSE_S
            self._trial_after = now + FIRST_PAUSE_S

    def _errors_for_reduced(self, trial: _Arm) -> float | None:
        """
        Return by how many standard errors fewer slots do more than all of them.

        None if the speeds differ so much that there has to be another cause.
        """
        full, reduced = self._base, trial
        if self._limit != self._slots:
            full, reduced = trial, self._base
        ratio = reduced.speed / full.speed
        if not 1.0 / MAX_SPEED_RATIO <= ratio <= MAX_SPEED_RATIO:
            return None
        error = ratio * math.sqrt(
            full.relative_variance(self._variation2, self._slots)
            + reduced.relative_variance(self._variation2, self._reduced)
        )
        return (ratio - MIN_GAIN * self._slots / self._reduced) / error
