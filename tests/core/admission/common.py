"""Fixtures for the tests of admission."""

from random import Random

from damaskbay.core.admission import (
    AdmissionController,
    AdmissionOptions,
    Decision,
    FixedLimit,
    PendingCall,
    RefuseDecision,
    StartDecision,
)
from tests.core.common import make_context


def make_controller(
    slots: int = 2, *, queue_per_slot: float = 1.0
) -> AdmissionController:
    """Return a controller whose limit equals its slots."""
    options = AdmissionOptions(
        slots,
        queue_per_slot=queue_per_slot,
        limit=lambda slots, now: FixedLimit(slots),
    )
    return AdmissionController(options, Random(1), 0.0)


def call(
    ticket: int,
    *,
    rank: int = 1,
    workspace: str = "fitters",
    deadline: float = 100.0,
    weight: float = 1.0,
    cost: int = 0,
) -> PendingCall:
    """Return a call that requests admission."""
    context = make_context(
        workspace=workspace, priority_rank=rank, deadline=deadline, depth=cost
    )
    return PendingCall(ticket, context, weight, cost)


def starts(decisions: tuple[Decision, ...]) -> list[int]:
    """Return the tickets of started calls, in order."""
    return [item.ticket for item in decisions if isinstance(item, StartDecision)]


def refusals(decisions: tuple[Decision, ...]) -> list[int]:
    """Return the tickets of refused calls, in order."""
    return [item.ticket for item in decisions if isinstance(item, RefuseDecision)]
