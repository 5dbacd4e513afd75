"""Decisions on where a call goes, and whether it is sent at all."""

from damaskbay.core.routing.health import FAILURES_BY_REASON, FailureKind, RouteOutcome
from damaskbay.core.routing.router import Router, RouterOptions

__all__ = [
    "FAILURES_BY_REASON",
    "FailureKind",
    "RouteOutcome",
    "Router",
    "RouterOptions",
]
