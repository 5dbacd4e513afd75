"""Tests of core.admission.cold_limit and of admission to a cold server."""

import unittest
from random import Random

from hypothesis import given, settings, strategies as st

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    CallSample,
    FixedLimit,
)
from damaskbay.core.admission.cold_limit import ColdLimit, ColdOptions
from damaskbay.core.admission.const import COLD_RETURN_S, COLD_ROOT_WAIT_S
from tests.common import function_suite
from tests.core.admission.common import call, refusals, starts

OPTIONS = ColdOptions(2.7, 1.5, 8.0)
BOUND = 12
NO_LIMIT = ColdOptions()
SLOTS = 12
STEP_S = 0.01

phases = st.lists(
    st.tuples(st.floats(0.1, 2.0), st.floats(0.0, 3.0), st.booleans()),
    min_size=1,
    max_size=4,
)


def _most_in_a_second(times: list[float]) -> int:
    return max(
        (sum(1 for at in times if first <= at < first + 1.0) for first in times),
        default=0,
    )


def _controller(options: ColdOptions) -> AdmissionController:
    """Return a controller of a server with calls of rank 0 to 2."""
    return AdmissionController(
        AdmissionOptions(
            SLOTS, limit=lambda slots, _now: FixedLimit(slots), cold=options
        ),
        Random(1),
        0.0,
    )


def _writes_of_a_cold_server(options: ColdOptions) -> list[float]:
    """Offer 40 calls a second to a server that is cold for 3 s; return its requests."""
    controller = _controller(options)
    controller.cold_limit.announce(3.0, 0.0, as_of=0.0)
    writes: list[float] = []
    running: list[int] = []
    for number in range(120):
        now = number / 40.0
        started = starts(
            (*controller.offer(call(number), now), *controller.expire(now))
        )
        writes += [now] * len(started)
        running += started
        if len(running) > 2:
            started = starts(controller.finish(running.pop(0), CallSample(0.075), now))
            writes += [now] * len(started)
            running += started
    return writes


# A cold server got a request for each of its slots at once, and 14 in a second of a
# played day where 12.1 are allowed.
def test_a_cold_server_gets_its_warm_up_rate() -> None:
    """The same arrivals exceed the bound without the limit."""
    assert _most_in_a_second(_writes_of_a_cold_server(NO_LIMIT)) > BOUND
    writes = _writes_of_a_cold_server(OPTIONS)
    assert _most_in_a_second(writes) <= 2.7 + 1.0
    assert len(writes) >= int(2.7 * 3.0) - 1


@given(phases, st.booleans())
@settings(max_examples=60, deadline=None)
def test_no_second_of_a_cold_phase_has_more_requests_than_allowed(
    spans: list[tuple[float, float, bool]], repeats: bool
) -> None:
    """Also if it begins under load, with repeats, and after a restart of the daemon."""
    limit = ColdLimit(OPTIONS, 0.0)
    now, cold_times = 0.0, []
    for warm_s, cold_s, restart in spans:
        for phase_s, is_cold in ((warm_s, False), (cold_s, True)):
            if is_cold:
                if restart:
                    limit = ColdLimit(OPTIONS, now)
                    limit.assume(now)
                limit.announce(cold_s, now, as_of=now)
            end = now + phase_s
            while now < end:
                if limit.allows_start(now):
                    limit.record_start(now)
                    for _ in range(4 if repeats else 1):
                        if limit.allows_write(now):
                            limit.record_write(now)
                            cold_times += [now] if is_cold else []
                now += STEP_S
    assert _most_in_a_second(cold_times) <= BOUND


def test_requests_before_a_cold_phase_count_for_a_second() -> None:
    """A server that becomes cold under load has had its share already."""
    limit = ColdLimit(OPTIONS, 0.0)
    for number in range(50):
        limit.record_write(number / 100.0)
    limit.announce(3.0, 0.5, as_of=0.5)
    assert not limit.allows_write(1.0)
    assert limit.allows_write(1.0 + 0.5 + 0.2)


def test_an_assumption_holds_until_the_server_says_otherwise_later() -> None:
    """A report that was sent before the server ended says nothing about its restart."""
    limit = ColdLimit(OPTIONS, 0.0)
    limit.assume(1.0)
    limit.announce(0.0, 1.01, as_of=0.99)
    assert limit.is_cold(1.01)
    assert limit.is_cold(1000.0)
    limit.announce(0.0, 1.2, as_of=1.1)
    assert not limit.is_cold(1.2)
    assert limit.rate_per_s(1.2) is None


def test_slots_return_step_by_step_after_a_cold_phase() -> None:
    """All waiting calls together would overload a server that is just warm."""
    limit = ColdLimit(OPTIONS, 0.0)
    limit.announce(1.0, 0.0, as_of=0.0)
    ends = 1.0 + COLD_RETURN_S
    slots = [limit.capacity(SLOTS, 0.1, 1.0 + step * 0.1) for step in range(11)]
    assert slots[0] == 1
    assert slots == sorted(slots)
    assert len(set(slots)) > 3
    assert limit.capacity(SLOTS, 0.1, ends) == SLOTS
    assert limit.allows_start(ends)


def test_a_report_that_names_no_cold_phase_ends_it() -> None:
    """The announced time is an upper limit."""
    limit = ColdLimit(OPTIONS, 0.0)
    limit.announce(60.0, 0.0, as_of=0.0)
    limit.announce(0.0, 1.5, as_of=1.4)
    assert not limit.is_cold(1.5)
    assert limit.rate_per_s(1.5 + COLD_RETURN_S) is None


def test_root_calls_do_not_wait_for_a_cold_server() -> None:
    """Their senders try others; nested calls wait longer and go first."""
    controller = _controller(OPTIONS)
    controller.cold_limit.announce(3.0, 0.0, as_of=0.0)
    controller.offer(call(1, deadline=2.0), 0.0)
    controller.offer(call(2, deadline=2.0, cost=1), 0.0)
    assert refusals(controller.expire(COLD_ROOT_WAIT_S / 2.0)) == []
    assert refusals(controller.expire(COLD_ROOT_WAIT_S + 0.01)) == [1]
    assert starts(controller.expire(0.4)) == [2]


def test_a_cold_server_looks_loaded_until_it_takes_a_call() -> None:
    """Otherwise it attracts every call that it has to refuse."""
    controller = _controller(OPTIONS)
    assert controller.load(0.0) == 0.0
    controller.cold_limit.announce(3.0, 0.0, as_of=0.0)
    assert controller.load(0.0) == 1.0
    assert controller.load(0.4) == 0.0
    assert controller.announced_slots(0.0) == 1


def test_without_a_warm_up_rate_nothing_is_limited() -> None:
    """The limit takes effect where the configuration names a rate, or isn't known."""
    limit = ColdLimit(NO_LIMIT, 0.0)
    limit.assume(0.0)
    assert limit.rate_per_s(0.1) is None
    assert limit.allows_start(0.1)
    assert limit.allows_write(0.1)
    limit.set_options(ColdOptions(None))
    assert not limit.allows_start(0.1)


def test_a_bound_below_one_request_lets_none_through() -> None:
    """Callers are told a finite time all the same."""
    limit = ColdLimit(ColdOptions(0.5, 1.0, 0.0), 0.0)
    limit.assume(0.0)
    assert not limit.allows_start(100.0)
    assert limit.wait_s(1, 100.0) < 60.0


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
