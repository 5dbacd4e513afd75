"""Tests of core.admission.controller."""

import unittest
from collections import Counter
from random import Random

from hypothesis import given, settings, strategies as st

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    CallSample,
    Decision,
    FixedLimit,
    RefuseDecision,
    StartDecision,
)
from damaskbay.core.admission.const import QUEUE_MIN_LENGTH
from damaskbay.core.admission.latency import LatencyEstimate
from damaskbay.core.outcome import Reason
from tests.common import function_suite
from tests.core.admission.common import call, make_controller, refusals, starts

SLOTS = 2
CAPACITY_REASONS = (Reason.QUEUE_FULL, Reason.OVERLOADED)

Step = tuple[str, int, int, int, float]

random_steps = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "offer", "finish", "withdraw", "expire"]),
        st.integers(0, 3),
        st.integers(0, 2),
        st.integers(0, 30),
        st.floats(0.0, 0.3),
    ),
    max_size=80,
)


class RandomRun:
    """Runs random steps and checks each decision against the calls still waiting."""

    def __init__(self) -> None:
        self.controller = make_controller(SLOTS)
        self.rank_by_ticket: dict[int, int] = {}
        self.waiting: list[int] = []
        self.running: list[int] = []

    def run(self, steps: list[Step]) -> None:
        """Run the steps, each after its delay."""
        now = 0.0
        for action, rank, workspace, index, delay_s in steps:
            now += delay_s
            if action == "offer":
                self.offer(rank, f"w{workspace}", now + 0.2 + index / 10, now)
            elif action == "finish" and self.running:
                ticket = self.running.pop(index % len(self.running))
                self.check(self.controller.finish(ticket, CallSample(0.05), now))
            elif action == "withdraw" and self.waiting:
                ticket = self.waiting.pop(index % len(self.waiting))
                self.check(self.controller.withdraw(ticket, now))
            else:
                self.check(self.controller.expire(now))

    def offer(self, rank: int, workspace: str, deadline: float, now: float) -> None:
        """Offer a new call."""
        ticket = len(self.rank_by_ticket)
        self.rank_by_ticket[ticket] = rank
        self.waiting.append(ticket)
        item = call(ticket, rank=rank, workspace=workspace, deadline=deadline)
        self.check(self.controller.offer(item, now))

    def check(self, decisions: tuple[Decision, ...]) -> None:
        """Apply and check decisions one by one, as the daemon does."""
        for decision in decisions:
            self.waiting.remove(decision.ticket)
            rank = self.rank_by_ticket[decision.ticket]
            others = [self.rank_by_ticket[item] for item in self.waiting]
            if isinstance(decision, StartDecision):
                self.running.append(decision.ticket)
                assert rank <= min(others, default=rank)
            elif decision.refusal.reason in CAPACITY_REASONS:
                assert rank >= max(others, default=rank)
                assert len(self.running) == SLOTS
            assert len(self.running) <= SLOTS


@settings(derandomize=True, max_examples=300, deadline=None)
@given(random_steps)
def test_important_calls_are_shed_last(steps: list[Step]) -> None:
    """
    No call starts while a more important one is queued.

    None is refused for lack of capacity while a less important one is queued.
    Each ticket gets at most one decision, and at most SLOTS calls run.
    """
    RandomRun().run(steps)


def test_arriving_important_call_displaces_a_waiting_one() -> None:
    """A call of rank 0 replaces a queued call of rank 2 when the queue is full."""
    controller = make_controller(1)
    for ticket in range(5):
        controller.offer(call(ticket, rank=2), 0.0)
    decisions = controller.offer(call(9, rank=0), 0.0)
    assert refusals(decisions) == [4]
    assert isinstance(decisions[0], RefuseDecision)
    assert decisions[0].refusal.not_run
    assert decisions[0].refusal.retry_after_s is not None
    assert starts(controller.finish(0, CallSample(0.1), 0.1)) == [9]


def test_cold_server_queues_important_calls_up_to_its_slots() -> None:
    """With a low limit, calls of rank 0 are refused only beyond the slots."""
    cold = AdmissionOptions(8, limit=lambda slots, now: FixedLimit(1))
    controller = AdmissionController(cold, Random(1), 0.0)
    refused = [
        refusals(controller.offer(call(ticket, rank=0), 0.0)) for ticket in range(10)
    ]
    assert refused == [[]] * 9 + [[9]]
    controller = AdmissionController(cold, Random(1), 0.0)
    for ticket in range(10):
        controller.offer(call(ticket, rank=1), 0.0)
    assert controller.waiting == QUEUE_MIN_LENGTH


def test_small_workspace_beside_one_at_five_times_its_rate() -> None:
    """Two workspaces of equal weight alternate, whatever their number of calls."""
    controller = make_controller(1, queue_per_slot=20.0)
    for ticket in range(100):
        name = "small" if ticket % 6 == 0 else "large"
        controller.offer(call(ticket, workspace=name), 0.0)
    served: Counter[str] = Counter()
    running = 0
    for step in range(8):
        (running,) = starts(controller.finish(running, CallSample(0.1), 0.1 * step))
        served["small" if running % 6 == 0 else "large"] += 1
    assert served == {"small": 4, "large": 4}


def test_weights_share_the_slots() -> None:
    """A workspace of weight 3 gets three times the slots of one of weight 1."""
    controller = make_controller(1, queue_per_slot=100.0)
    controller.offer(call(0, workspace="other"), 0.0)
    for ticket in range(1, 81):
        name, weight = ("a", 3.0) if ticket % 2 else ("b", 1.0)
        controller.offer(call(ticket, workspace=name, weight=weight), 0.0)
    served: Counter[int] = Counter()
    running = 0
    for _ in range(20):
        (running,) = starts(controller.finish(running, CallSample(0.001), 0.0))
        served[running % 2] += 1
    assert served == {1: 15, 0: 5}


def test_tree_that_cost_much_goes_first() -> None:
    """Within a workspace and rank, a deeper call starts before a new call tree."""
    controller = make_controller(1)
    controller.offer(call(0), 0.0)
    controller.offer(call(1), 0.0)
    controller.offer(call(2, cost=4), 0.0)
    assert starts(controller.finish(0, CallSample(0.1), 0.1)) == [2]


def test_newest_first_once_the_queue_stands() -> None:
    """In a standing queue, the newest call starts first."""
    controller = make_controller(1, queue_per_slot=10.0)
    for ticket in range(9):
        controller.offer(call(ticket), 0.0)
    order = [starts(controller.finish(0, CallSample(0.1), 0.1))[0]]
    for step in range(2, 5):
        finished = controller.finish(order[-1], CallSample(0.1), 0.1 * step)
        order.append(starts(finished)[0])
    assert order == [1, 8, 7, 6]


def test_work_that_cannot_end_in_time_does_not_start() -> None:
    """A call with less time left than the estimated latency is refused."""
    controller = make_controller(1)
    for ticket in range(10):
        controller.offer(call(ticket), 0.0)
        controller.finish(ticket, CallSample(0.5), 0.0)
    assert starts(controller.offer(call(10, deadline=0.3), 0.1)) == [10], "a probe"
    controller.finish(10, CallSample(0.5), 0.12)
    (decision,) = controller.offer(call(11, deadline=0.3), 0.15)
    assert isinstance(decision, RefuseDecision)
    assert decision.refusal.reason is Reason.DEADLINE_TOO_SHORT
    assert decision.refusal.not_run


def test_slow_spell_does_not_keep_every_call_out() -> None:
    """A latency estimate beyond every deadline decays, so that calls start again."""
    controller = make_controller(1)
    controller.offer(call(0), 0.0)
    controller.finish(0, CallSample(10.0), 10.0)
    started = 0
    for ticket in range(1, 200):
        now = 10.0 + ticket * 0.05
        begun = starts(controller.offer(call(ticket, deadline=now + 1.0), now))
        for item in begun:
            started += 1
            controller.finish(item, CallSample(0.01), now)
    assert started >= 150


def test_latency_estimate_fades_in_silence() -> None:
    """Without new samples the estimate decays."""
    estimate = LatencyEstimate()
    for step in range(20):
        estimate.add(8.0, step * 0.01)
    assert estimate.current_s(0.5) == 8.0
    assert estimate.current_s(5.0) < 0.1


def test_passed_deadline_in_the_queue() -> None:
    """A queued call whose deadline has passed is refused as not run."""
    controller = make_controller(1)
    controller.offer(call(0), 0.0)
    controller.offer(call(1, deadline=1.0), 0.0)
    decisions = controller.expire(1.0)
    assert refusals(decisions) == [1]
    assert isinstance(decisions[0], RefuseDecision)
    assert decisions[0].refusal.reason is Reason.DEADLINE_PASSED
    assert decisions[0].refusal.not_run


def test_retry_after_spreads() -> None:
    """Retry delays are random and grow with the number of refusals."""
    controller = make_controller(1)
    waits: list[float] = []
    for ticket in range(60):
        for decision in controller.offer(call(ticket), 0.0):
            if isinstance(decision, RefuseDecision):
                waits.append(decision.refusal.retry_after_s or 0.0)
    assert len({round(item, 3) for item in waits}) > 50
    assert max(waits) > 5 * min(waits)


def test_slots_can_change_while_calls_wait() -> None:
    """More slots start queued calls; fewer slots let running calls end."""
    controller = make_controller(1)
    for ticket in range(3):
        controller.offer(call(ticket), 0.0)
    assert starts(controller.set_slots(2, 0.0)) == [1]
    controller.set_slots(1, 0.0)
    assert starts(controller.finish(0, CallSample(0.1), 0.1)) == []
    assert starts(controller.finish(1, CallSample(0.1), 0.1)) == [2]


def test_nested_calls_start_by_the_time_that_they_have_left() -> None:
    """Only among equal ranks and depths; root calls start in order of arrival."""
    options = AdmissionOptions(
        1,
        queue_per_slot=10.0,
        limit=lambda slots, now: FixedLimit(slots),
        deadline_first=True,
    )
    for cost, expected in ((2, [4, 3, 2]), (0, [2, 3, 4])):
        controller = AdmissionController(options, Random(1), 0.0)
        controller.offer(call(1, cost=cost), 0.0)
        for ticket in (2, 3, 4):
            waiting = call(ticket, cost=cost, deadline=100.0 - ticket)
            assert not controller.offer(waiting, 0.0)
        started = [1]
        while len(started) < 4:
            decisions = controller.finish(started[-1], CallSample(0.01), 0.01)
            started += [decision.ticket for decision in decisions]
        assert started[1:] == expected


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
