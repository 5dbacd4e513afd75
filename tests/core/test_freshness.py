"""Tests of core.freshness."""

import unittest
from dataclasses import replace

from damaskbay.config.objects import WhenUnproven
from damaskbay.core.freshness import refuse_unproven
from damaskbay.core.outcome import Reason
from damaskbay.ports.fleet import ConfigState
from tests.common import function_suite
from tests.daemon.common import sample_config

NOW = 1000.0
CONFIG = sample_config()
ROUTE = replace(CONFIG.routes_by_name["read"], unproven_after_s=5.0)


def test_a_set_that_cannot_be_proven_refuses_after_the_routes_time() -> None:
    """A route is served up to its `unproven_after_s`, then refused as `not_run`."""
    assert refuse_unproven(ROUTE, ConfigState(CONFIG, NOW - 5.0), NOW) is None
    refusal = refuse_unproven(ROUTE, ConfigState(CONFIG, NOW - 5.1), NOW)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.CONFIGURATION_UNPROVEN


def test_an_outage_that_stops_all_publishing_refuses_nothing() -> None:
    """No key can have been withdrawn, so the active set is still the newest."""
    state = ConfigState(CONFIG, NOW - 3600.0, platform_unreachable_everywhere=True)
    assert refuse_unproven(ROUTE, state, NOW) is None


def test_an_operator_may_choose_to_serve_on() -> None:
    """A route with `when_unproven` set to serve is never refused."""
    route = replace(ROUTE, when_unproven=WhenUnproven.SERVE)
    assert refuse_unproven(route, ConfigState(CONFIG, NOW - 3600.0), NOW) is None


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
