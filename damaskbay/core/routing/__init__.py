"""Decisions on where a call goes, and whether it is sent at all."""

from damaskbay.core.routing.health import FailureKind, RouteOutcome
from damaskbay.core.routing.router import Router, RouterOptions

__all__ = ["FailureKind", "RouteOutcome", "Router", "RouterOptions"]
