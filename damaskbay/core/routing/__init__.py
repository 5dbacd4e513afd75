"""Routing of calls: server choice and early refusal."""

from damaskbay.core.routing.health import FAILURES_BY_REASON, FailureKind, RouteOutcome
from damaskbay.core.routing.router import Router, RouterOptions

__all__ = [
    "FAILURES_BY_REASON",
    "FailureKind",
    "RouteOutcome",
    "Router",
    "RouterOptions",
]
