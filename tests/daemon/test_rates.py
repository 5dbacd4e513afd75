"""Tests of daemon.rates."""

import unittest
from types import SimpleNamespace
from typing import Any

from damaskbay.config.objects import ConfigSet, Limit, LimitScope, Workspace
from damaskbay.core.outcome import Reason
from damaskbay.daemon.rates import RateService
from damaskbay.ports.fleet import ConfigState
from damaskbay.ports.peer import PeerIdentity
from tests.common import function_suite

CONFIG = ConfigSet(
    1,
    "d",
    workspaces_by_name={"small": Workspace("small", 10.0, 5)},
    limits_by_name={"slow": Limit("slow", 1.0, 2, LimitScope.ROUTE)},
)


def service() -> RateService:
    """Return a service of one daemon with the test's set."""
    nothing: Any = SimpleNamespace(state=lambda: ConfigState(CONFIG, 0.0))
    identity = PeerIdentity("a", 1, "east")
    return RateService(
        identity=identity,
        platform=nothing,
        link=nothing,
        membership=nothing,
        config=nothing,
    )


def test_limits_are_all_or_nothing() -> None:
    """A request that a limit refuses spends nothing of the workspace's bucket."""
    with service() as gate:
        results = [gate.acquire("small", ("slow",), deadline=9, now=1) for _ in "12345"]
        assert [item is None for item in results] == [True, True, False, False, False]
        others = [gate.acquire("small", (), deadline=9, now=1) for _ in "1234"]
        assert [item is None for item in others] == [True, True, True, False]


def test_unknown_workspace_gets_nothing() -> None:
    """A workspace that the set does not know is refused as not run."""
    with service() as gate:
        refusal = gate.acquire("nobody", (), deadline=9, now=1)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.RATE_EXCEEDED


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
