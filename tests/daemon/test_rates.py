"""Tests of daemon.rates."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from damaskbay.core.outcome import Reason
from tests.common import function_suite
from tests.daemon.rates_common import fleet, sample_config, wait_until

SLOW = sample_config(rate=0.01, burst=5)


def test_two_domains_share_one_burst() -> None:
    """The daemons of all failure domains together admit one burst."""
    with fleet({"east": 3, "west": 2}, config=SLOW) as daemons:
        names = ["east0", "east1", "east2", "west0", "west1"]
        admitted = sum(daemons.admit(name) for name in names * 4)
    assert admitted == 5


def test_requests_at_once_share_one_burst() -> None:
    """Concurrent requests at several daemons together admit at most one burst."""
    with fleet({"east": 2, "west": 2}, config=SLOW) as daemons:
        names = ["east0", "east1", "west0", "west1"] * 8
        with ThreadPoolExecutor(16) as pool:
            admitted = sum(pool.map(daemons.admit, names))
    assert 1 <= admitted <= 5


def test_limits_are_all_or_nothing() -> None:
    """A call refused by a limit spends no token of the workspace's bucket."""
    with fleet({"east": 1}, config=SLOW) as daemons:
        results = [daemons.admit("east0", ("slow",)) for _ in range(6)]
        assert sum(results) == 2
        wait_until(lambda: daemons.admit("east0"))
        assert 1 <= sum(daemons.admit("east0") for _ in range(5)) <= 2


def test_unknown_workspace_gets_nothing() -> None:
    """A call of a workspace missing from the configuration is refused as not run."""
    with fleet({"east": 1}) as daemons:
        service = daemons.services_by_instance["east0"]
        refusal = service.acquire("nobody", (), deadline=9, now=1)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.RATE_EXCEEDED


def test_withdrawn_workspace_gets_nothing() -> None:
    """A workspace removed by a newer configuration set is refused immediately."""
    with fleet({"east": 1}) as daemons:
        assert daemons.admit("east0")
        daemons.config.activate(sample_config(2).__class__(2, "e"))
        assert not daemons.admit("east0")


def test_over_the_rate_is_said_so() -> None:
    """A refusal for an exceeded rate is not run and has a retry-after time."""
    with fleet({"east": 1}, config=SLOW) as daemons:
        daemons.count_admitted("east0", 5)
        service = daemons.services_by_instance["east0"]
        refusal = service.acquire("small", (), deadline=9, now=0)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.RATE_EXCEEDED
    assert refusal.retry_after_s


def test_platform_out_from_the_start_is_share_unavailable() -> None:
    """Without a share calls are refused with the reason SHARE_UNAVAILABLE."""
    with fleet({"east": 1}) as daemons:
        daemons.platform.inject(outage=True)
        service = daemons.services_by_instance["east0"]
        refusal = service.acquire("small", (), deadline=9, now=0)
    assert refusal is not None
    assert refusal.not_run
    assert refusal.reason is Reason.SHARE_UNAVAILABLE


def test_outage_goes_on_with_the_share() -> None:
    """A failure domain with a share admits calls during a platform outage."""
    with fleet({"east": 1}, config=sample_config(rate=500.0, burst=50)) as daemons:
        assert daemons.count_admitted("east0", 10) == 10
        daemons.platform.inject(outage=True)
        assert daemons.count_admitted("east0", 5) >= 1


def test_lost_answers_grant_nothing_twice() -> None:
    """A write whose reply is lost, but which took effect, grants no token twice."""
    with fleet({"east": 1, "west": 1}, config=SLOW) as daemons:
        daemons.platform.inject(lose_answers=2)
        names = ["east0", "west0"] * 10
        admitted = 0
        for _ in range(3):
            admitted += sum(daemons.admit(name) for name in names)
            daemons.platform.inject(lose_answers=1)
    assert admitted <= 5


def test_stop_hands_the_share_on() -> None:
    """After a graceful stop another domain spends the remaining tokens, no more."""
    with fleet({"west": 1}, config=SLOW) as west:
        with fleet({"east": 1}, config=SLOW, platform=west.platform) as east:
            assert east.count_admitted("east0", 3) == 3
        wait_until(lambda: west.admit("west0"))
        assert 1 + west.count_admitted("west0", 6) == 2


def test_other_daemon_takes_over_when_the_holder_is_lost() -> None:
    """An unresponsive holder is replaced by the next in rank."""
    with fleet({"east": 3}, config=sample_config(rate=100.0, burst=90)) as daemons:
        for name, link in daemons.links_by_instance.items():
            requests_before = link.requests
            assert daemons.admit(name)
            if link.requests > requests_before:
                link.unreachable.update(link.links_by_address)
                wait_until(lambda name=name: daemons.admit(name))  # type: ignore[misc]


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
